#ifndef SAPPHIREMOOR_PLACEMENT_TYPES_RUNTIMES_H
#define SAPPHIREMOOR_PLACEMENT_TYPES_RUNTIMES_H

#include "framework/core/time.h"

#include <boost/histogram.hpp>

#include <cstdint>
#include <tuple>

namespace sapphiremoor {

/// Learned run times of a service: an exponentially weighted mean and a
/// logarithmic histogram in which old samples lose influence.
class RunTimes {
public:
  explicit RunTimes(Duration DeclaredRunTime = Duration{300'000});

  void addSample(Duration RunTime);
  /// Replaces the declared run time unless 8 or more samples were added.
  void setDeclared(Duration DeclaredRunTime);

  Duration mean() const { return Duration{static_cast<int64_t>(Mean)}; }
  uint64_t sampleCount() const { return SampleCount; }

  /// Returns the run time that a share \p Share of the tasks does not exceed.
  Duration quantile(double Share) const;
  /// Returns the 95th percentile, which is recomputed every 64 samples, and
  /// first after 20.
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
