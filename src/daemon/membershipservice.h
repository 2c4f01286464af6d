#ifndef SAPPHIREMOOR_DAEMON_MEMBERSHIPSERVICE_H
#define SAPPHIREMOOR_DAEMON_MEMBERSHIPSERVICE_H

#include "daemon/peerbus.h"
#include "framework/net/timer.h"
#include "membership/membership.h"

#include <functional>
#include <optional>
#include <vector>

namespace sapphiremoor {

/// Sends heartbeats and knows which VMs live and who dispatches.
class MembershipService {
public:
  /// What the heartbeat of this VM carries beside its identity.
  struct Report {
    uint64_t Revision = 0;
    std::vector<ServiceLoad> Loads;
  };

  MembershipService(EventLoop &Loop, const Settings &VmSettings,
                    const VmId &Self, PeerBus &Bus);

  void start(std::function<Report()> ReportSource);

  /// Calls \p Handler with each heartbeat of a linked peer.
  void onHeartbeat(std::function<void(const Heartbeat &)> Handler);
  /// Calls \p Handler when the dispatcher of this data centre changes.
  void onDispatcherChange(std::function<void(const VmId &)> Handler);

  /// The VM that dispatches in this data centre.
  VmId dispatcher() const;
  bool isDispatcher() const { return dispatcher() == State.Self; }
  /// The dispatcher of \p DataCentre, if a VM of it is live.
  std::optional<VmId> findDispatcher(const std::string &DataCentre) const;
  /// The data centre to run a job of \p Service in.
  std::string selectDataCentre(const std::string &Service,
                               std::optional<Duration> LocalWait) const;
  /// Other live VMs that may hold grants, nearest first.
  std::vector<VmId> grantMembers() const;
  /// Other live VMs of this data centre.
  std::vector<VmId> localPeers() const;

  /// Announces that this VM takes no new work.
  void drain();
  /// Sends a heartbeat now.
  void sendHeartbeat();
  bool isDraining() const { return State.Draining; }

  const MembershipState &state() const { return State; }

private:
  void checkDispatcher();

  EventLoop &Loop;
  const Settings &VmSettings;
  PeerBus &Bus;
  MembershipState State;
  std::function<Report()> Reporter;
  std::vector<std::function<void(const Heartbeat &)>> HeartbeatHandlers;
  std::vector<std::function<void(const VmId &)>> DispatcherHandlers;
  std::optional<VmId> LastDispatcher;
  Timer HeartbeatTimer;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_DAEMON_MEMBERSHIPSERVICE_H
