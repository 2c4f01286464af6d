#ifndef SAPPHIREMOOR_CLUSTER_CONTROLNODE_H
#define SAPPHIREMOOR_CLUSTER_CONTROLNODE_H

#include "cluster/backenddirectory.h"
#include "cluster/clusterbus.h"
#include "cluster/dispatchservice.h"
#include "cluster/jobstoreservice.h"
#include "cluster/registerservice.h"
#include "framework/metrics/registry.h"
#include "framework/net/stallwatch.h"

#include <functional>

namespace sapphiremoor {

/// A control VM: keeps the configuration with the others and dispatches tasks
/// to its share of the backend servers.
class ControlNode {
public:
  ControlNode(EventLoop &Loop, const ClusterSettings &Of, BackendOrders Orders);

  Result<Done> start();
  /// Hands its backend servers over and finishes its jobs.
  void drain();
  bool drained();

  RegisterService &configuration() { return Configuration; }
  BackendDirectory &backends() { return Backends; }
  void addSeeds(const std::vector<Endpoint> &Seeds) { Bus.addSeeds(Seeds); }
  Registry &metrics() { return Metrics; }

private:
  void received(const VmId &From, const ClusterMessage &Message);
  void heartbeat(const VmId &From, const ClusterHeartbeat &Message);
  void chosen(const RegisterValue &Value);
  void stalled();

  EventLoop &Loop;
  const ClusterSettings &Of;
  Registry Metrics;
  ClusterBus Bus;
  RegisterService Configuration;
  DispatchService Dispatch;
  JobStoreService Stored;
  BackendDirectory Backends;
  Instant ConfigurationAsked;
  StallWatch Watch;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CLUSTER_CONTROLNODE_H
