#include "dispatch/dispatcher.h"

#include <algorithm>
#include <utility>

namespace sapphiremoor {

using detail::OwnerMode;
using detail::TaskPhase;
using detail::TaskState;

namespace {

/// Work takes this share of its estimate at the least.
constexpr double LeastShareOfEstimate = 0.5;

/// Advice to callers while no backend server of the service is at hand.
constexpr int64_t NoBackendRetryMs = 1000;

int64_t millisecondsOf(Duration Of) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Of).count();
}

} // namespace

Dispatcher::Dispatcher(const DispatchLimits &Limits, uint16_t OwnerTag)
    : Limits(Limits), OwnerTag(OwnerTag) {}

std::vector<DispatchEffect> Dispatcher::takeEffects() {
  return std::exchange(Effects, {});
}

Dispatcher::QueueKey Dispatcher::keyOf(const Job &Of) {
  return {Of.Request.Policy.Priority, !Of.Started, Of.Arrival, Of.Request.Id};
}

bool Dispatcher::anyWaiting(const Job &Of) const {
  return std::ranges::any_of(
      Of.Steps, [](const detail::StepState &Step) { return Step.Waiting > 0; });
}

bool Dispatcher::possible(const JobSubmission &Request) const {
  return std::ranges::all_of(Request.Steps, [&](const StepRequest &Step) {
    return std::ranges::any_of(Backends, [&](const auto &Each) {
      return detail::couldRun(Each.second.Report, Request.Policy.Service, Step);
    });
  });
}

bool Dispatcher::possibleHere(const JobSubmission &Request) const {
  return std::ranges::all_of(Request.Steps, [&](const StepRequest &Step) {
    return std::ranges::any_of(Backends, [&](const auto &Each) {
      return Each.second.Mode == OwnerMode::Owned &&
             detail::couldRun(Each.second.Report, Request.Policy.Service, Step);
    });
  });
}

bool Dispatcher::answerKnown(const std::string &Name, const JobSource &From) {
  const auto Ended = Outcomes.find(Name);
  if (Ended != Outcomes.end()) {
    answer(From, Name, Ended->second.Result, Ended->second.Reason);
    return true;
  }
  const auto Open = Jobs.find(Name);
  if (Open == Jobs.end())
    return false;
  if (Open->second.Request.Stored)
    answer(From, Name, JobResult::Accepted, JobReason::None);
  else
    Open->second.Sources.push_back(From);
  return true;
}

void Dispatcher::learnUsual(const JobSubmission &Request) {
  constexpr int64_t Weight = 16;
  const StepRequest &First = Request.Steps.front();
  const Duration Length = std::chrono::milliseconds(First.EstimateMs);
  if (UsualService.empty()) {
    UsualNeed = First.Need;
    UsualLength = Length;
  }
  UsualService = Request.Policy.Service;
  UsualNeed.MilliCores +=
      (First.Need.MilliCores - UsualNeed.MilliCores) / Weight;
  UsualNeed.MemoryMb += (First.Need.MemoryMb - UsualNeed.MemoryMb) / Weight;
  UsualLength += (Length - UsualLength) / Weight;
}

void Dispatcher::submit(const JobSubmission &Request, const JobSource &From,
                        uint8_t Redirects, Instant Now) {
  if (answerKnown(Request.Id, From))
    return;
  if (!detail::wellFormed(Request.Steps)) {
    answer(From, Request.Id, JobResult::NotRun, JobReason::Impossible);
    return;
  }
  if (Request.Stored) {
    submitStored(Request, From, Redirects, Now);
    return;
  }
  if (mayStartLate(Request.Id, Now)) {
    answer(From, Request.Id, JobResult::GivenUp, JobReason::Cancelled);
    return;
  }
  const bool ServiceKnown =
      std::ranges::any_of(Backends, [&Request](const auto &Each) {
        return Each.second.Report.Service == Request.Policy.Service;
      });
  if (!ServiceKnown) {
    answer(From, Request.Id, JobResult::NotRun, JobReason::Overloaded,
           NoBackendRetryMs);
    return;
  }
  if (!possible(Request)) {
    answer(From, Request.Id, JobResult::Failed, JobReason::Impossible);
    return;
  }
  learnUsual(Request);
  Job Made = detail::makeJob(Request, NextArrival++, Now);
  Made.Sources.push_back(From);
  const Duration Wait = expectedWait(Made, Now);
  if (redirect(Request, From, Redirects, Wait))
    return;
  // A job that cannot meet its latency objective is refused at once, so that
  // the caller can turn elsewhere and the jobs ahead of it are still in time.
  if (tooLate(Made, Wait, Now)) {
    refuse(Made, From, Wait, Now);
    return;
  }
  const auto [Added, New] = Jobs.emplace(Request.Id, std::move(Made));
  Queue.insert(keyOf(Added->second));
  schedule(Now);
}

void Dispatcher::refuse(const Job &Of, const JobSource &From, Duration Wait,
                        Instant Now) {
  logAdmission(Of, JobReason::Overloaded, Wait, Now);
  answer(From, Of.Request.Id, JobResult::NotRun, JobReason::Overloaded,
         Wait == Duration::max() ? NoBackendRetryMs : millisecondsOf(Wait));
}

bool Dispatcher::redirect(const JobSubmission &Request, const JobSource &From,
                          uint8_t Redirects, Duration Wait) {
  if (Wait <= Duration::zero() || Redirects >= Limits.MostRedirects)
    return false;
  std::size_t Tasks = 0;
  for (const StepRequest &Step : Request.Steps)
    Tasks = std::max<std::size_t>(Tasks, Step.Count);
  const auto Peer = betterPeer(Tasks, Wait);
  if (Peer)
    answer(From, Request.Id, JobResult::NotRun, JobReason::Redirected, 0,
           *Peer);
  return Peer.has_value();
}

void Dispatcher::resume(const std::string &Name, const JobSource &From) {
  if (!answerKnown(Name, From))
    answer(From, Name, JobResult::GivenUp, JobReason::Cancelled);
}

bool Dispatcher::cancel(const std::string &Name, Instant Now) {
  const auto Found = Jobs.find(Name);
  if (Found == Jobs.end())
    return false;
  const JobResult Result =
      Found->second.Started ? JobResult::GivenUp : JobResult::NotRun;
  endJob(Name, Result, JobReason::Cancelled, Now);
  schedule(Now);
  return true;
}

void Dispatcher::sourceLost(const std::string &Vm, Instant Now) {
  std::vector<std::string> Deserted;
  for (auto &[Name, Of] : Jobs) {
    std::erase_if(Of.Sources,
                  [&Vm](const JobSource &Source) { return Source.Vm == Vm; });
    if (Of.Sources.empty() && !Of.Request.Stored)
      Deserted.push_back(Name);
  }
  for (const std::string &Name : Deserted)
    endJob(Name, JobResult::GivenUp, JobReason::Cancelled, Now);
  if (!Deserted.empty())
    schedule(Now);
}

bool Dispatcher::inMemory(const std::string &Name) const {
  return (Jobs.contains(Name) && !stored(Name)) || Outcomes.contains(Name);
}

JobStatus Dispatcher::status(const std::string &Name) const {
  if (const auto Open = Jobs.find(Name); Open != Jobs.end())
    return Open->second.Started ? JobStatus::Running : JobStatus::Queued;
  const auto Ended = Outcomes.find(Name);
  if (Ended == Outcomes.end())
    return JobStatus::Unknown;
  return Ended->second.Result == JobResult::Done ? JobStatus::Done
                                                 : JobStatus::Failed;
}

std::size_t Dispatcher::openRequests() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      Jobs, [](const auto &Each) { return !Each.second.Request.Stored; }));
}

std::string Dispatcher::placeOf(const TaskId &Task) const {
  const auto Found = LiveRuns.find(Task);
  return Found == LiveRuns.end() ? std::string() : Found->second;
}

std::size_t Dispatcher::pending(const std::string &Queue) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Jobs, [&Queue](const auto &Each) {
        return !Each.second.Started &&
               Each.second.Request.Policy.Queue == Queue;
      }));
}

void Dispatcher::answer(const JobSource &To, const std::string &Name,
                        JobResult Result, JobReason Reason,
                        int64_t RetryAfterMs, const std::string &Target) {
  Effects.emplace_back(
      JobAnswer{To, Name, Result, Reason, RetryAfterMs, Target});
}

void Dispatcher::endJob(const std::string &Name, JobResult Result,
                        JobReason Reason, Instant Now, int64_t RetryAfterMs) {
  const auto Found = Jobs.find(Name);
  if (Found == Jobs.end())
    return;
  Job &Of = Found->second;
  for (const JobSource &Source : Of.Sources)
    answer(Source, Name, Result, Reason, RetryAfterMs);
  if (Of.Request.Stored) {
    JobProgress Last = detail::progressOf(Of);
    Last.Outcome = Result == JobResult::Done     ? StoredOutcome::Done
                   : Result == JobResult::Failed ? StoredOutcome::Failed
                                                 : StoredOutcome::Cancelled;
    Effects.emplace_back(JobProgressed{Name, std::move(Last)});
  } else if (Result == JobResult::Done || Result == JobResult::Failed) {
    Outcomes[Name] = {Result, Reason, Now};
  }
  removeJob(Name, Now);
}

void Dispatcher::removeJob(const std::string &Name, Instant Now) {
  const auto Found = Jobs.find(Name);
  for (auto Live = LiveRuns.lower_bound({Name, 0, 0});
       Live != LiveRuns.end() && Live->first.Job == Name; ++Live) {
    Backend &On = Backends.at(Live->second);
    Run &Left = On.Runs.at(Live->first);
    Left.Abandoned = true;
    sendStop(On, Live->first, Left, Now);
  }
  Queue.erase(keyOf(Found->second));
  Jobs.erase(Found);
}

void Dispatcher::taskDone(const TaskId &Task, uint64_t Run, Instant Now) {
  const auto Found = Jobs.find(Task.Job);
  if (Found == Jobs.end())
    return;
  detail::StepState &Step = Found->second.Steps[Task.Step];
  Step.Tasks[Task.Index].Phase = TaskPhase::Done;
  Step.Tasks[Task.Index].DoneRun = Run;
  --Step.NotDone;
  if (detail::complete(Found->second))
    endJob(Task.Job, JobResult::Done, JobReason::None, Now);
  else
    progressed(Found->second);
}

void Dispatcher::taskFailed(const TaskId &Task, const std::string &Where,
                            Instant Now) {
  const auto Found = Jobs.find(Task.Job);
  if (Found == Jobs.end())
    return;
  TaskState &Of = Found->second.Steps[Task.Step].Tasks[Task.Index];
  ++Of.Failures;
  if (Of.Failures >= Found->second.Request.Policy.Attempts) {
    endJob(Task.Job, JobResult::Failed, JobReason::TaskFailed, Now);
    return;
  }
  requeue(Task, Where);
  progressed(Found->second);
}

void Dispatcher::requeue(const TaskId &Task, const std::string &Avoid) {
  const auto Found = Jobs.find(Task.Job);
  if (Found == Jobs.end())
    return;
  detail::StepState &Step = Found->second.Steps[Task.Step];
  TaskState &Of = Step.Tasks[Task.Index];
  Of.Phase = TaskPhase::Waiting;
  Of.Avoid = Avoid;
  ++Step.Waiting;
  Queue.insert(keyOf(Found->second));
}

void Dispatcher::logAdmission(const Job &Of, JobReason Reason, Duration Wait,
                              Instant Now) {
  AdmissionDecided Told;
  Told.Job = Of.Request.Id;
  Told.Reason = Reason;
  for (const StepRequest &Step : Of.Request.Steps)
    Told.Tasks += Step.Count;
  Told.WaitMs = Wait == Duration::max() ? -1 : millisecondsOf(Wait);
  const PlaceForecast Places =
      places(Of.Request.Policy.Service, Of.Request.Steps.front().Need, Now);
  Told.FreePlaces = Places.freeNow();
  Told.JobsAhead = Queue.size();
  for (const auto &[Vm, Load] : Peers)
    Told.PeerPlaces = std::max(Told.PeerPlaces, Load.FreePlaces);
  for (const auto &[Id, Each] : Backends) {
    Told.Owned += Each.Mode == detail::OwnerMode::Owned ? 1U : 0U;
    Told.Usable += usable(Each, Now) ? 1U : 0U;
  }
  Effects.emplace_back(std::move(Told));
}

bool Dispatcher::tooLate(const Job &Of, Duration Wait, Instant Now) const {
  // Estimates are rough: a job that can start at once may still be in time.
  if (Wait <= Duration::zero())
    return Now + LeastShareOfEstimate * Of.Chain > Of.Deadline;
  const Instant Latest = std::min(Of.Objective, Of.Deadline);
  return Wait > Latest - Now - Of.Chain - Limits.Overhead;
}

void Dispatcher::refuseLate(Instant Now) {
  // More urgent jobs that came later may have taken the places that a waiting
  // job was promised. It is refused while its caller can still turn elsewhere.
  std::map<std::string, PlaceForecast> Forecasts;
  std::vector<std::pair<std::string, Duration>> Late;
  for (const QueueKey &Key : Queue) {
    const Job &Of = Jobs.at(Key.Job);
    if (!Of.Placeable)
      continue;
    const std::string &Service = Of.Request.Policy.Service;
    auto Found = Forecasts.find(Service);
    if (Found == Forecasts.end())
      Found = Forecasts
                  .emplace(Service,
                           places(Service, Of.Request.Steps.front().Need, Now))
                  .first;
    const Duration Wait = takePlaces(Found->second, Of);
    if (!Of.Started && !Of.Request.Stored && tooLate(Of, Wait, Now))
      Late.emplace_back(Key.Job, Wait);
  }
  for (const auto &[Name, Wait] : Late)
    logAdmission(Jobs.at(Name), JobReason::Overloaded, Wait, Now);
  for (const auto &[Name, Wait] : Late)
    endJob(Name, JobResult::NotRun, JobReason::Overloaded, Now,
           Wait == Duration::max() ? NoBackendRetryMs : millisecondsOf(Wait));
}

void Dispatcher::expireJobs(Instant Now) {
  struct Ending {
    std::string Job;
    JobResult Result;
    JobReason Reason;
  };
  std::vector<Ending> Endings;
  for (const auto &[Name, Of] : Jobs) {
    if (Now >= Of.Deadline)
      Endings.push_back({Name,
                         Of.Started ? JobResult::GivenUp : JobResult::NotRun,
                         JobReason::DeadlinePassed});
  }
  for (const Ending &Each : Endings)
    endJob(Each.Job, Each.Result, Each.Reason, Now);
  std::erase_if(Outcomes, [&](const auto &Each) {
    return Now - Each.second.Ended > Limits.OutcomeKept;
  });
  std::erase_if(UnresolvedStarts, [&](const auto &Each) {
    return Now - Each.second.Ordered > Limits.LatestLate;
  });
}

void Dispatcher::tick(Instant Now) {
  expireJobs(Now);
  checkPlaceable();
  refuseLate(Now);
  revokeStored(Now);
  for (auto &[Id, Of] : Backends)
    tickBackend(Of, Now);
  schedule(Now);
}

} // namespace sapphiremoor
