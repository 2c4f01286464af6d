#ifndef SAPPHIREMOOR_FRAMEWORK_EVENTLOG_LINEBUDGET_H
#define SAPPHIREMOOR_FRAMEWORK_EVENTLOG_LINEBUDGET_H

#include <cstdint>

namespace sapphiremoor {

/// Limits the log lines that one process writes per second. Lines over the
/// limit are counted, so that the log can report the gap.
class LineBudget {
public:
  explicit LineBudget(uint64_t MaxLinesPerSecond)
      : MaxLinesPerSecond(MaxLinesPerSecond) {}

  /// Returns true if a line may be written in the second \p Second.
  bool admit(int64_t Second);
  /// Counts \p Lines as dropped, which were admitted but could not be written.
  void countDropped(uint64_t Lines) { DroppedLines += Lines; }
  /// Returns and resets the number of dropped lines. Returns 0 during the
  /// second in which they were dropped.
  uint64_t takeDropped(int64_t Second);

private:
  uint64_t MaxLinesPerSecond;
  int64_t CurrentSecond = 0;
  uint64_t WrittenLines = 0;
  uint64_t DroppedLines = 0;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_FRAMEWORK_EVENTLOG_LINEBUDGET_H
