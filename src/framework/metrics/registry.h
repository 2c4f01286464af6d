#ifndef SAPPHIREMOOR_FRAMEWORK_METRICS_REGISTRY_H
#define SAPPHIREMOOR_FRAMEWORK_METRICS_REGISTRY_H

#include "framework/metrics/counter.h"
#include "framework/metrics/gauge.h"
#include "framework/metrics/latencyhistogram.h"
#include "framework/metrics/types/labels.h"

#include <map>
#include <string>

namespace sapphiremoor {

/// The metrics of one daemon, owned by the thread of the event loop. Not
/// thread-safe.
///
/// Each function below returns the metric with the given name and labels, and
/// creates it at first use. The references stay valid for the lifetime of the
/// registry. Code that runs for each task should store them. The help text of
/// the first call is kept. Characters that the text format forbids in a name
/// are replaced by '_'. Use a name for one kind of metric only: text() leaves
/// out a second kind.
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
  /// The metrics of one name. text() writes only the first map that is not
  /// empty.
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
