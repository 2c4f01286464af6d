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
    std::function<void(const VmId &, const ClusterMessage &)> Message;
    std::function<void(const VmId &)> Up;
    std::function<void(const VmId &)> Down;
    /// Returns true if this VM stood still; what was received is dropped then.
    std::function<bool()> Stalled;
    /// Fills the parts of the own heartbeat that the owner knows.
    std::function<void(ClusterHeartbeat &)> Describe;
  };

  ClusterBus(EventLoop &Loop, const ClusterSettings &Of, const VmId &Self,
             Callbacks Calls);

  /// Listens and dials the seeds.
  Result<Done> start();
  /// Dials seeds that were named later.
  void addSeeds(const std::vector<Endpoint> &Seeds);

  bool send(const std::string &To, const ClusterMessage &Message);
  /// Sends to each VM of \p Role that is linked.
  void sendToRole(MemberRole Role, const ClusterMessage &Message);
  void drain();
  /// Breaks all links: what waits in them is old.
  void dropLinks() { Mesh.closeAll(); }

  const MemberView &members() const { return View; }
  const VmId &self() const { return Self; }
  const std::string &dataCentre() const { return Of.DataCentre; }
  bool linked(const std::string &Name) const { return Mesh.reachable(Name); }
  /// Control VMs that are live and take work, with this VM if it is one.
  std::vector<MemberInfo> liveControls() const;

private:
  void received(const VmId &From, std::string_view Payload);
  void heartbeat(const VmId &From, const ClusterHeartbeat &Message);
  void beat();
  MemberInfo describeSelf() const;
  void dialControls();

  EventLoop &Loop;
  const ClusterSettings &Of;
  VmId Self;
  Callbacks Calls;
  MemberView View;
  PeerMesh Mesh;
  Timer BeatTimer;
  std::set<Endpoint> Seeds;
  bool Draining = false;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CLUSTER_CLUSTERBUS_H
