#include "dispatch/forecast.h"

#include <algorithm>
#include <functional>

namespace sapphiremoor {

PlaceForecast::PlaceForecast(std::vector<Duration> Places)
    : FreeAfter(std::move(Places)) {
  std::ranges::make_heap(FreeAfter, std::greater{});
}

Duration PlaceForecast::take(std::size_t Count, Duration Length) {
  if (FreeAfter.empty())
    return Duration::max();
  Duration LastStart{0};
  for (std::size_t Task = 0; Task < Count; ++Task) {
    std::ranges::pop_heap(FreeAfter, std::greater{});
    LastStart = FreeAfter.back();
    FreeAfter.back() += Length;
    std::ranges::push_heap(FreeAfter, std::greater{});
  }
  return LastStart;
}

std::size_t PlaceForecast::freeNow() const {
  return static_cast<std::size_t>(
      std::ranges::count(FreeAfter, Duration::zero()));
}

} // namespace sapphiremoor
