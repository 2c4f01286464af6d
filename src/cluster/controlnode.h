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

/// A control VM: replicates the configuration with the other control VMs and
/// dispatches tasks to the backend servers that it owns.
class ControlNode {
public:
  ControlNode(EventLoop &Loop, const ClusterSettings &Settings,
              BackendOrders Orders);

  Result<Done> start();
  /// Hands over the backend servers and finishes the running jobs.
  void drain();
  /// Returns true once no request is open and no backend server is owned.
  bool isDrained();

  RegisterService &configuration() { return Configuration; }
  BackendDirectory &backends() { return Backends; }
  void addSeeds(const std::vector<Endpoint> &NewSeeds) {
    Bus.addSeeds(NewSeeds);
  }
  Registry &metrics() { return Metrics; }

private:
  void handleMessage(const VmId &Sender, const ClusterMessage &Message);
  void handleHeartbeat(const VmId &Sender, const ClusterHeartbeat &Message);
  void handleChosenValue(const RegisterValue &Value);
  void handleStall();

  EventLoop &Loop;
  const ClusterSettings &Settings;
  Registry Metrics;
  ClusterBus Bus;
  RegisterService Configuration;
  DispatchService Dispatch;
  JobStoreService JobStore;
  BackendDirectory Backends;
  Instant ConfigurationRequestedAt;
  StallWatch Watch;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CLUSTER_CONTROLNODE_H
