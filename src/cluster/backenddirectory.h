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
  void reported(const BackendReport &Report);
  /// A backend server said that it has left.
  void left(const std::string &Id);
  /// News from another control VM.
  void received(const VmId &From, const BackendReports &News);
  void received(const VmId &From, const OwnershipNews &News);
  void ownershipChanged(const OwnershipChanged &Change);
  void peerUp(const VmId &Peer);

  std::size_t size() const { return Known.size(); }

private:
  struct Entry {
    BackendReport Report;
    Instant Heard;
    /// Control VM that said it took the backend server, or empty.
    std::string Owner;
    /// No attempt to take it before this time.
    Instant NextAttempt;
    /// Since when another VM is preferred as the owner.
    Instant OtherSince;
    bool OtherPreferred = false;
  };

  bool take(const BackendReport &Report);
  void remove(const std::string &Id);
  void flush();
  void tick();
  bool entryReachable() const;
  void consider(const std::string &Id, Entry &Of, const std::string &Preferred,
                bool MayTake);
  uint64_t termNow() const;

  EventLoop &Loop;
  ClusterBus &Bus;
  DispatchService &Dispatch;
  std::map<std::string, Entry> Known;
  BackendReports Outgoing;
  Instant Started;
  bool Draining = false;
  Timer TickTimer;
  Timer FlushTimer;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CLUSTER_BACKENDDIRECTORY_H
