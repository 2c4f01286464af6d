#include "cluster/metricsserver.h"

#include "framework/eventlog/eventlog.h"
#include "framework/metrics/processmemory.h"

namespace sapphiremoor {

MetricsServer::MetricsServer(EventLoop &Loop, const ClusterSettings &Settings,
                             Registry &Metrics)
    : Server(
          Loop, {}, [&Metrics](const HttpRequest &, const Responder &Client) {
            recordProcessMemory(Metrics);
            Client.respond({200, Metrics.text(), "text/plain; version=0.0.4"});
          }) {
  if (!Settings.Metrics)
    return;
  const Result<uint16_t> Bound = Server.listen(*Settings.Metrics);
  if (isError(Bound))
    logEvent(events::SettingsRejected, {{"error", describe(errorOf(Bound))}});
}

} // namespace sapphiremoor
