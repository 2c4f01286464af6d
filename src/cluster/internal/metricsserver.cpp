#include "cluster/metricsserver.h"

#include "framework/eventlog/eventlog.h"

namespace sapphiremoor {

MetricsServer::MetricsServer(EventLoop &Loop, const ClusterSettings &Of,
                             Registry &Metrics)
    : Server(Loop, {}, [&Metrics](const HttpRequest &, const Responder &To) {
        To.respond({200, Metrics.text(), "text/plain; version=0.0.4"});
      }) {
  if (!Of.Metrics)
    return;
  const Result<uint16_t> Bound = Server.listen(*Of.Metrics);
  if (isError(Bound))
    logEvent(events::SettingsRejected, {{"error", describe(errorOf(Bound))}});
}

} // namespace sapphiremoor
