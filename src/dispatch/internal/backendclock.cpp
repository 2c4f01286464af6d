#include "dispatch/backendclock.h"

#include <algorithm>

namespace sapphiremoor {

namespace {

/// The clock may be 2 % slow; the rest covers rounding to milliseconds.
constexpr double SlowestRate = 0.975;

double millisecondsOf(Duration Of) {
  return std::chrono::duration<double, std::milli>(Of).count();
}

} // namespace

void BackendClock::observe(int64_t ClockMs, Instant Received) {
  Reading = Sample{ClockMs, Received};
}

int64_t BackendClock::grant(Instant Now, Duration Lease) {
  if (!Reading)
    return 0;
  const auto End =
      Reading->ClockMs +
      static_cast<int64_t>(millisecondsOf(Now - Reading->Received + Lease));
  GrantedMs = std::max(GrantedMs, End);
  return End;
}

bool BackendClock::expired(Instant Now) const {
  if (!Reading || GrantedMs == 0)
    return true;
  const double Earliest = static_cast<double>(Reading->ClockMs) +
                          SlowestRate * millisecondsOf(Now - Reading->Received);
  return Earliest > static_cast<double>(GrantedMs);
}

} // namespace sapphiremoor
