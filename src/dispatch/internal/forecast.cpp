#include "dispatch/forecast.h"

#include <algorithm>
#include <functional>

namespace sapphiremoor {

SlotForecast::SlotForecast(std::vector<Duration> SlotTimes)
    : SlotFreeAfter(std::move(SlotTimes)) {
  std::ranges::make_heap(SlotFreeAfter, std::greater{});
}

Duration SlotForecast::reserve(std::size_t Count, Duration Length) {
  if (SlotFreeAfter.empty())
    return Duration::max();
  Duration LastStart{0};
  for (std::size_t Task = 0; Task < Count; ++Task) {
    std::ranges::pop_heap(SlotFreeAfter, std::greater{});
    LastStart = SlotFreeAfter.back();
    SlotFreeAfter.back() += Length;
    std::ranges::push_heap(SlotFreeAfter, std::greater{});
  }
  return LastStart;
}

std::size_t SlotForecast::freeNow() const {
  return static_cast<std::size_t>(
      std::ranges::count(SlotFreeAfter, Duration::zero()));
}

} // namespace sapphiremoor
