#ifndef SAPPHIREMOOR_DISPATCH_FORECAST_H
#define SAPPHIREMOOR_DISPATCH_FORECAST_H

#include "framework/core/time.h"

#include <cstddef>
#include <vector>

namespace sapphiremoor {

/// When places for one more task become free, from now on. Tasks take places in
/// the order in which they are added.
class SlotForecast {
public:
  explicit SlotForecast(std::vector<Duration> SlotFreeAfter);

  /// Lets \p Count tasks of \p Length take the earliest places. Returns when
  /// the last of them starts, or Duration::max() if there are no places.
  Duration reserve(std::size_t Count, Duration Length);

  /// Returns the number of places that are free now.
  std::size_t freeNow() const;

private:
  /// A heap whose first element is the earliest.
  std::vector<Duration> SlotFreeAfter;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_DISPATCH_FORECAST_H
