#ifndef SAPPHIREMOOR_DAEMON_MEMBERSHIPSERVICE_H
#define SAPPHIREMOOR_DAEMON_MEMBERSHIPSERVICE_H

#include "daemon/peerbus.h"
#include "framework/net/timer.h"
#include "membership/membership.h"

#include <functional>
#include <optional>
#include <vector>

namespace sapphiremoor {

/// Sends heartbeats and tracks which VMs are live and which VM is the
/// dispatcher of each data centre.
class MembershipService {
public:
  /// Content of this VM's heartbeat besides its identity.
  struct Report {
    uint64_t Revision = 0;
    std::vector<ServiceLoad> Loads;
  };

  MembershipService(EventLoop &Loop, const Settings &VmSettings,
                    const VmId &Self, PeerBus &Bus);

  void start(std::function<Report()> ReportSource);

  /// Adds a handler for each heartbeat of a linked peer.
  void onHeartbeat(std::function<void(const Heartbeat &)> Handler);
  /// Adds a handler for a change of the dispatcher of this data centre.
  void onDispatcherChange(std::function<void(const VmId &)> Handler);

  /// Returns the dispatcher of this data centre.
  VmId dispatcher() const;
  bool isDispatcher() const { return dispatcher() == State.Self; }
  /// Returns the dispatcher of \p DataCentre, if one of its VMs is live.
  std::optional<VmId> findDispatcher(const std::string &DataCentre) const;
  /// Returns the data centre to run a job of \p Service in. \p LocalWait is the
  /// expected wait in this data centre, if it runs the service.
  std::string selectDataCentre(const std::string &Service,
                               std::optional<Duration> LocalWait) const;
  /// Returns the other live VMs that may hold grants, nearest first.
  std::vector<VmId> grantMembers() const;
  /// Returns the other live VMs of this data centre.
  std::vector<VmId> localPeers() const;

  /// Announces to the peers that this VM accepts no new work.
  void drain();
  /// Sends a heartbeat to all peers now.
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
