#ifndef SAPPHIREMOOR_CLUSTER_BACKENDDIRECTORY_H
#define SAPPHIREMOOR_CLUSTER_BACKENDDIRECTORY_H

#include "cluster/backendliststore.h"
#include "cluster/clusterbus.h"
#include "cluster/dispatchservice.h"
#include "discovery/ownershipplan.h"
#include "discovery/ownershipview.h"

#include <map>
#include <set>
#include <string>

namespace sapphiremoor {

/// Keeps the newest reports of all backend servers and decides which backend
/// servers this control VM acquires or releases. Reports are forwarded to the
/// other control VMs, so that each of them can take over a backend server.
class BackendDirectory {
public:
  BackendDirectory(EventLoop &Loop, ClusterBus &Bus, DispatchService &Dispatch);

  /// Starts with the backend servers that are stored in \p DataFolder.
  void start(const std::string &DataFolder);
  /// Releases all backend servers; each one is given up once its runs have
  /// ended.
  void drain();

  /// Handles a report that a backend server sent to this VM.
  void handleReport(const BackendReport &Report);
  /// Handles the message with which a backend server leaves.
  void handleDeparture(const std::string &Id);
  /// Handle messages of another control VM.
  void handlePeerReports(const VmId &Sender, const BackendReports &Message);
  void handlePeerOwnership(const VmId &Sender, const OwnershipUpdate &Message);
  void handlePeerOwnership(const VmId &Sender, const OwnedBackends &Message);
  /// Asks for all that \p Sender owns if this VM knows something else.
  void handlePeerDigest(const VmId &Sender, const OwnershipDigest &Digest);
  void handleOwnershipRequest(const VmId &Sender);
  /// Announces that this VM has acquired or lost a backend server.
  void handleOwnershipChange(const OwnershipChanged &Change);
  /// Called when the link to \p Peer, a VM of any role, has come up.
  void handlePeerUp(const VmId &Peer) { NewPeers.insert(Peer); }
  void handlePeerDown(const VmId &Peer) { NewPeers.erase(Peer); }
  /// Sends all reports and the owned backend servers to a control VM with the
  /// first heartbeat after its link has come up. Entry VMs do not need them.
  void handlePeerHeartbeat(const VmId &Sender, MemberRole Role);

  std::size_t size() const { return Backends.size(); }
  /// Returns true if the list of backend servers is on disk as it is now.
  bool isStored() const { return List.isStored(); }

private:
  struct BackendRecord {
    BackendReport Report;
    Instant LastHeard;
    OwnershipPlan Plan;
    /// True if the report comes from the disk of this VM.
    bool Restored = false;
  };

  std::vector<BackendReport> reports() const;
  /// Returns true if the report changed what the dispatcher knows.
  bool applyReport(const BackendReport &Report);
  void remove(const std::string &Id);
  void flush();
  void tick();
  /// Sends the digest of what this VM owns to the other control VMs.
  void announceDigest();
  /// Returns true if a live control VM other than this one owns the backend
  /// server.
  bool isOwnedByLivePeer(const std::string &Id) const;
  bool anyEntryVmReachable() const;
  OwnershipSituation situation(const std::string &Id,
                               const BackendRecord &Backend,
                               const std::string &PreferredOwner,
                               bool MayAcquire) const;
  void perform(OwnershipAction Action, const std::string &Id);
  /// Returns false if another control VM has the same owner tag and takes
  /// precedence. This VM then must not acquire backend servers, because its
  /// fencing tokens could equal those of the other one.
  bool isOwnerTagUnique();

  EventLoop &Loop;
  ClusterBus &Bus;
  DispatchService &Dispatch;
  std::map<std::string, BackendRecord> Backends;
  BackendListStore List;
  BackendReports Outgoing;
  OwnershipView PeerOwnership;
  /// Processes whose link has come up and that have sent no heartbeat since.
  std::set<VmId> NewPeers;
  Instant StartTime;
  bool Draining = false;
  /// True if the last check found another VM with the owner tag of this one.
  bool OwnerTagTaken = false;
  Timer TickTimer;
  Timer FlushTimer;
  Timer DigestTimer;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CLUSTER_BACKENDDIRECTORY_H
