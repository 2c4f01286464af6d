#include "framework/net/stallwatch.h"

#include <ctime>

namespace sapphiremoor {

namespace {

constexpr Duration CheckPeriod = std::chrono::milliseconds(50);

/// Reads CLOCK_BOOTTIME, because CLOCK_MONOTONIC does not count the time for
/// which the VM is suspended.
Duration timeSinceBoot() {
  timespec Time{};
  clock_gettime(CLOCK_BOOTTIME, &Time);
  return std::chrono::duration_cast<Duration>(
      std::chrono::seconds(Time.tv_sec) +
      std::chrono::nanoseconds(Time.tv_nsec));
}

} // namespace

StallWatch::StallWatch(EventLoop &Loop, Duration Limit,
                       std::function<void()> Handler)
    : Limit(Limit), OnStall(std::move(Handler)), LastCheck(timeSinceBoot()),
      CheckTimer(Loop, [this] { check(); }) {
  CheckTimer.startPeriodic(CheckPeriod);
}

bool StallWatch::check() {
  const Duration Now = timeSinceBoot();
  const bool Stalled = Now - LastCheck > Limit;
  LastCheck = Now;
  if (Stalled)
    OnStall();
  return Stalled;
}

} // namespace sapphiremoor
