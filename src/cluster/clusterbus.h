#ifndef SAPPHIREMOOR_CLUSTER_CLUSTERBUS_H
#define SAPPHIREMOOR_CLUSTER_CLUSTERBUS_H

#include "cluster/types/clustermessage.h"
#include "cluster/types/clustersettings.h"
#include "discovery/memberview.h"
#include "framework/net/peermesh.h"
#include "framework/net/timer.h"

#include <functional>
#include <set>
#include <string>

namespace sapphiremoor {

/// Links of one VM to the others: finds them, exchanges heartbeats and carries
/// messages.
class ClusterBus {
public:
  struct Callbacks {
    std::function<void(const VmId &, const ClusterMessage &)> OnMessage;
    std::function<void(const VmId &)> OnPeerUp;
    std::function<void(const VmId &)> OnPeerDown;
    /// Returns true if this VM stood still; what was received is dropped then.
    std::function<bool()> CheckStall;
    /// Fills the parts of the own heartbeat that the owner knows.
    std::function<void(ClusterHeartbeat &)> FillHeartbeat;
  };

  ClusterBus(EventLoop &Loop, const ClusterSettings &Settings, const VmId &Self,
             Callbacks EventHandlers);

  /// Listens and dials the seeds.
  Result<Done> start();
  /// Dials seeds that were named later.
  void addSeeds(const std::vector<Endpoint> &NewSeeds);

  bool send(const std::string &PeerName, const ClusterMessage &Message);
  /// Sends to each VM of \p Role that is linked.
  void sendToRole(MemberRole Role, const ClusterMessage &Message);
  void drain();
  /// Breaks all links: what waits in them is old.
  void dropLinks() { Mesh.closeAll(); }

  const MemberView &members() const { return View; }
  const VmId &self() const { return Self; }
  const std::string &dataCentre() const { return Settings.DataCentre; }
  bool isLinked(const std::string &Name) const { return Mesh.reachable(Name); }
  /// Control VMs that are live and take work, with this VM if it is one.
  std::vector<MemberInfo> liveControlVms() const;

private:
  void handlePayload(const VmId &Sender, std::string_view Payload);
  void handleHeartbeat(const VmId &Sender, const ClusterHeartbeat &Message);
  void sendHeartbeat();
  MemberInfo selfInfo() const;
  void dialControlVms();

  EventLoop &Loop;
  const ClusterSettings &Settings;
  VmId Self;
  Callbacks Handlers;
  MemberView View;
  PeerMesh Mesh;
  Timer HeartbeatTimer;
  std::set<Endpoint> Seeds;
  bool Draining = false;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CLUSTER_CLUSTERBUS_H
