#ifndef SAPPHIREMOOR_PLACEMENT_PLACEMENT_H
#define SAPPHIREMOOR_PLACEMENT_PLACEMENT_H

/// \file
/// Placement decides which queued task starts on which backend server, and
/// when. It is a set of pure functions over PlacementState: no socket, clock,
/// thread or disk. A caller passes the current time, which never goes back.

#include "placement/placementstate.h"
#include "placement/types/jobshape.h"
#include "placement/types/taskoutcome.h"
#include "placement/types/taskstart.h"

#include "framework/core/result.h"

#include <optional>
#include <utility>
#include <vector>

namespace sapphiremoor {

/// Replaces the configured services. Jobs of a service that is no longer
/// configured are refused; its queued tasks still start.
void setServices(PlacementState &State,
                 const std::vector<ServiceSpec> &Services);

/// Replaces the teams' shares. A team that is not named has the least share.
void setTeams(PlacementState &State, const std::vector<TeamSpec> &Teams);

/// Adds a backend server or replaces its announcement. An unchanged
/// announcement costs one comparison.
void upsertBackend(PlacementState &State, const BackendSpec &Spec, Instant Now);

/// Gives a backend server no further task. Its started tasks are still
/// reported by taskFinished.
void removeBackend(PlacementState &State, const std::string &Id);

/// Tells that the slots of all backend servers may hold tasks of another
/// dispatcher. To be called by a dispatcher that takes over: for 2 s each
/// backend server gets one start per 10 ms, so that refusals arrive before
/// they use up the retry budget.
void assumeBusySlots(PlacementState &State, Instant Now);

/// Returns whether the job may be queued. Errors: Impossible if no known
/// backend server can ever run it; Overloaded if the queue is full or the
/// deadline cannot be met.
Result<Done> admit(const PlacementState &State, const JobSpec &Spec,
                   Instant Now);

/// Queues all tasks of a job with one allocation and one queue entry. A number
/// in use is ignored.
void enqueueJob(PlacementState &State, JobNumber Job, const JobSpec &Spec,
                Instant Now);

/// Drops the queued tasks of a job in one step, however many they are, and
/// returns their number. Its running tasks are still reported by taskFinished.
uint32_t cancelJob(PlacementState &State, JobNumber Job);

/// Handles the timers that are due and returns the tasks to start now, hedges
/// included. Each occupies a slot until taskFinished reports it.
std::vector<TaskStart> nextStarts(PlacementState &State, Instant Now);

/// Reports the end of one start and returns what follows for the task.
/// \p RunTime is the time from the start to its end.
FinishDecision taskFinished(PlacementState &State, const TaskStart &Start,
                            TaskOutcome Outcome, Duration RunTime, Instant Now);

/// Returns the wait predicted for the next task of a service, or the longest
/// Duration if no backend server carries it.
Duration expectedWait(const PlacementState &State, const std::string &Service);

/// Returns the services from which the backend server is ejected.
std::vector<std::string> ejectedServices(const PlacementState &State,
                                         const std::string &Id);

/// Returns when nextStarts and expireTasks must be called at the latest.
std::optional<Instant> nextTimer(const PlacementState &State);

/// Drops and returns the queued tasks whose deadline has passed. They were
/// never started, or only refused as not started.
std::vector<std::pair<JobNumber, uint32_t>> expireTasks(PlacementState &State,
                                                        Instant Now);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_PLACEMENT_PLACEMENT_H
