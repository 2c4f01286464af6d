#ifndef SAPPHIREMOOR_FRAMEWORK_EVENTLOG_LINEBUDGET_H
#define SAPPHIREMOOR_FRAMEWORK_EVENTLOG_LINEBUDGET_H

#include <cstdint>

namespace sapphiremoor {

/// Bounds the log lines of one process. Lines over the bound are counted, so
/// that the gap shows in the log.
class LineBudget {
public:
  explicit LineBudget(uint64_t MaxLinesPerSecond)
      : MaxLinesPerSecond(MaxLinesPerSecond) {}

  /// Returns true if a line may be written in the second \p Second.
  bool admit(int64_t Second);
  /// Counts lines that were admitted and could not be written.
  void countDropped(uint64_t Lines) { DroppedLines += Lines; }
  /// Returns the number of lines left out in earlier seconds, once.
  uint64_t takeDropped(int64_t Second);

private:
  uint64_t MaxLinesPerSecond;
  int64_t CurrentSecond = 0;
  uint64_t WrittenLines = 0;
  uint64_t DroppedLines = 0;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_FRAMEWORK_EVENTLOG_LINEBUDGET_H
