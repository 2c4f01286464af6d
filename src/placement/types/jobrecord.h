#ifndef SAPPHIREMOOR_PLACEMENT_TYPES_JOBRECORD_H
#define SAPPHIREMOOR_PLACEMENT_TYPES_JOBRECORD_H

#include "placement/types/jobnumber.h"

#include "framework/core/time.h"

#include <cstdint>
#include <vector>

namespace sapphiremoor {

/// Marks "no backend server" and "no job" among indexes.
inline constexpr uint32_t NoIndex = UINT32_MAX;

/// One start of a task that is still running.
struct Attempt {
  uint32_t Backend = NoIndex;
  /// Slot seconds charged to the team for this start.
  float ChargedSeconds = 0;

  bool isRunning() const { return Backend != NoIndex; }
};

enum class TaskPhase : uint8_t { Queued, Started, Ended };

/// One task: its phase and its running starts (the second is the hedge).
struct TaskRecord {
  Attempt Primary;
  Attempt Hedge;
  TaskPhase Phase = TaskPhase::Queued;
};

/// A job that has queued or running tasks.
struct JobRecord {
  JobNumber Number{};
  /// Raised when the record is used again, so that old queue entries die.
  uint32_t Generation = 0;
  uint32_t Team = 0;
  uint32_t Service = 0;
  uint32_t QueuedTasks = 0;
  uint32_t RunningTasks = 0;
  bool SingleRequest = false;
  /// Cancelled or expired: no further task starts.
  bool Dropped = false;
  bool HedgeScheduled = false;
  bool DeadlineScheduled = false;
  Instant Deadline = Instant::max();
  Instant HedgeAt{};
  Instant EnqueuedAt{};
  /// Wait that admission would have predicted when the job was queued.
  Duration PredictedWait{0};
  uint64_t Sequence = 0;
  std::vector<TaskRecord> Tasks;
};

/// Consecutive queued tasks of one job.
struct QueueEntry {
  uint32_t Job = NoIndex;
  uint32_t Generation = 0;
  uint32_t NextTask = 0;
  uint32_t EndTask = 0;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_PLACEMENT_TYPES_JOBRECORD_H
