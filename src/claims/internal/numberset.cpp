#include "claims/types/numberset.h"

#include <iterator>

namespace sapphiremoor {

bool NumberSet::contains(uint64_t Number) const {
  const auto Next = Ranges.upper_bound(Number);
  return Next != Ranges.begin() && std::prev(Next)->second >= Number;
}

void NumberSet::insert(uint64_t Number) {
  if (contains(Number))
    return;
  uint64_t Last = Number;
  const auto Next = Ranges.upper_bound(Number);
  // Number is not contained, so Number + 1 cannot overflow when a range
  // follows.
  if (Next != Ranges.end() && Next->first == Number + 1) {
    Last = Next->second;
    Ranges.erase(Next);
  }
  const auto After = Ranges.upper_bound(Number);
  if (After != Ranges.begin() && std::prev(After)->second + 1 == Number) {
    std::prev(After)->second = Last;
    return;
  }
  Ranges.emplace(Number, Last);
}

} // namespace sapphiremoor
