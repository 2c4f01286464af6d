#ifndef SAPPHIREMOOR_PLACEMENT_INTERNAL_QUEUES_H
#define SAPPHIREMOOR_PLACEMENT_INTERNAL_QUEUES_H

#include "placement/placementstate.h"

#include <cstdint>
#include <string>

namespace sapphiremoor::detail {

uint32_t findOrAddService(PlacementState &State, const std::string &Name);
uint32_t findOrAddTeam(PlacementState &State, const std::string &Name);

/// Removes dead entries from the front of the queue.
void dropStaleEntries(PlacementState &State, TeamQueue &Queue);

/// Computes the place of a queue among the waiting ones of its service again.
void refreshWaitingKey(PlacementState &State, uint32_t Service, uint32_t Team);

/// Computes again whether a service can start a task now, and its order.
void refreshReadyKey(PlacementState &State, uint32_t Service);

/// Returns the backend server that the next start of \p Job goes to, other
/// than \p Excluded, or NoIndex. Single requests go to due probes first.
uint32_t chooseBackend(const PlacementState &State, const JobRecord &Job,
                       uint32_t Excluded);

/// Changes the number of running tasks of a team.
void addRunning(PlacementState &State, uint32_t Team, int Change);

/// Moves the quota clock and puts teams back within their quota.
void advanceQuotaClock(PlacementState &State, Instant Now);

/// Charges a team for \p SlotSeconds of a job queued at \p EnqueuedAt.
void chargeTeam(PlacementState &State, uint32_t Team, double SlotSeconds,
                Instant EnqueuedAt);

/// Changes the number of queued tasks of a job's queue and all its sums.
void addQueued(PlacementState &State, JobRecord &Job, uint32_t Count);
void subtractQueued(PlacementState &State, JobRecord &Job, uint32_t Count);

/// Queues a task again, before all others of its queue.
void requeueTask(PlacementState &State, uint32_t JobIndex, uint32_t TaskIndex);

/// Drops the queued tasks of a job and returns their number.
uint32_t dropQueuedTasks(PlacementState &State, JobRecord &Job);

/// As dropQueuedTasks, and keeps the tasks for expireTasks.
void expireJob(PlacementState &State, JobRecord &Job);

/// Frees the record of a job that has no queued and no running task.
void releaseIfEnded(PlacementState &State, uint32_t JobIndex);

void cancelTimers(PlacementState &State, JobRecord &Job, uint32_t JobIndex);

} // namespace sapphiremoor::detail

#endif // SAPPHIREMOOR_PLACEMENT_INTERNAL_QUEUES_H
