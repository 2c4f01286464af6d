#ifndef SAPPHIREMOOR_DISPATCH_BACKENDCLOCK_H
#define SAPPHIREMOOR_DISPATCH_BACKENDCLOCK_H

#include "framework/core/time.h"

#include <cstdint>
#include <optional>

namespace sapphiremoor {

/// Estimates the steady clock of a backend server, in milliseconds, from its
/// readings. The clock may run up to 2 % slow.
class BackendClock {
public:
  /// Records a reading of the clock that arrived at \p Received.
  void observe(int64_t ClockMs, Instant Received);

  bool hasReading() const { return LastReading.has_value(); }

  /// Returns the lease end \p LeaseDuration after \p Now on that clock and
  /// records it as granted. Returns 0 if the clock was never read.
  int64_t grant(Instant Now, Duration LeaseDuration);

  /// Returns true if every granted lease has certainly expired. A clock that
  /// was never read has granted none.
  bool expired(Instant Now) const;

private:
  struct ClockReading {
    int64_t ClockMs = 0;
    Instant Received;
  };

  std::optional<ClockReading> LastReading;
  int64_t LatestGrantMs = 0;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_DISPATCH_BACKENDCLOCK_H
