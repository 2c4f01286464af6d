#ifndef SAPPHIREMOOR_FRAMEWORK_CORE_TIME_H
#define SAPPHIREMOOR_FRAMEWORK_CORE_TIME_H

#include <chrono>

namespace sapphiremoor {

/// All durations inside the system are counted in microseconds.
using Duration = std::chrono::microseconds;

/// Tag of the monotonic time line that is passed into the decision functions.
/// It has no now(): only the event loop reads a clock.
struct DecisionClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<DecisionClock>;
  static constexpr bool is_steady = true;
};

/// A point on the monotonic time line of one process.
using Instant = DecisionClock::time_point;

/// Returns the instant \p SinceStart after the origin of the time line.
constexpr Instant instantAt(Duration SinceStart) { return Instant(SinceStart); }

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_FRAMEWORK_CORE_TIME_H
