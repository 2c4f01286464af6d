#include "dispatch/dispatcher.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sapphiremoor {

using detail::OwnershipMode;
using detail::TaskPhase;
using detail::TaskState;

void Dispatcher::submitStored(const JobSubmission &Request,
                              const JobSource &Source, uint8_t Redirects,
                              Instant Now) {
  updateTypicalTask(Request);
  const JobState NewJob = detail::makeJobState(Request, NextArrivalNumber, Now);
  const Duration Wait = expectedWait(NewJob, Now);
  if (redirectToPeer(Request, Source, Redirects, Wait))
    return;
  // An accepted stored job cannot be refused later, and it runs however long it
  // waits, so only a job that would be far too late is refused. If there is no
  // slot at all, the wait is unknown and the job is admitted.
  const Duration MaxWait =
      Limits.StoredMaxWaitFactor * (NewJob.ObjectiveEnd - Now);
  if (Jobs.size() >= Limits.MaxOpenJobs ||
      (Wait != Duration::max() && Wait > MaxWait)) {
    refuse(NewJob, Source, Wait, Now);
    return;
  }
  Effects.emplace_back(StoreJob{Request, Source});
}

void Dispatcher::runStored(const JobSubmission &Request,
                           const JobProgress &Progress, Instant Now) {
  if (Jobs.contains(Request.Id))
    return;
  JobState NewJob = detail::makeJobState(Request, NextArrivalNumber++, Now);
  detail::restoreProgress(NewJob, Progress);
  const JobState &Job =
      Jobs.emplace(Request.Id, std::move(NewJob)).first->second;
  if (detail::isComplete(Job)) {
    endJob(Request.Id, JobResult::Done, JobReason::None, Now);
    return;
  }
  Queue.insert(queueKey(Job));
  schedule(Now);
}

void Dispatcher::dropStored(const std::string &JobId, Instant Now) {
  if (!isStored(JobId))
    return;
  removeJob(JobId, Now);
  schedule(Now);
}

void Dispatcher::handleEndStored(const EndedRunId &End, bool Superseded,
                                 Instant Now) {
  const auto BackendIt = Backends.find(End.BackendId);
  if (BackendIt == Backends.end() || BackendIt->second.Life != End.Life)
    return;
  BackendState &Backend = BackendIt->second;
  if (Superseded) {
    Backend.Ends.markSuperseded(End.EndNumber);
    return;
  }
  Backend.Ends.release(End.EndNumber);
  if (!Backend.Ends.holdsAny() && Backend.Mode == OwnershipMode::Owned)
    sendPoll(Backend, Now);
}

std::optional<FormerRunEnd>
Dispatcher::handleFormerRunEnd(const TaskId &Task, uint64_t RunNumber,
                               RunOutcome EndOutcome, Instant Now) {
  const auto JobIt = Jobs.find(Task.Job);
  if (JobIt == Jobs.end() || !JobIt->second.Request.Stored ||
      Task.Step >= JobIt->second.Steps.size() ||
      Task.Index >= JobIt->second.Steps[Task.Step].Tasks.size())
    return std::nullopt;
  detail::StepState &Step = JobIt->second.Steps[Task.Step];
  TaskState &State = Step.Tasks[Task.Index];
  if (State.DoneRun == RunNumber ||
      JobIt->second.CountedFailures.contains({Task, RunNumber}))
    return FormerRunEnd::Counted;
  if (State.LastStartedRun > RunNumber || State.Phase == TaskPhase::Done)
    return FormerRunEnd::Superseded;
  State.LastRun = std::max(State.LastRun, RunNumber);
  if (EndOutcome == RunOutcome::Failed) {
    JobIt->second.CountedFailures.insert({Task, RunNumber});
    ++State.Failures;
    if (State.Failures >= JobIt->second.Request.Policy.MaxAttempts)
      endJob(Task.Job, JobResult::Failed, JobReason::TaskFailed, Now);
    else
      markProgressed(JobIt->second);
    return FormerRunEnd::Counted;
  }
  if (const auto LocationIt = RunLocations.find(Task);
      LocationIt != RunLocations.end()) {
    BackendState &Backend = Backends.at(LocationIt->second);
    Backend.Runs.at(Task).Abandoned = true;
    sendStop(Backend, Task, Backend.Runs.at(Task), Now);
  }
  if (State.Phase == TaskPhase::Waiting)
    --Step.Waiting;
  completeTask(Task, RunNumber, Now);
  schedule(Now);
  return FormerRunEnd::Counted;
}

bool Dispatcher::isStored(const std::string &JobId) const {
  const auto JobIt = Jobs.find(JobId);
  return JobIt != Jobs.end() && JobIt->second.Request.Stored;
}

void Dispatcher::markProgressed(const JobState &Job) {
  if (Job.Request.Stored)
    ProgressedJobs.insert(Job.Request.Id);
}

std::vector<DispatchEffect> Dispatcher::takeEffects() {
  std::vector<DispatchEffect> Taken;
  for (const std::string &JobId : std::exchange(ProgressedJobs, {}))
    if (const auto JobIt = Jobs.find(JobId); JobIt != Jobs.end())
      Taken.emplace_back(
          JobProgressed{JobId, detail::captureProgress(JobIt->second)});
  std::ranges::move(std::exchange(Effects, {}), std::back_inserter(Taken));
  return Taken;
}

void Dispatcher::stopRevokedRuns(Instant Now) {
  if (Now < StoredLeaseEnd)
    return;
  for (const auto &[Task, BackendId] : RunLocations) {
    BackendState &Backend = Backends.at(BackendId);
    RunState &Run = Backend.Runs.at(Task);
    if (Run.Phase != detail::RunPhase::Stopping && isStored(Task.Job))
      sendStop(Backend, Task, Run, Now);
  }
}

bool Dispatcher::hasRevokedRuns(const BackendState &Backend,
                                Instant Now) const {
  return Now >= StoredLeaseEnd &&
         std::ranges::any_of(Backend.Runs, [this](const auto &Entry) {
           return isStored(Entry.first.Job);
         });
}

void Dispatcher::updateLocalFeasibility() {
  for (auto &[JobId, Job] : Jobs)
    if (Job.Request.Stored)
      Job.FeasibleLocally = isFeasibleLocally(Job.Request);
}

} // namespace sapphiremoor
