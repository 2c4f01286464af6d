#ifndef SAPPHIREMOOR_FRAMEWORK_METRICS_LATENCYHISTOGRAM_H
#define SAPPHIREMOOR_FRAMEWORK_METRICS_LATENCYHISTOGRAM_H

#include "framework/core/time.h"

#include <boost/histogram.hpp>

#include <cstdint>
#include <optional>
#include <tuple>
#include <vector>

namespace sapphiremoor {

/// A histogram of durations on a logarithmic axis from 10 µs to 100 s with 20
/// bins per decade: a quantile is off by at most 12.3 % within that range.
class LatencyHistogram {
public:
  /// One cumulative bucket of the exposition format.
  struct Bucket {
    double UpperSeconds;
    uint64_t CumulativeCount;
  };

  LatencyHistogram();

  /// Counts one duration. Shorter and longer ones than the axis covers are
  /// counted too, with the value of the axis's end; negative ones as zero.
  void record(Duration Sample);

  uint64_t count() const { return SampleCount; }
  double sumSeconds() const { return TotalSeconds; }

  /// Returns the duration below which \p Fraction (0 to 1) of the samples lie,
  /// or nothing if there are no samples.
  std::optional<Duration> quantile(double Fraction) const;

  /// Returns the cumulative counts at four bounds per decade, without the
  /// bound at infinity, whose count is count().
  std::vector<Bucket> buckets() const;

private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Histogram =
      boost::histogram::histogram<std::tuple<Axis>,
                                  boost::histogram::dense_storage<uint64_t>>;

  Histogram Bins;
  uint64_t SampleCount = 0;
  double TotalSeconds = 0;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_FRAMEWORK_METRICS_LATENCYHISTOGRAM_H
