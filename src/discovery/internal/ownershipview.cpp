#include "discovery/ownershipview.h"

#include "discovery/ownership.h"

#include <algorithm>

namespace sapphiremoor {

namespace {

uint64_t hashId(const std::string &Backend) {
  return rendezvousWeight(Backend, {});
}

} // namespace

OwnershipDigest ownershipDigest(const std::vector<std::string> &Owned) {
  OwnershipDigest Digest;
  for (const std::string &Backend : Owned) {
    ++Digest.Count;
    Digest.HashSum += hashId(Backend);
  }
  return Digest;
}

OwnershipView::OwnedSet &OwnershipView::ownedBy(const VmId &Owner) {
  OwnedSet &Owned = OwnedSets[Owner.Name];
  if (Owned.Incarnation != Owner.Incarnation) {
    Owned = {};
    Owned.Incarnation = Owner.Incarnation;
  }
  return Owned;
}

void OwnershipView::recordChanges(const VmId &Owner,
                                  const std::vector<std::string> &Acquired,
                                  const std::vector<std::string> &Released) {
  OwnedSet &Owned = ownedBy(Owner);
  for (const std::string &Backend : Acquired) {
    if (!Owned.Backends.insert(Backend).second)
      continue;
    ++Owned.Digest.Count;
    Owned.Digest.HashSum += hashId(Backend);
  }
  for (const std::string &Backend : Released) {
    if (Owned.Backends.erase(Backend) == 0)
      continue;
    --Owned.Digest.Count;
    Owned.Digest.HashSum -= hashId(Backend);
  }
}

void OwnershipView::recordAll(const VmId &Owner,
                              const std::vector<std::string> &Owned) {
  OwnedSets.erase(Owner.Name);
  recordChanges(Owner, Owned, {});
}

void OwnershipView::keepOnly(const std::vector<MemberInfo> &Members) {
  std::erase_if(OwnedSets, [&Members](const auto &Entry) {
    return std::ranges::none_of(Members, [&Entry](const MemberInfo &Member) {
      return Member.Id.Name == Entry.first;
    });
  });
}

bool OwnershipView::agrees(const VmId &Owner,
                           const OwnershipDigest &Digest) const {
  const auto It = OwnedSets.find(Owner.Name);
  if (It == OwnedSets.end() || It->second.Incarnation != Owner.Incarnation)
    return Digest == OwnershipDigest{};
  return It->second.Digest == Digest;
}

std::vector<VmId> OwnershipView::owners(const std::string &Backend) const {
  std::vector<VmId> Owners;
  for (const auto &[Name, Owned] : OwnedSets)
    if (Owned.Backends.contains(Backend))
      Owners.push_back({Name, Owned.Incarnation});
  return Owners;
}

} // namespace sapphiremoor
