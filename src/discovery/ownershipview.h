#ifndef SAPPHIREMOOR_DISCOVERY_OWNERSHIPVIEW_H
#define SAPPHIREMOOR_DISCOVERY_OWNERSHIPVIEW_H

#include "discovery/types/memberinfo.h"
#include "discovery/types/ownershipdigest.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace sapphiremoor {

/// Returns the digest of the set of backend servers \p Owned.
OwnershipDigest ownershipDigest(const std::vector<std::string> &Owned);

/// Which backend servers the other control VMs own, by what each of them
/// announces about itself. Changes may be lost with a link; a digest shows
/// this, and the whole list then replaces what is known. More than one VM may
/// announce the same backend server, until the former owner learns that it has
/// been fenced.
class OwnershipView {
public:
  /// Records changes that \p Owner announced. What another process of its VM
  /// owned is forgotten.
  void recordChanges(const VmId &Owner,
                     const std::vector<std::string> &Acquired,
                     const std::vector<std::string> &Released);
  /// Records all backend servers that \p Owner owns.
  void recordAll(const VmId &Owner, const std::vector<std::string> &Owned);
  /// Forgets the VMs that are not among \p Members.
  void keepOnly(const std::vector<MemberInfo> &Members);

  /// Returns true if \p Digest is that of the backend servers which \p Owner is
  /// known to own.
  bool agrees(const VmId &Owner, const OwnershipDigest &Digest) const;
  /// Returns the processes that own \p Backend by their own account.
  std::vector<VmId> owners(const std::string &Backend) const;

private:
  struct OwnedSet {
    uint64_t Incarnation = 0;
    std::set<std::string> Backends;
    OwnershipDigest Digest;
  };

  /// Returns what the process \p Owner owns, nothing if it is new.
  OwnedSet &ownedBy(const VmId &Owner);

  /// By the name of the VM.
  std::map<std::string, OwnedSet> OwnedSets;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_DISCOVERY_OWNERSHIPVIEW_H
