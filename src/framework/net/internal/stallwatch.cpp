#include "framework/net/stallwatch.h"

#include <ctime>

namespace sapphiremoor {

namespace {

constexpr Duration TickPeriod = std::chrono::milliseconds(50);

/// The monotonic clock leaves out the time for which a VM is suspended.
Duration sinceBoot() {
  timespec Time{};
  clock_gettime(CLOCK_BOOTTIME, &Time);
  return std::chrono::duration_cast<Duration>(
      std::chrono::seconds(Time.tv_sec) +
      std::chrono::nanoseconds(Time.tv_nsec));
}

} // namespace

StallWatch::StallWatch(EventLoop &Loop, Duration Limit,
                       std::function<void()> Handler)
    : Limit(Limit), OnStall(std::move(Handler)), Mark(sinceBoot()),
      Tick(Loop, [this] { check(); }) {
  Tick.startPeriodic(TickPeriod);
}

bool StallWatch::check() {
  const Duration Now = sinceBoot();
  const bool Stalled = Now - Mark > Limit;
  Mark = Now;
  if (Stalled)
    OnStall();
  return Stalled;
}

} // namespace sapphiremoor
