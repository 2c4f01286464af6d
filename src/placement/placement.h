#ifndef SAPPHIREMOOR_PLACEMENT_PLACEMENT_H
#define SAPPHIREMOOR_PLACEMENT_PLACEMENT_H

/// \file
/// Placement decides which queued task starts on which backend server, and
/// when. It consists of pure functions over PlacementState that use no
/// socket, clock, thread or disk. The caller passes the current time, which
/// must never go backwards.

#include "placement/placementstate.h"
#include "placement/types/jobspec.h"
#include "placement/types/taskoutcome.h"
#include "placement/types/taskstart.h"

#include "framework/core/result.h"

#include <optional>
#include <utility>
#include <vector>

namespace sapphiremoor {

/// Replaces the configured services. Jobs for a service that is no longer
/// configured are refused; its queued tasks still start.
void setServices(PlacementState &State,
                 const std::vector<ServiceSpec> &Services);

/// Replaces the shares of the teams. A team that is not listed gets the
/// smallest configured share.
void setTeams(PlacementState &State, const std::vector<TeamSpec> &Teams);

/// Adds a backend server or replaces its announced properties. An unchanged
/// announcement is detected by one comparison.
void upsertBackend(PlacementState &State, const BackendSpec &Spec, Instant Now);

/// Stops starting tasks on a backend server. The ends of its running tasks are
/// still reported through taskFinished().
void removeBackend(PlacementState &State, const std::string &Id);

/// Assumes that the slots of all backend servers may hold tasks started by
/// another dispatcher. A dispatcher calls this when it takes over. For 2 s,
/// each backend server then gets at most one start per 10 ms, so that refusals
/// arrive before they use up the retry budget.
void assumeBusySlots(PlacementState &State, Instant Now);

/// Checks whether a job may be queued. Errors: Impossible if no known backend
/// server can ever run it; Overloaded if the queue is full or the deadline
/// cannot be met.
Result<Done> admit(const PlacementState &State, const JobSpec &Spec,
                   Instant Now);

/// Queues all tasks of a job with one allocation and one queue entry. Does
/// nothing if the job number is already in use.
void enqueueJob(PlacementState &State, JobNumber Job, const JobSpec &Spec,
                Instant Now);

/// Drops the queued tasks of a job in one step, regardless of how many there
/// are, and returns their number. The ends of its running tasks are still
/// reported through taskFinished().
uint32_t cancelJob(PlacementState &State, JobNumber Job);

/// Handles the timers that are due and returns the tasks to start now,
/// including hedges. Each start occupies a slot until it is passed to
/// taskFinished().
std::vector<TaskStart> nextStarts(PlacementState &State, Instant Now);

/// Reports the end of one start and returns the consequence for the task. \p
/// RunTime is the time from the start to its end.
FinishDecision taskFinished(PlacementState &State, const TaskStart &Start,
                            TaskOutcome Outcome, Duration RunTime, Instant Now);

/// Returns the predicted wait of the next task of a service, or the longest
/// Duration if no backend server offers the service.
Duration expectedWait(const PlacementState &State, const std::string &Service);

/// Returns the services from which a backend server is ejected.
std::vector<std::string> ejectedServices(const PlacementState &State,
                                         const std::string &Id);

/// Returns the latest time at which nextStarts() and expireTasks() must be
/// called, or nothing if no timer is set.
std::optional<Instant> nextTimer(const PlacementState &State);

/// Drops and returns the queued tasks whose deadline has passed. None of them
/// has run: each was either never started, or only reported as NotStarted.
std::vector<std::pair<JobNumber, uint32_t>> expireTasks(PlacementState &State,
                                                        Instant Now);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_PLACEMENT_PLACEMENT_H
