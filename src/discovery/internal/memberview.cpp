#include "discovery/memberview.h"

#include <algorithm>

namespace sapphiremoor {

void MemberView::recordContact(const MemberInfo &Info, Instant Now) {
  Member &Entry = Members[Info.Id.Name];
  Entry.Info = Info;
  Entry.LastDirectContact = Now;
  Entry.LastContact = Now;
}

void MemberView::recordSighting(const MemberSighting &Sighting, Instant Now) {
  const Instant HeardAt = Now - std::chrono::milliseconds(Sighting.AgeMs);
  const auto [It, Inserted] = Members.try_emplace(Sighting.Info.Id.Name);
  Member &Entry = It->second;
  if (!Inserted && Entry.LastContact >= HeardAt)
    return;
  // What the VM itself announces over a working link takes precedence over
  // reports of third VMs.
  if (Inserted || !Entry.LastDirectContact)
    Entry.Info = Sighting.Info;
  Entry.LastContact = HeardAt;
}

void MemberView::recordDisconnect(const std::string &Name) {
  const auto It = Members.find(Name);
  if (It != Members.end())
    It->second.LastDirectContact.reset();
}

void MemberView::expire(Instant Now) {
  std::erase_if(Members, [&](const auto &Entry) {
    return Now - Entry.second.LastContact > Limits.RetentionTime;
  });
}

bool MemberView::isReachable(const std::string &Name, Instant Now) const {
  const auto It = Members.find(Name);
  return It != Members.end() && It->second.LastDirectContact &&
         Now - *It->second.LastDirectContact <= Limits.LiveTimeout;
}

bool MemberView::isLive(const std::string &Name, Instant Now) const {
  const auto Silence = silenceDuration(Name, Now);
  return Silence && *Silence <= Limits.LiveTimeout;
}

bool MemberView::isLive(const VmId &Process, Instant Now) const {
  return find(Process) != nullptr && isLive(Process.Name, Now);
}

std::optional<Duration> MemberView::silenceDuration(const std::string &Name,
                                                    Instant Now) const {
  const auto It = Members.find(Name);
  if (It == Members.end())
    return std::nullopt;
  return Now - It->second.LastContact;
}

const MemberInfo *MemberView::find(const VmId &Process) const {
  const auto It = Members.find(Process.Name);
  return It == Members.end() || It->second.Info.Id != Process
             ? nullptr
             : &It->second.Info;
}

const MemberInfo *MemberView::findByAddress(const std::string &Address) const {
  const Member *Newest = nullptr;
  for (const auto &[Name, Entry] : Members)
    if (describe(Entry.Info.PeerEndpoint) == Address &&
        (Newest == nullptr || Newest->LastContact < Entry.LastContact))
      Newest = &Entry;
  return Newest == nullptr ? nullptr : &Newest->Info;
}

std::vector<MemberInfo> MemberView::members(MemberRole Role) const {
  std::vector<MemberInfo> Infos;
  for (const auto &[Name, Entry] : Members)
    if (Entry.Info.Role == Role)
      Infos.push_back(Entry.Info);
  return Infos;
}

std::vector<MemberSighting> MemberView::controlSightings(Instant Now) const {
  std::vector<MemberSighting> Sightings;
  for (const auto &[Name, Entry] : Members) {
    if (Entry.Info.Role != MemberRole::Control || !Entry.LastDirectContact)
      continue;
    const auto Age = std::chrono::duration_cast<std::chrono::milliseconds>(
        Now - *Entry.LastDirectContact);
    Sightings.push_back({Entry.Info, Age.count()});
  }
  return Sightings;
}

} // namespace sapphiremoor
