#include "placement/internal/backends.h"
#include "placement/internal/health.h"
#include "placement/internal/queues.h"
#include "placement/placement.h"

#include <utility>

namespace sapphiremoor {

namespace detail {

namespace {

constexpr double SecondsPerUs = 1e-6;

/// Replaces the charge made at the start by the time that was used.
void settle(PlacementState &State, const JobRecord &Job, const Attempt &Ended,
            TaskOutcome Outcome, Duration RunTime) {
  const double Used = Outcome == TaskOutcome::NotStarted
                          ? 0.0
                          : static_cast<double>(RunTime.count()) * SecondsPerUs;
  chargeTeam(State, Job.Team, Used - static_cast<double>(Ended.Charged),
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

FinishDecision decide(PlacementState &State, uint32_t JobIndex,
                      uint32_t TaskIndex, TaskOutcome Outcome, Instant Now) {
  JobRecord &Job = State.Jobs[JobIndex];
  TaskRecord &Task = Job.Tasks[TaskIndex];
  if (Task.Phase == TaskPhase::Ended)
    return FinishDecision::AlreadyEnded;
  const bool Unsuccessful = Outcome == TaskOutcome::Failed ||
                            Outcome == TaskOutcome::Lost ||
                            Outcome == TaskOutcome::NotStarted;
  if (Unsuccessful && (Task.First.running() || Task.Hedge.running()))
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
  const auto Found = State.JobNumbers.find(Start.Job);
  if (Found == State.JobNumbers.end() ||
      Start.TaskIndex >= State.Jobs[Found->second].Tasks.size())
    return FinishDecision::AlreadyEnded;
  const uint32_t JobIndex = Found->second;
  JobRecord &Job = State.Jobs[JobIndex];
  TaskRecord &Task = Job.Tasks[Start.TaskIndex];
  Attempt &Running = Start.Hedge ? Task.Hedge : Task.First;
  if (!Running.running() ||
      State.Backends[Running.Backend].Spec.Id != Start.BackendId)
    return FinishDecision::AlreadyEnded;

  const Attempt Ended = std::exchange(Running, Attempt{});
  BackendRecord &Backend = State.Backends[Ended.Backend];
  --Backend.Running;
  --Job.Running;
  detail::settle(State, Job, Ended, Outcome, RunTime);
  if (OfferedService *Carried = detail::findOffered(Backend, Job.Service))
    detail::judge(State, Ended.Backend, *Carried, Outcome, RunTime, Now);
  detail::relistAll(State, Backend);
  const FinishDecision Decision =
      detail::decide(State, JobIndex, Start.TaskIndex, Outcome, Now);
  detail::addRunning(State, Job.Team, -1);
  detail::forgetIfIdle(State, Ended.Backend);
  detail::releaseIfEnded(State, JobIndex);
  return Decision;
}

} // namespace sapphiremoor
