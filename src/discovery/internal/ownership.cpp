#include "discovery/ownership.h"

#include <algorithm>

namespace sapphiremoor {

namespace {

/// FNV-1a. The result must be the same on all VMs.
uint64_t hashText(const std::string &Text, uint64_t Hash) {
  constexpr uint64_t Prime = 0x100000001b3;
  for (const char Character : Text) {
    Hash ^= static_cast<unsigned char>(Character);
    Hash *= Prime;
  }
  return Hash;
}

} // namespace

uint64_t rendezvousWeight(const std::string &Key, const std::string &Name) {
  constexpr uint64_t OffsetBasis = 0xcbf29ce484222325;
  constexpr uint64_t Multiplier = 0xff51afd7ed558ccd;
  // The final mixing spreads names that differ only in their last character.
  uint64_t Hash = hashText(Name, hashText(Key, OffsetBasis));
  Hash ^= Hash >> 33;
  Hash *= Multiplier;
  return Hash ^ (Hash >> 33);
}

std::optional<std::size_t> rendezvousRank(const std::string &Key,
                                          const std::vector<MemberInfo> &Vms,
                                          const std::string &Name) {
  const auto HasName = [&Name](const MemberInfo &Vm) {
    return Vm.Id.Name == Name;
  };
  if (std::ranges::none_of(Vms, HasName))
    return std::nullopt;
  const uint64_t Weight = rendezvousWeight(Key, Name);
  return static_cast<std::size_t>(
      std::ranges::count_if(Vms, [&](const MemberInfo &Vm) {
        return rendezvousWeight(Key, Vm.Id.Name) > Weight;
      }));
}

std::optional<std::string>
preferredOwner(const std::string &Backend, const std::string &DataCentre,
               const std::vector<MemberInfo> &LiveControls) {
  const auto Rank = [&](const MemberInfo &Member) {
    return std::pair(Member.DataCentre == DataCentre,
                     rendezvousWeight(Backend, Member.Id.Name));
  };
  const auto BestIt = std::ranges::max_element(LiveControls, {}, Rank);
  if (BestIt == LiveControls.end())
    return std::nullopt;
  return BestIt->Id.Name;
}

} // namespace sapphiremoor
