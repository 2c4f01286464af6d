#include "claims/types/numberset.h"

#include <iterator>

namespace sapphiremoor {

bool NumberSet::contains(uint64_t Number) const {
  const auto NextRange = Ranges.upper_bound(Number);
  return NextRange != Ranges.begin() && std::prev(NextRange)->second >= Number;
}

void NumberSet::insert(uint64_t Number) {
  if (contains(Number))
    return;
  uint64_t Last = Number;
  const auto NextRange = Ranges.upper_bound(Number);
  // The set does not contain Number, so Number + 1 cannot overflow if a range
  // follows.
  if (NextRange != Ranges.end() && NextRange->first == Number + 1) {
    Last = NextRange->second;
    Ranges.erase(NextRange);
  }
  const auto UpperBound = Ranges.upper_bound(Number);
  if (UpperBound != Ranges.begin() &&
      std::prev(UpperBound)->second + 1 == Number) {
    std::prev(UpperBound)->second = Last;
    return;
  }
  Ranges.emplace(Number, Last);
}

} // namespace sapphiremoor
