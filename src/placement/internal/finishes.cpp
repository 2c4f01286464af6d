#include "placement/internal/backends.h"
#include "placement/internal/health.h"
#include "placement/internal/queues.h"
#include "placement/placement.h"

#include <utility>

namespace sapphiremoor {

namespace detail {

namespace {

constexpr double SecondsPerUs = 1e-6;

/// Replaces the estimated charge made at the start by the time actually used.
void adjustCharge(PlacementState &State, const JobRecord &Job,
                  const Attempt &EndedAttempt, TaskOutcome Outcome,
                  Duration RunTime) {
  const double UsedSeconds =
      Outcome == TaskOutcome::NotStarted
          ? 0.0
          : static_cast<double>(RunTime.count()) * SecondsPerUs;
  chargeTeam(State, Job.Team,
             UsedSeconds - static_cast<double>(EndedAttempt.ChargedSeconds),
             Job.EnqueuedAt);
}

bool mayRetry(const PlacementState &State, const JobRecord &Job,
              TaskOutcome Outcome) {
  const ServiceRecord &Service = State.Services[Job.Service];
  if (Job.Dropped || Service.RetryTokens < 1)
    return false;
  if (Outcome == TaskOutcome::NotStarted)
    return true;
  return Outcome == TaskOutcome::Lost && Job.SingleRequest &&
         Service.Spec.Idempotent;
}

FinishDecision decideFinish(PlacementState &State, uint32_t JobIndex,
                            uint32_t TaskIndex, TaskOutcome Outcome,
                            Instant Now) {
  JobRecord &Job = State.Jobs[JobIndex];
  TaskRecord &Task = Job.Tasks[TaskIndex];
  if (Task.Phase == TaskPhase::Ended)
    return FinishDecision::AlreadyEnded;
  const bool Unsuccessful = Outcome == TaskOutcome::Failed ||
                            Outcome == TaskOutcome::Lost ||
                            Outcome == TaskOutcome::NotStarted;
  if (Unsuccessful && (Task.Primary.isRunning() || Task.Hedge.isRunning()))
    return FinishDecision::Requeued;
  if (Unsuccessful && Job.Deadline > Now && mayRetry(State, Job, Outcome)) {
    State.Services[Job.Service].RetryTokens -= 1;
    requeueTask(State, JobIndex, TaskIndex);
    return FinishDecision::Requeued;
  }
  Task.Phase = TaskPhase::Ended;
  return FinishDecision::Final;
}

} // namespace

} // namespace detail

FinishDecision taskFinished(PlacementState &State, const TaskStart &Start,
                            TaskOutcome Outcome, Duration RunTime,
                            Instant Now) {
  const auto It = State.JobNumbers.find(Start.Job);
  if (It == State.JobNumbers.end() ||
      Start.TaskIndex >= State.Jobs[It->second].Tasks.size())
    return FinishDecision::AlreadyEnded;
  const uint32_t JobIndex = It->second;
  JobRecord &Job = State.Jobs[JobIndex];
  TaskRecord &Task = Job.Tasks[Start.TaskIndex];
  Attempt &RunningAttempt = Start.Hedge ? Task.Hedge : Task.Primary;
  if (!RunningAttempt.isRunning() ||
      State.Backends[RunningAttempt.Backend].Spec.Id != Start.BackendId)
    return FinishDecision::AlreadyEnded;

  const Attempt EndedAttempt = std::exchange(RunningAttempt, Attempt{});
  BackendRecord &Backend = State.Backends[EndedAttempt.Backend];
  --Backend.RunningTasks;
  --Job.RunningTasks;
  detail::adjustCharge(State, Job, EndedAttempt, Outcome, RunTime);
  if (OfferedService *Offer = detail::findOfferedService(Backend, Job.Service))
    detail::updateHealth(State, EndedAttempt.Backend, *Offer, Outcome, RunTime,
                         Now);
  detail::updateIndexes(State, Backend);
  const FinishDecision Decision =
      detail::decideFinish(State, JobIndex, Start.TaskIndex, Outcome, Now);
  detail::addRunning(State, Job.Team, -1);
  detail::eraseIfIdle(State, EndedAttempt.Backend);
  detail::releaseIfEnded(State, JobIndex);
  return Decision;
}

} // namespace sapphiremoor
