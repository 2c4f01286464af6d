#ifndef SAPPHIREMOOR_PLACEMENT_TYPES_JOBRECORD_H
#define SAPPHIREMOOR_PLACEMENT_TYPES_JOBRECORD_H

#include "placement/types/jobnumber.h"

#include "framework/core/time.h"

#include <cstdint>
#include <vector>

namespace sapphiremoor {

/// Index that stands for "no backend server" or "no job".
inline constexpr uint32_t NoIndex = UINT32_MAX;

/// One running start of a task.
struct Attempt {
  uint32_t Backend = NoIndex;
  /// Slot seconds charged to the team when the task started.
  float ChargedSeconds = 0;

  bool isRunning() const { return Backend != NoIndex; }
};

enum class TaskPhase : uint8_t { Queued, Started, Ended };

/// A task, its phase and its running starts. Hedge is the second, concurrent
/// start.
struct TaskRecord {
  Attempt Primary;
  Attempt Hedge;
  TaskPhase Phase = TaskPhase::Queued;
};

/// A job with queued or running tasks.
struct JobRecord {
  JobNumber Number{};
  /// Incremented when the record is reused, which invalidates old queue
  /// entries.
  uint32_t Generation = 0;
  uint32_t Team = 0;
  uint32_t Service = 0;
  uint32_t QueuedTasks = 0;
  uint32_t RunningTasks = 0;
  bool SingleRequest = false;
  /// True if the job was cancelled or has expired; no further task of it
  /// starts.
  bool Dropped = false;
  bool HedgeScheduled = false;
  bool DeadlineScheduled = false;
  Instant Deadline = Instant::max();
  Instant HedgeAt{};
  Instant EnqueuedAt{};
  /// Wait predicted when the job was queued.
  Duration PredictedWait{0};
  uint64_t Sequence = 0;
  std::vector<TaskRecord> Tasks;
};

/// A range of consecutive queued tasks of one job.
struct QueueEntry {
  uint32_t Job = NoIndex;
  uint32_t Generation = 0;
  uint32_t NextTask = 0;
  uint32_t EndTask = 0;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_PLACEMENT_TYPES_JOBRECORD_H
