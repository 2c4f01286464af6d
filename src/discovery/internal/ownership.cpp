#include "discovery/ownership.h"

#include <algorithm>

namespace sapphiremoor {

namespace {

/// FNV-1a, the same on all VMs.
uint64_t hashOf(const std::string &Text, uint64_t Hash) {
  constexpr uint64_t Prime = 0x100000001b3;
  for (const char Each : Text) {
    Hash ^= static_cast<unsigned char>(Each);
    Hash *= Prime;
  }
  return Hash;
}

} // namespace

uint64_t rendezvousWeight(const std::string &Key, const std::string &Name) {
  constexpr uint64_t Offset = 0xcbf29ce484222325;
  constexpr uint64_t Mix = 0xff51afd7ed558ccd;
  // The last step spreads names that differ in their last character only.
  uint64_t Hash = hashOf(Name, hashOf(Key, Offset));
  Hash ^= Hash >> 33;
  Hash *= Mix;
  return Hash ^ (Hash >> 33);
}

std::optional<std::string>
preferredOwner(const std::string &Backend, const std::string &DataCentre,
               const std::vector<MemberInfo> &LiveControls) {
  const auto RankOf = [&](const MemberInfo &Each) {
    return std::pair(Each.DataCentre == DataCentre,
                     rendezvousWeight(Backend, Each.Id.Name));
  };
  const auto Best = std::ranges::max_element(LiveControls, {}, RankOf);
  if (Best == LiveControls.end())
    return std::nullopt;
  return Best->Id.Name;
}

} // namespace sapphiremoor
