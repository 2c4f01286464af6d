#ifndef SAPPHIREMOOR_PLACEMENT_TYPES_RUNTIMES_H
#define SAPPHIREMOOR_PLACEMENT_TYPES_RUNTIMES_H

#include "framework/core/time.h"

#include <boost/histogram.hpp>

#include <cstdint>
#include <tuple>

namespace sapphiremoor {

/// Learned run times of a service: an exponentially weighted mean and a
/// log-bucket histogram whose old samples fade.
class RunTimes {
public:
  explicit RunTimes(Duration DeclaredRunTime = Duration{300'000});

  void addSample(Duration RunTime);
  /// Replaces the declared run time as long as little has been learned.
  void setDeclared(Duration DeclaredRunTime);

  Duration mean() const { return Duration{static_cast<int64_t>(Mean)}; }
  uint64_t sampleCount() const { return SampleCount; }

  /// Returns the run time that the part \p Share of the tasks does not exceed.
  Duration quantile(double Share) const;
  /// Returns the 95th percentile, computed again every few samples.
  Duration percentile95() const { return CachedPercentile95; }

private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Histogram =
      boost::histogram::histogram<std::tuple<Axis>,
                                  boost::histogram::dense_storage<double>>;

  Histogram Buckets;
  double TotalWeight = 0;
  double Mean;
  uint64_t SampleCount = 0;
  Duration CachedPercentile95;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_PLACEMENT_TYPES_RUNTIMES_H
