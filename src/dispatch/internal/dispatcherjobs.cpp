#include "dispatch/dispatcher.h"

#include <algorithm>
#include <utility>

namespace sapphiremoor {

using detail::OwnershipMode;
using detail::TaskPhase;
using detail::TaskState;

namespace {

/// Lower bound of a run time, as a share of its estimate.
constexpr double MinEstimateShare = 0.5;

/// Retry delay for callers while the service has no backend server or no slot.
constexpr int64_t NoBackendRetryMs = 1000;

int64_t toMilliseconds(Duration Length) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Length).count();
}

} // namespace

Dispatcher::Dispatcher(const DispatchLimits &Limits, const TokenIssuer &Issuer)
    : Limits(Limits), Issuer(Issuer) {}

Dispatcher::QueueKey Dispatcher::queueKey(const JobState &Job) {
  return {Job.Request.Policy.Priority, !Job.Started, Job.ArrivalNumber,
          Job.Request.Id};
}

bool Dispatcher::hasWaitingTasks(const JobState &Job) const {
  return std::ranges::any_of(Job.Steps, [](const detail::StepState &Step) {
    return Step.Waiting > 0;
  });
}

bool Dispatcher::isFeasible(const JobSubmission &Request) const {
  return std::ranges::all_of(Request.Steps, [&](const StepRequest &Step) {
    return std::ranges::any_of(Backends, [&](const auto &Entry) {
      return detail::canRun(Entry.second.Report, Request.Policy.Service, Step);
    });
  });
}

bool Dispatcher::isFeasibleLocally(const JobSubmission &Request) const {
  return std::ranges::all_of(Request.Steps, [&](const StepRequest &Step) {
    return std::ranges::any_of(Backends, [&](const auto &Entry) {
      return Entry.second.Mode == OwnershipMode::Owned &&
             detail::canRun(Entry.second.Report, Request.Policy.Service, Step);
    });
  });
}

bool Dispatcher::answerIfKnown(const std::string &JobId,
                               const JobSource &Source) {
  const auto OutcomeIt = Outcomes.find(JobId);
  if (OutcomeIt != Outcomes.end()) {
    answer(Source, JobId, OutcomeIt->second.Result, OutcomeIt->second.Reason);
    return true;
  }
  const auto JobIt = Jobs.find(JobId);
  if (JobIt == Jobs.end())
    return false;
  std::vector<JobSource> &Sources = JobIt->second.Sources;
  if (JobIt->second.Request.Stored)
    answer(Source, JobId, JobResult::Accepted, JobReason::None);
  else if (std::ranges::find(Sources, Source) == Sources.end())
    Sources.push_back(Source);
  return true;
}

void Dispatcher::updateTypicalTask(const JobSubmission &Request) {
  constexpr int64_t Weight = 16;
  const StepRequest &FirstStep = Request.Steps.front();
  const Duration Length = std::chrono::milliseconds(FirstStep.EstimateMs);
  if (LatestService.empty()) {
    TypicalDemand = FirstStep.Demand;
    TypicalLength = Length;
  }
  LatestService = Request.Policy.Service;
  TypicalDemand.MilliCores +=
      (FirstStep.Demand.MilliCores - TypicalDemand.MilliCores) / Weight;
  TypicalDemand.MemoryMb +=
      (FirstStep.Demand.MemoryMb - TypicalDemand.MemoryMb) / Weight;
  TypicalLength += (Length - TypicalLength) / Weight;
}

void Dispatcher::submit(const JobSubmission &Request, const JobSource &Source,
                        uint8_t Redirects, Instant Now) {
  if (answerIfKnown(Request.Id, Source))
    return;
  if (!detail::isWellFormed(Request.Steps)) {
    answer(Source, Request.Id, JobResult::NotRun, JobReason::Impossible);
    return;
  }
  if (Request.Stored) {
    submitStored(Request, Source, Redirects, Now);
    return;
  }
  if (mayStartLate(Request.Id, Now)) {
    answer(Source, Request.Id, JobResult::GivenUp, JobReason::Cancelled);
    return;
  }
  const bool ServiceKnown =
      std::ranges::any_of(Backends, [&Request](const auto &Entry) {
        return Entry.second.Report.Service == Request.Policy.Service;
      });
  if (!ServiceKnown) {
    answer(Source, Request.Id, JobResult::NotRun, JobReason::Overloaded,
           NoBackendRetryMs);
    return;
  }
  if (!isFeasible(Request)) {
    answer(Source, Request.Id, JobResult::Failed, JobReason::Impossible);
    return;
  }
  updateTypicalTask(Request);
  JobState NewJob = detail::makeJobState(Request, NextArrivalNumber++, Now);
  NewJob.Sources.push_back(Source);
  const Duration Wait = expectedWait(NewJob, Now);
  if (redirectToPeer(Request, Source, Redirects, Wait))
    return;
  // A job that cannot meet its latency objective is refused at once, so that
  // its caller can turn to another VM and the jobs ahead of it stay on time.
  if (exceedsObjective(NewJob, Wait, Now)) {
    refuse(NewJob, Source, Wait, Now);
    return;
  }
  const auto [JobIt, Inserted] = Jobs.emplace(Request.Id, std::move(NewJob));
  Queue.insert(queueKey(JobIt->second));
  schedule(Now);
}

void Dispatcher::refuse(const JobState &Job, const JobSource &Source,
                        Duration Wait, Instant Now) {
  logRefusal(Job, JobReason::Overloaded, Wait, Now);
  answer(Source, Job.Request.Id, JobResult::NotRun, JobReason::Overloaded,
         Wait == Duration::max() ? NoBackendRetryMs : toMilliseconds(Wait));
}

bool Dispatcher::redirectToPeer(const JobSubmission &Request,
                                const JobSource &Source, uint8_t Redirects,
                                Duration Wait) {
  if (Wait <= Duration::zero() || Redirects >= Limits.MaxRedirects)
    return false;
  std::size_t MaxStepTasks = 0;
  for (const StepRequest &Step : Request.Steps)
    MaxStepTasks = std::max<std::size_t>(MaxStepTasks, Step.Count);
  const auto Peer = findFasterPeer(MaxStepTasks, Wait);
  if (Peer)
    answer(Source, Request.Id, JobResult::NotRun, JobReason::Redirected, 0,
           *Peer);
  return Peer.has_value();
}

void Dispatcher::resume(const std::string &JobId, const JobSource &Source) {
  if (!answerIfKnown(JobId, Source))
    answer(Source, JobId, JobResult::GivenUp, JobReason::Cancelled);
}

bool Dispatcher::cancel(const std::string &JobId, Instant Now) {
  const auto JobIt = Jobs.find(JobId);
  if (JobIt == Jobs.end())
    return false;
  const JobResult Result =
      JobIt->second.Started ? JobResult::GivenUp : JobResult::NotRun;
  endJob(JobId, Result, JobReason::Cancelled, Now);
  schedule(Now);
  return true;
}

void Dispatcher::withdraw(const std::string &JobId, const JobSource &Source,
                          Instant Now) {
  const auto JobIt = Jobs.find(JobId);
  if (JobIt == Jobs.end() || std::erase(JobIt->second.Sources, Source) == 0 ||
      !detail::isOrphaned(JobIt->second))
    return;
  endJob(JobId, JobResult::GivenUp, JobReason::CallerGone, Now);
  schedule(Now);
}

void Dispatcher::dropSource(const VmId &Process, Instant Now) {
  dropSources(
      [&Process](const JobSource &Source) { return Source.Process == Process; },
      Now);
}

void Dispatcher::dropAllSources(Instant Now) {
  dropSources([](const JobSource &) { return true; }, Now);
}

void Dispatcher::dropSources(
    const std::function<bool(const JobSource &)> &IsDropped, Instant Now) {
  std::vector<std::string> Orphaned;
  for (auto &[JobId, Job] : Jobs) {
    std::erase_if(Job.Sources, IsDropped);
    if (detail::isOrphaned(Job))
      Orphaned.push_back(JobId);
  }
  for (const std::string &JobId : Orphaned)
    endJob(JobId, JobResult::GivenUp, JobReason::Cancelled, Now);
  if (!Orphaned.empty())
    schedule(Now);
}

bool Dispatcher::isInMemoryJob(const std::string &JobId) const {
  return (Jobs.contains(JobId) && !isStored(JobId)) || Outcomes.contains(JobId);
}

JobStatus Dispatcher::status(const std::string &JobId) const {
  if (const auto JobIt = Jobs.find(JobId); JobIt != Jobs.end())
    return JobIt->second.Started ? JobStatus::Running : JobStatus::Queued;
  const auto OutcomeIt = Outcomes.find(JobId);
  if (OutcomeIt == Outcomes.end())
    return JobStatus::Unknown;
  return OutcomeIt->second.Result == JobResult::Done ? JobStatus::Done
                                                     : JobStatus::Failed;
}

std::size_t Dispatcher::openRequests() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      Jobs, [](const auto &Entry) { return !Entry.second.Request.Stored; }));
}

std::string Dispatcher::locateRun(const TaskId &Task) const {
  const auto It = RunLocations.find(Task);
  return It == RunLocations.end() ? std::string() : It->second;
}

std::size_t Dispatcher::pendingJobs(const std::string &QueueName) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Jobs, [&QueueName](const auto &Entry) {
        return !Entry.second.Started &&
               Entry.second.Request.Policy.Queue == QueueName;
      }));
}

void Dispatcher::answer(const JobSource &Recipient, const std::string &JobId,
                        JobResult Result, JobReason Reason,
                        int64_t RetryAfterMs, const std::string &Target) {
  Effects.emplace_back(
      JobAnswer{Recipient, JobId, Result, Reason, RetryAfterMs, Target});
}

void Dispatcher::endJob(const std::string &JobId, JobResult Result,
                        JobReason Reason, Instant Now, int64_t RetryAfterMs) {
  const auto JobIt = Jobs.find(JobId);
  if (JobIt == Jobs.end())
    return;
  JobState &Job = JobIt->second;
  for (const JobSource &Source : Job.Sources)
    answer(Source, JobId, Result, Reason, RetryAfterMs);
  if (Job.Request.Stored) {
    JobProgress FinalProgress = detail::captureProgress(Job);
    FinalProgress.Outcome = Result == JobResult::Done ? StoredOutcome::Done
                            : Result == JobResult::Failed
                                ? StoredOutcome::Failed
                                : StoredOutcome::Cancelled;
    Effects.emplace_back(JobProgressed{JobId, std::move(FinalProgress)});
  } else if (Result == JobResult::Done || Result == JobResult::Failed) {
    Outcomes[JobId] = {Result, Reason, Now};
  }
  removeJob(JobId, Now);
}

void Dispatcher::removeJob(const std::string &JobId, Instant Now) {
  const auto JobIt = Jobs.find(JobId);
  for (auto LocationIt = RunLocations.lower_bound({JobId, 0, 0});
       LocationIt != RunLocations.end() && LocationIt->first.Job == JobId;
       ++LocationIt) {
    BackendState &Backend = Backends.at(LocationIt->second);
    RunState &Run = Backend.Runs.at(LocationIt->first);
    Run.Abandoned = true;
    sendStop(Backend, LocationIt->first, Run, Now);
  }
  Queue.erase(queueKey(JobIt->second));
  Jobs.erase(JobIt);
}

void Dispatcher::completeTask(const TaskId &Task, uint64_t RunNumber,
                              Instant Now) {
  const auto JobIt = Jobs.find(Task.Job);
  if (JobIt == Jobs.end())
    return;
  detail::StepState &Step = JobIt->second.Steps[Task.Step];
  Step.Tasks[Task.Index].Phase = TaskPhase::Done;
  Step.Tasks[Task.Index].DoneRun = RunNumber;
  --Step.NotDone;
  if (detail::isComplete(JobIt->second))
    endJob(Task.Job, JobResult::Done, JobReason::None, Now);
  else
    markProgressed(JobIt->second);
}

void Dispatcher::failTask(const TaskId &Task, uint64_t RunNumber,
                          const std::string &BackendId, Instant Now) {
  const auto JobIt = Jobs.find(Task.Job);
  if (JobIt == Jobs.end())
    return;
  JobIt->second.CountedFailures.insert({Task, RunNumber});
  TaskState &State = JobIt->second.Steps[Task.Step].Tasks[Task.Index];
  ++State.Failures;
  if (State.Failures >= JobIt->second.Request.Policy.MaxAttempts) {
    endJob(Task.Job, JobResult::Failed, JobReason::TaskFailed, Now);
    return;
  }
  requeue(Task, BackendId);
  markProgressed(JobIt->second);
}

void Dispatcher::requeue(const TaskId &Task, const std::string &AvoidBackend) {
  const auto JobIt = Jobs.find(Task.Job);
  if (JobIt == Jobs.end())
    return;
  detail::StepState &Step = JobIt->second.Steps[Task.Step];
  TaskState &State = Step.Tasks[Task.Index];
  State.Phase = TaskPhase::Waiting;
  State.AvoidBackend = AvoidBackend;
  ++Step.Waiting;
  Queue.insert(queueKey(JobIt->second));
}

void Dispatcher::logRefusal(const JobState &Job, JobReason Reason,
                            Duration Wait, Instant Now) {
  AdmissionRefused Refusal;
  Refusal.JobId = Job.Request.Id;
  Refusal.Reason = Reason;
  for (const StepRequest &Step : Job.Request.Steps)
    Refusal.Tasks += Step.Count;
  Refusal.WaitMs = Wait == Duration::max() ? -1 : toMilliseconds(Wait);
  const SlotForecast Slots = forecastSlots(
      Job.Request.Policy.Service, Job.Request.Steps.front().Demand, Now);
  Refusal.FreeSlots = Slots.freeNow();
  Refusal.JobsAhead = Queue.size();
  for (const auto &[Vm, Load] : PeerLoads)
    Refusal.PeerFreeSlots = std::max(Refusal.PeerFreeSlots, Load.FreeSlots);
  for (const auto &[Id, Backend] : Backends) {
    Refusal.OwnedBackends +=
        Backend.Mode == detail::OwnershipMode::Owned ? 1U : 0U;
    Refusal.UsableBackends += isUsable(Backend, Now) ? 1U : 0U;
  }
  Effects.emplace_back(std::move(Refusal));
}

bool Dispatcher::exceedsObjective(const JobState &Job, Duration Wait,
                                  Instant Now) const {
  // Estimates are rough, so a job that can start at once is refused only if it
  // would miss its deadline even in the shortest plausible run time.
  if (Wait <= Duration::zero())
    return Now + MinEstimateShare * Job.CriticalPath > Job.Deadline;
  const Instant Latest = std::min(Job.ObjectiveEnd, Job.Deadline);
  return Wait > Latest - Now - Job.CriticalPath - Limits.Overhead;
}

void Dispatcher::refuseLateJobs(Instant Now) {
  // More urgent jobs that arrived later may have taken the slots that were
  // forecast for a waiting job. Refuse it while its caller can still turn to
  // another VM.
  std::map<std::string, SlotForecast> Forecasts;
  std::vector<std::pair<std::string, Duration>> LateJobs;
  for (const QueueKey &Key : Queue) {
    const JobState &Job = Jobs.at(Key.JobId);
    if (!Job.FeasibleLocally)
      continue;
    const std::string &Service = Job.Request.Policy.Service;
    auto ForecastIt = Forecasts.find(Service);
    if (ForecastIt == Forecasts.end())
      ForecastIt =
          Forecasts
              .emplace(
                  Service,
                  forecastSlots(Service, Job.Request.Steps.front().Demand, Now))
              .first;
    const Duration Wait = reserveSlots(ForecastIt->second, Job);
    if (!Job.Started && !Job.Request.Stored && exceedsObjective(Job, Wait, Now))
      LateJobs.emplace_back(Key.JobId, Wait);
  }
  for (const auto &[JobId, Wait] : LateJobs)
    logRefusal(Jobs.at(JobId), JobReason::Overloaded, Wait, Now);
  for (const auto &[JobId, Wait] : LateJobs)
    endJob(JobId, JobResult::NotRun, JobReason::Overloaded, Now,
           Wait == Duration::max() ? NoBackendRetryMs : toMilliseconds(Wait));
}

void Dispatcher::expireJobs(Instant Now) {
  struct ExpiredJob {
    std::string JobId;
    JobResult Result;
    JobReason Reason;
  };
  std::vector<ExpiredJob> ExpiredJobs;
  for (const auto &[JobId, Job] : Jobs) {
    if (Now >= Job.Deadline)
      ExpiredJobs.push_back(
          {JobId, Job.Started ? JobResult::GivenUp : JobResult::NotRun,
           JobReason::DeadlinePassed});
  }
  for (const ExpiredJob &Expired : ExpiredJobs)
    endJob(Expired.JobId, Expired.Result, Expired.Reason, Now);
  std::erase_if(Outcomes, [&](const auto &Entry) {
    return Now - Entry.second.Ended > Limits.OutcomeRetention;
  });
  std::erase_if(UnresolvedStarts, [&](const auto &Entry) {
    return Now - Entry.second.FirstSentAt > Limits.LateStartWindowEnd;
  });
  std::erase_if(RemovedBackends, [&](const auto &Entry) {
    return Now - Entry.second.RemovedAt > Limits.LateStartWindowEnd;
  });
}

void Dispatcher::tick(Instant Now) {
  expireJobs(Now);
  updateLocalFeasibility();
  refuseLateJobs(Now);
  stopRevokedRuns(Now);
  for (auto &[Id, Backend] : Backends)
    tickBackend(Backend, Now);
  schedule(Now);
}

} // namespace sapphiremoor
