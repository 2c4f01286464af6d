#ifndef SAPPHIREMOOR_FRAMEWORK_METRICS_REGISTRY_H
#define SAPPHIREMOOR_FRAMEWORK_METRICS_REGISTRY_H

#include "framework/metrics/counter.h"
#include "framework/metrics/gauge.h"
#include "framework/metrics/latencyhistogram.h"
#include "framework/metrics/types/labels.h"

#include <map>
#include <string>

namespace sapphiremoor {

/// The metrics of one daemon, owned by the event-loop task; not thread-safe.
///
/// Each function below returns the metric with these labels, which is created
/// at first use. The references stay valid for the registry's life: keep them
/// on paths taken per task. The help text of the first call is kept. Characters
/// that the text format forbids in a name are replaced by '_'. Use a name for
/// one kind of metric only: the exposition of a second kind is left out.
class Registry {
public:
  Counter &counter(const std::string &Name, const std::string &Help,
                   const Labels &MetricLabels = {});
  Gauge &gauge(const std::string &Name, const std::string &Help,
               const Labels &MetricLabels = {});
  LatencyHistogram &histogram(const std::string &Name, const std::string &Help,
                              const Labels &MetricLabels = {});

  /// Returns all metrics in the Prometheus text format 0.0.4, sorted by name.
  /// Serve it as "text/plain; version=0.0.4".
  std::string text() const;

private:
  /// The metrics of one name; only one of the three maps is exposed.
  struct Family {
    std::string Help;
    std::map<Labels, Counter> Counters;
    std::map<Labels, Gauge> Gauges;
    std::map<Labels, LatencyHistogram> Histograms;
  };

  Family &family(const std::string &Name, const std::string &Help);
  static std::string formatFamily(const std::string &Name,
                                  const Family &MetricFamily);

  std::map<std::string, Family> Families;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_FRAMEWORK_METRICS_REGISTRY_H
