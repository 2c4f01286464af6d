#ifndef SAPPHIREMOOR_PLACEMENT_TYPES_TIMERQUEUE_H
#define SAPPHIREMOOR_PLACEMENT_TYPES_TIMERQUEUE_H

#include "framework/core/time.h"

#include <cstdint>
#include <optional>
#include <set>
#include <utility>

namespace sapphiremoor {

/// Timers, each identified by its time and the number of its owner. The owner
/// stores the time, because cancel() needs it.
class TimerQueue {
public:
  void schedule(Instant Time, uint64_t Owner) { Timers.emplace(Time, Owner); }
  void cancel(Instant Time, uint64_t Owner) { Timers.erase({Time, Owner}); }

  std::optional<Instant> first() const {
    if (Timers.empty())
      return std::nullopt;
    return Timers.begin()->first;
  }

  /// Removes and returns the owner of the first timer that is due.
  std::optional<uint64_t> takeDue(Instant Now) {
    if (Timers.empty() || Timers.begin()->first > Now)
      return std::nullopt;
    const uint64_t Owner = Timers.begin()->second;
    Timers.erase(Timers.begin());
    return Owner;
  }

private:
  std::set<std::pair<Instant, uint64_t>> Timers;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_PLACEMENT_TYPES_TIMERQUEUE_H
