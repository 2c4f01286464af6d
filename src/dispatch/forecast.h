#ifndef SAPPHIREMOOR_DISPATCH_FORECAST_H
#define SAPPHIREMOOR_DISPATCH_FORECAST_H

#include "framework/core/time.h"

#include <cstddef>
#include <vector>

namespace sapphiremoor {

/// Forecasts when slots for tasks of one shape become free, relative to now.
/// Tasks are assigned to slots in the order in which they are added.
class SlotForecast {
public:
  explicit SlotForecast(std::vector<Duration> SlotFreeAfter);

  /// Assigns \p Count tasks of \p Length to the earliest slots. Returns when
  /// the last of them starts, or Duration::max() if there are no slots.
  Duration reserve(std::size_t Count, Duration Length);

  /// Returns the number of slots that are free now.
  std::size_t freeNow() const;

private:
  /// Time until each slot is free; a min-heap.
  std::vector<Duration> SlotFreeAfter;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_DISPATCH_FORECAST_H
