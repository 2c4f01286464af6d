#ifndef SAPPHIREMOOR_CLUSTER_METRICSSERVER_H
#define SAPPHIREMOOR_CLUSTER_METRICSSERVER_H

#include "cluster/types/clustersettings.h"
#include "framework/metrics/registry.h"
#include "framework/net/httpserver.h"

namespace sapphiremoor {

/// Serves the metrics of a VM as text over HTTP, if its settings contain an
/// address for them.
class MetricsServer {
public:
  MetricsServer(EventLoop &Loop, const ClusterSettings &Settings,
                Registry &Metrics);

private:
  HttpServer Server;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CLUSTER_METRICSSERVER_H
