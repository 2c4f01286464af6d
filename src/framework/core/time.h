#ifndef SAPPHIREMOOR_FRAMEWORK_CORE_TIME_H
#define SAPPHIREMOOR_FRAMEWORK_CORE_TIME_H

#include <chrono>

namespace sapphiremoor {

/// All durations inside the system are counted in microseconds.
using Duration = std::chrono::microseconds;

/// Clock type of the monotonic time that is passed to the decision functions.
/// It has no now(), because only the event loop reads a clock.
struct DecisionClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<DecisionClock>;
  static constexpr bool is_steady = true;
};

/// A point in the monotonic time of one process.
using Instant = DecisionClock::time_point;

/// Returns the instant \p SinceStart after the epoch of DecisionClock.
constexpr Instant instantAt(Duration SinceStart) { return Instant(SinceStart); }

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_FRAMEWORK_CORE_TIME_H
