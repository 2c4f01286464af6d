#ifndef SAPPHIREMOOR_PLACEMENT_TYPES_TASKOUTCOME_H
#define SAPPHIREMOOR_PLACEMENT_TYPES_TASKOUTCOME_H

#include <cstdint>

namespace sapphiremoor {

/// How a started task ended.
enum class TaskOutcome : uint8_t {
  Succeeded,
  /// The backend server ran it and answered with a failure.
  Failed,
  /// Known not to have started: connect refused, or refused as busy.
  NotStarted,
  /// No answer; it may have run.
  Lost,
  /// Given up by this VM; says nothing about the backend server.
  Cancelled,
};

/// What follows from the end of one start of a task.
enum class FinishDecision : uint8_t {
  /// The task is queued again, or another start of it is still running.
  Requeued,
  /// The task has ended with the reported outcome.
  Final,
  /// The task had ended before, or the start is unknown; nothing follows.
  AlreadyEnded,
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_PLACEMENT_TYPES_TASKOUTCOME_H
