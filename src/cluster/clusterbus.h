#ifndef SAPPHIREMOOR_CLUSTER_CLUSTERBUS_H
#define SAPPHIREMOOR_CLUSTER_CLUSTERBUS_H

#include "cluster/types/clustermessage.h"
#include "cluster/types/clustersettings.h"
#include "discovery/memberview.h"
#include "framework/net/peermesh.h"
#include "framework/net/timer.h"

#include <functional>
#include <optional>
#include <set>
#include <string>

namespace sapphiremoor {

/// Connects a VM to the other VMs of the deployment: discovers them, exchanges
/// heartbeats and carries messages.
class ClusterBus {
public:
  /// Several heartbeats fit into the silence timeout of a link, so that a
  /// single late heartbeat does not break it.
  static constexpr Duration HeartbeatPeriod = std::chrono::milliseconds(150);

  struct Callbacks {
    std::function<void(const VmId &, const ClusterMessage &)> OnMessage;
    std::function<void(const VmId &)> OnPeerUp;
    std::function<void(const VmId &)> OnPeerDown;
    /// Returns true if this process was paused. The received message is then
    /// dropped.
    std::function<bool()> CheckStall;
    /// Fills in the parts of this VM's heartbeat that the owner of the bus
    /// knows.
    std::function<void(ClusterHeartbeat &)> FillHeartbeat;
  };

  ClusterBus(EventLoop &Loop, const ClusterSettings &Settings, const VmId &Self,
             Callbacks EventHandlers);

  /// Listens for links and dials the seeds.
  Result<Done> start();
  /// Dials further seeds, in addition to those of the settings.
  void addSeeds(const std::vector<Endpoint> &NewSeeds);

  /// Dials \p NewVoters too until they are known as members, in place of those
  /// of the last call. The seeds may be outdated after a restart.
  void setVoters(std::set<Endpoint> NewVoters);

  /// Returns false if there is no link to the process \p Peer. A message is
  /// never sent to another process of its VM, for which the numbers in it would
  /// mean something else.
  bool send(const VmId &Peer, const ClusterMessage &Message);
  /// Sends to each linked VM with the role \p Role.
  void sendToRole(MemberRole Role, const ClusterMessage &Message);
  /// Announces to the other VMs that this VM stops soon.
  void drain();
  /// Closes all links, because the messages that wait in them are outdated.
  void dropLinks() { Mesh.closeAll(); }

  const MemberView &members() const { return View; }
  const VmId &self() const { return Self; }
  /// Returns the address under which other VMs reach this one.
  const Endpoint &address() const { return Settings.AdvertisedPeer; }
  /// Returns this process under the address of its VM.
  PeerProcess selfProcess() const {
    return {describe(address()), Self.Incarnation};
  }
  /// Returns the id of a process of another VM, unless it is unknown or its VM
  /// has another process now.
  std::optional<VmId> findProcess(const PeerProcess &Process) const;
  const std::string &dataCentre() const { return Settings.DataCentre; }
  /// Returns the process of the VM \p Name to which there is a link, if any.
  std::optional<VmId> linkedProcess(const std::string &Name) const {
    return Mesh.reachable(Name);
  }
  /// Returns true if there is a link to the process \p Peer.
  bool isLinked(const VmId &Peer) const { return Mesh.isReachable(Peer); }
  /// Returns the live control VMs that accept work, including this VM if it is
  /// one.
  std::vector<MemberInfo> liveControlVms() const;

private:
  void handlePayload(const VmId &Sender, std::string_view Payload);
  void handleHeartbeat(const ClusterHeartbeat &Message);
  void sendHeartbeat();
  std::string makeHeartbeat() const;
  MemberInfo selfInfo() const;
  void dialControlVms();
  void dialUnknownVoters();

  EventLoop &Loop;
  const ClusterSettings &Settings;
  VmId Self;
  Callbacks Handlers;
  MemberView View;
  PeerMesh Mesh;
  Timer HeartbeatTimer;
  std::set<Endpoint> Seeds;
  std::set<Endpoint> Voters;
  bool Draining = false;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CLUSTER_CLUSTERBUS_H
