#include "dispatch/backendclock.h"

#include <algorithm>

namespace sapphiremoor {

namespace {

/// Lower bound of the clock's rate: it may run 2 % slow; the rest covers
/// rounding to milliseconds.
constexpr double MinClockRate = 0.975;

double toMilliseconds(Duration Length) {
  return std::chrono::duration<double, std::milli>(Length).count();
}

} // namespace

void BackendClock::observe(int64_t ClockMs, Instant Received) {
  LastReading = ClockReading{ClockMs, Received};
}

int64_t BackendClock::grant(Instant Now, Duration LeaseDuration) {
  if (!LastReading)
    return 0;
  const auto End =
      LastReading->ClockMs + static_cast<int64_t>(toMilliseconds(
                                 Now - LastReading->Received + LeaseDuration));
  LatestGrantMs = std::max(LatestGrantMs, End);
  return End;
}

bool BackendClock::expired(Instant Now) const {
  if (!LastReading || LatestGrantMs == 0)
    return true;
  const double EarliestClockMs =
      static_cast<double>(LastReading->ClockMs) +
      MinClockRate * toMilliseconds(Now - LastReading->Received);
  return EarliestClockMs > static_cast<double>(LatestGrantMs);
}

} // namespace sapphiremoor
