#ifndef SAPPHIREMOOR_FRAMEWORK_EVENTLOG_LINEBUDGET_H
#define SAPPHIREMOOR_FRAMEWORK_EVENTLOG_LINEBUDGET_H

#include <cstdint>

namespace sapphiremoor {

/// Bounds the log lines of one process. Lines over the bound are counted, so
/// that the gap shows in the log.
class LineBudget {
public:
  explicit LineBudget(uint64_t LinesPerSecond)
      : LinesPerSecond(LinesPerSecond) {}

  /// Returns true if a line may be written in the second \p Second.
  bool admit(int64_t Second);
  /// Counts lines that were admitted and could not be written.
  void lose(uint64_t Lines) { Dropped += Lines; }
  /// Returns the number of lines left out in earlier seconds, once.
  uint64_t takeDropped(int64_t Second);

private:
  uint64_t LinesPerSecond;
  int64_t Current = 0;
  uint64_t Written = 0;
  uint64_t Dropped = 0;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_FRAMEWORK_EVENTLOG_LINEBUDGET_H
