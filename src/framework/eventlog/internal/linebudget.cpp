#include "framework/eventlog/linebudget.h"

#include <utility>

namespace sapphiremoor {

bool LineBudget::admit(int64_t Second) {
  if (Second != CurrentSecond) {
    CurrentSecond = Second;
    WrittenLines = 0;
  }
  if (WrittenLines >= MaxLinesPerSecond) {
    ++DroppedLines;
    return false;
  }
  ++WrittenLines;
  return true;
}

uint64_t LineBudget::takeDropped(int64_t Second) {
  return Second == CurrentSecond ? 0 : std::exchange(DroppedLines, 0);
}

} // namespace sapphiremoor
