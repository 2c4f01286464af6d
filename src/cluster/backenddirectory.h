#ifndef SAPPHIREMOOR_CLUSTER_BACKENDDIRECTORY_H
#define SAPPHIREMOOR_CLUSTER_BACKENDDIRECTORY_H

#include "cluster/clusterbus.h"
#include "cluster/dispatchservice.h"

#include <map>
#include <set>
#include <string>

namespace sapphiremoor {

/// What a control VM knows of all backend servers, and which of them it
/// dispatches to. Reports are shared with the other control VMs, so that any of
/// them can take a backend server over.
class BackendDirectory {
public:
  BackendDirectory(EventLoop &Loop, ClusterBus &Bus, DispatchService &Dispatch);

  void start();
  /// Gives up all backend servers as they become empty.
  void drain();

  /// A backend server reported to this VM.
  void handleReport(const BackendReport &Report);
  /// A backend server said that it has left.
  void handleDeparture(const std::string &Id);
  /// News from another control VM.
  void handlePeerReports(const VmId &Sender, const BackendReports &Message);
  void handlePeerOwnership(const VmId &Sender, const OwnershipUpdate &Message);
  void handleOwnershipChange(const OwnershipChanged &Change);
  void handlePeerUp(const VmId &Peer);

  std::size_t size() const { return Backends.size(); }

private:
  struct BackendRecord {
    BackendReport Report;
    Instant LastHeard;
    /// Control VM that said it took the backend server, or empty.
    std::string Owner;
    /// No attempt to take it before this time.
    Instant NextAttempt;
    /// Since when another VM is preferred as the owner.
    Instant OtherPreferredSince;
    bool OtherPreferred = false;
  };

  bool applyReport(const BackendReport &Report);
  void remove(const std::string &Id);
  void flush();
  void tick();
  bool anyEntryVmReachable() const;
  void updateOwnership(const std::string &Id, BackendRecord &Backend,
                       const std::string &PreferredOwner, bool MayAcquire);
  uint64_t currentTerm() const;

  EventLoop &Loop;
  ClusterBus &Bus;
  DispatchService &Dispatch;
  std::map<std::string, BackendRecord> Backends;
  BackendReports Outgoing;
  Instant StartTime;
  bool Draining = false;
  Timer TickTimer;
  Timer FlushTimer;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CLUSTER_BACKENDDIRECTORY_H
