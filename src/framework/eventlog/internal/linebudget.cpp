#include "framework/eventlog/linebudget.h"

#include <utility>

namespace sapphiremoor {

bool LineBudget::admit(int64_t Second) {
  if (Second != Current) {
    Current = Second;
    Written = 0;
  }
  if (Written >= LinesPerSecond) {
    ++Dropped;
    return false;
  }
  ++Written;
  return true;
}

uint64_t LineBudget::takeDropped(int64_t Second) {
  return Second == Current ? 0 : std::exchange(Dropped, 0);
}

} // namespace sapphiremoor
