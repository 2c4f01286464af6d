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
  explicit RunTimes(Duration Declared = Duration{300'000});

  void learn(Duration RunTime);
  /// Replaces the declared run time as long as little has been learned.
  void declare(Duration Declared);

  Duration mean() const { return Duration{static_cast<int64_t>(Mean)}; }
  uint64_t samples() const { return Samples; }

  /// Returns the run time that the part \p Share of the tasks does not exceed.
  Duration quantile(double Share) const;
  /// Returns the 95th percentile, computed again every few samples.
  Duration percentile95() const { return Cached95; }

private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Histogram =
      boost::histogram::histogram<std::tuple<Axis>,
                                  boost::histogram::dense_storage<double>>;

  Histogram Buckets;
  double Total = 0;
  double Mean;
  uint64_t Samples = 0;
  Duration Cached95;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_PLACEMENT_TYPES_RUNTIMES_H
