#ifndef SAPPHIREMOOR_PLACEMENT_INTERNAL_QUEUES_H
#define SAPPHIREMOOR_PLACEMENT_INTERNAL_QUEUES_H

#include "placement/placementstate.h"

#include <cstdint>
#include <string>

namespace sapphiremoor::detail {

uint32_t findOrAddService(PlacementState &State, const std::string &Name);
uint32_t findOrAddTeam(PlacementState &State, const std::string &Name);

/// Removes entries of dropped and released jobs from the front of the queue.
void dropStaleEntries(PlacementState &State, TeamQueue &Queue);

/// Updates the position of a team's queue among the waiting queues of the
/// service.
void refreshWaitingKey(PlacementState &State, uint32_t Service, uint32_t Team);

/// Updates whether the service can start a task now, and its position among the
/// ready services.
void refreshReadyKey(PlacementState &State, uint32_t Service);

/// Returns the backend server for the next start of \p Job, or NoIndex if none
/// is available. \p Excluded is never chosen. Single requests go first to
/// backend servers that are due for a probe.
uint32_t chooseBackend(const PlacementState &State, const JobRecord &Job,
                       uint32_t Excluded);

/// Adds \p Change to the number of running tasks of a team.
void addRunning(PlacementState &State, uint32_t Team, int Change);

/// Advances the quota clock to \p Now. Teams whose use the clock has passed are
/// within their quota again.
void advanceQuotaClock(PlacementState &State, Instant Now);

/// Charges \p SlotSeconds to a team for a job that was queued at \p EnqueuedAt.
void chargeTeam(PlacementState &State, uint32_t Team, double SlotSeconds,
                Instant EnqueuedAt);

/// Changes the number of queued tasks of a job and updates the counts of its
/// queue, service and team.
void addQueued(PlacementState &State, JobRecord &Job, uint32_t Count);
void subtractQueued(PlacementState &State, JobRecord &Job, uint32_t Count);

/// Queues a task again, at the front of its queue.
void requeueTask(PlacementState &State, uint32_t JobIndex, uint32_t TaskIndex);

/// Drops the queued tasks of a job and returns their number.
uint32_t dropQueuedTasks(PlacementState &State, JobRecord &Job);

/// Drops the queued tasks of a job like dropQueuedTasks() and records them, so
/// that expireTasks() returns them.
void expireJob(PlacementState &State, JobRecord &Job);

/// Releases the record of a job that has no queued and no running tasks.
void releaseIfEnded(PlacementState &State, uint32_t JobIndex);

void cancelTimers(PlacementState &State, JobRecord &Job, uint32_t JobIndex);

} // namespace sapphiremoor::detail

#endif // SAPPHIREMOOR_PLACEMENT_INTERNAL_QUEUES_H
