#include "discovery/memberview.h"

#include <algorithm>

namespace sapphiremoor {

void MemberView::heard(const MemberInfo &Info, Instant Now) {
  Member &Known = Members[Info.Id.Name];
  Known.Info = Info;
  Known.Direct = Now;
  Known.Any = Now;
}

void MemberView::told(const MemberSighting &Sighting, Instant Now) {
  const Instant Heard = Now - std::chrono::milliseconds(Sighting.AgeMs);
  const auto [Found, New] = Members.try_emplace(Sighting.Info.Id.Name);
  Member &Known = Found->second;
  if (!New && Known.Any >= Heard)
    return;
  // The word of the VM itself, over a link that works, goes first.
  if (New || !Known.Direct)
    Known.Info = Sighting.Info;
  Known.Any = Heard;
}

void MemberView::disconnected(const std::string &Name) {
  const auto Found = Members.find(Name);
  if (Found != Members.end())
    Found->second.Direct.reset();
}

void MemberView::expire(Instant Now) {
  std::erase_if(Members, [&](const auto &Each) {
    return Now - Each.second.LastContact > Limits.KeptFor;
  });
}

bool MemberView::reachable(const std::string &Name, Instant Now) const {
  const auto Found = Members.find(Name);
  return Found != Members.end() && Found->second.Direct &&
         Now - *Found->second.Direct <= Limits.LiveFor;
}

bool MemberView::live(const std::string &Name, Instant Now) const {
  const auto Silent = silence(Name, Now);
  return Silent && *Silent <= Limits.LiveFor;
}

std::optional<Duration> MemberView::silence(const std::string &Name,
                                            Instant Now) const {
  const auto Found = Members.find(Name);
  if (Found == Members.end())
    return std::nullopt;
  return Now - Found->second.Any;
}

const MemberInfo *MemberView::find(const std::string &Name) const {
  const auto Found = Members.find(Name);
  return Found == Members.end() ? nullptr : &Found->second.Info;
}

const MemberInfo *MemberView::findByAddress(const std::string &Address) const {
  const Member *Newest = nullptr;
  for (const auto &[Name, Each] : Members)
    if (describe(Each.Info.Peer) == Address &&
        (Newest == nullptr || Newest->Any < Each.Any))
      Newest = &Each;
  return Newest == nullptr ? nullptr : &Newest->Info;
}

std::vector<MemberInfo> MemberView::members(MemberRole Role) const {
  std::vector<MemberInfo> Found;
  for (const auto &[Name, Each] : Members)
    if (Each.Info.Role == Role)
      Found.push_back(Each.Info);
  return Found;
}

std::vector<MemberSighting> MemberView::controlSightings(Instant Now) const {
  std::vector<MemberSighting> Told;
  for (const auto &[Name, Each] : Members) {
    if (Each.Info.Role != MemberRole::Control || !Each.Direct)
      continue;
    const auto Age = std::chrono::duration_cast<std::chrono::milliseconds>(
        Now - *Each.Direct);
    Told.push_back({Each.Info, Age.count()});
  }
  return Told;
}

} // namespace sapphiremoor
