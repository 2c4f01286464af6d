#ifndef SAPPHIREMOOR_PLACEMENT_TYPES_TASKOUTCOME_H
#define SAPPHIREMOOR_PLACEMENT_TYPES_TASKOUTCOME_H

#include <cstdint>

namespace sapphiremoor {

/// How a started task ended.
enum class TaskOutcome : uint8_t {
  Succeeded,
  /// The backend server ran the task and reported a failure.
  Failed,
  /// The task certainly did not start: the connection was refused, or the
  /// backend server refused it as busy.
  NotStarted,
  /// No answer arrived; the task may have run.
  Lost,
  /// Cancelled by this VM. Says nothing about the backend server.
  Cancelled,
};

/// Consequence of the end of one start for the task.
enum class FinishDecision : uint8_t {
  /// The task is queued again, or another start of it is still running.
  Requeued,
  /// The task has ended with the reported outcome.
  Final,
  /// The task had ended before, or the start is unknown. Nothing happens.
  AlreadyEnded,
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_PLACEMENT_TYPES_TASKOUTCOME_H
