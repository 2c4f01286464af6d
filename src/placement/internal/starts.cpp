#include "placement/internal/backends.h"
#include "placement/internal/queues.h"
#include "placement/placement.h"

#include <algorithm>

namespace sapphiremoor {

namespace detail {

namespace {

constexpr double SecondsPerUs = 1e-6;

// Shorter predictions say nothing about the queue and do not adjust the wait
// factor.
constexpr Duration MinPredictedWait{20'000};
constexpr double WaitWeight = 0.1;

void occupySlot(PlacementState &State, uint32_t BackendIndex, uint32_t Service,
                Instant Now) {
  BackendRecord &Backend = State.Backends[BackendIndex];
  OfferedService *Offer = findOfferedService(Backend, Service);
  State.Services[Service].Preferred.advance(Backend.Position);
  ++Backend.RunningTasks;
  if (Offer->State == HealthState::ProbeDue) {
    scheduleProbe(State, BackendIndex, *Offer, Instant::max());
    setHealthState(State, Backend, *Offer, HealthState::Probing);
  }
  if (Now < Backend.PacedUntil)
    for (OfferedService &BackendOffer : Backend.OfferedServices)
      backOffUntil(State, BackendIndex, BackendOffer,
                   std::max(BackendOffer.BackoffUntil,
                            Now + State.Limits.InitialBackoff));
  updateIndexes(State, Backend);
}

/// Occupies a slot, charges the team and records the start.
TaskStart startTask(PlacementState &State, JobRecord &Job, uint32_t TaskIndex,
                    uint32_t Backend, bool Hedge, Instant Now) {
  ServiceRecord &Service = State.Services[Job.Service];
  const double Charge =
      static_cast<double>(Service.LearnedTimes.mean().count()) * SecondsPerUs;
  TaskRecord &Task = Job.Tasks[TaskIndex];
  Attempt &NewAttempt = Hedge ? Task.Hedge : Task.Primary;
  NewAttempt.Backend = Backend;
  NewAttempt.ChargedSeconds = static_cast<float>(Charge);
  Task.Phase = TaskPhase::Started;
  ++Job.RunningTasks;
  occupySlot(State, Backend, Job.Service, Now);
  const TeamRecord &Team = State.Teams[Job.Team];
  State.VirtualTime = std::max(State.VirtualTime, Team.VirtualTime);
  addRunning(State, Job.Team, 1);
  chargeTeam(State, Job.Team, Charge, Job.EnqueuedAt);
  return {Job.Number, TaskIndex, State.Backends[Backend].Spec.Id, Hedge};
}

void scheduleHedge(PlacementState &State, JobRecord &Job, uint32_t JobIndex,
                   Instant Now) {
  const ServiceRecord &Service = State.Services[Job.Service];
  if (!Job.SingleRequest || !Service.Spec.Idempotent ||
      Service.Spec.Weight != ServiceWeight::ResponseTime || Job.HedgeScheduled)
    return;
  Job.HedgeAt = Now + Service.LearnedTimes.percentile95();
  Job.HedgeScheduled = true;
  State.Hedges.schedule(Job.HedgeAt, JobIndex);
}

/// Adjusts the wait factor of a queue by the ratio of actual to predicted wait,
/// measured when the last task of a job starts.
void updateWaitFactor(PlacementState &State, const JobRecord &Job,
                      Instant Now) {
  if (Job.PredictedWait < MinPredictedWait)
    return;
  TeamQueue &Queue = State.Services[Job.Service].Queues[Job.Team];
  const Duration ActualWait = Now - Job.EnqueuedAt;
  const double Ratio = static_cast<double>(ActualWait.count()) /
                       static_cast<double>(Job.PredictedWait.count());
  Queue.WaitFactor +=
      WaitWeight * (std::clamp(Ratio, 0.2, 5.0) - Queue.WaitFactor);
}

/// Starts the first queued task of the first ready service.
void startNext(PlacementState &State, Instant Now,
               std::vector<TaskStart> &Starts) {
  const uint32_t ServiceIndex = std::get<2>(*State.ReadyServices.begin());
  ServiceRecord &Service = State.Services[ServiceIndex];
  TeamQueue &Queue =
      Service.Queues[std::get<2>(*Service.WaitingQueues.begin())];
  dropStaleEntries(State, Queue);
  QueueEntry &Entry = Queue.Entries.front();
  const uint32_t JobIndex = Entry.Job;
  JobRecord &Job = State.Jobs[JobIndex];
  if (Job.Deadline <= Now) {
    expireJob(State, Job);
    return;
  }
  const uint32_t TaskIndex = Entry.NextTask++;
  if (Entry.NextTask == Entry.EndTask)
    Queue.Entries.pop_front();
  const uint32_t Backend = chooseBackend(State, Job, NoIndex);
  // Update the counts first, because starting the task reads them.
  subtractQueued(State, Job, 1);
  Starts.push_back(startTask(State, Job, TaskIndex, Backend, false, Now));
  Service.RetryTokens =
      std::min(Service.RetryTokens + State.Limits.RetryTokensPerStart,
               State.Limits.MaxRetryTokens);
  scheduleHedge(State, Job, JobIndex, Now);
  if (Job.QueuedTasks > 0)
    return;
  updateWaitFactor(State, Job, Now);
  if (Job.DeadlineScheduled)
    State.Deadlines.cancel(Job.Deadline, JobIndex);
  Job.DeadlineScheduled = false;
}

/// Starts the hedges that are due if another backend server has a free slot.
/// Otherwise a due hedge is discarded: it would only lengthen the queue.
void startHedges(PlacementState &State, Instant Now,
                 std::vector<TaskStart> &Starts) {
  while (const auto Owner = State.Hedges.takeDue(Now)) {
    JobRecord &Job = State.Jobs[*Owner];
    Job.HedgeScheduled = false;
    const TaskRecord &Task = Job.Tasks.front();
    ServiceRecord &Service = State.Services[Job.Service];
    if (Task.Phase != TaskPhase::Started || !Task.Primary.isRunning() ||
        Task.Hedge.isRunning() || Job.Dropped || Service.RetryTokens < 1 ||
        Job.Deadline <= Now)
      continue;
    const uint32_t Backend = chooseBackend(State, Job, Task.Primary.Backend);
    if (Backend == NoIndex)
      continue;
    Service.RetryTokens -= 1;
    Starts.push_back(startTask(State, Job, 0, Backend, true, Now));
  }
}

} // namespace

} // namespace detail

std::vector<TaskStart> nextStarts(PlacementState &State, Instant Now) {
  std::vector<TaskStart> Starts;
  detail::advanceQuotaClock(State, Now);
  detail::handleTimers(State, Now);
  while (!State.ReadyServices.empty())
    detail::startNext(State, Now, Starts);
  detail::startHedges(State, Now, Starts);
  return Starts;
}

std::optional<Instant> nextTimer(const PlacementState &State) {
  if (!State.ExpiredTasks.empty())
    return Instant{};
  std::optional<Instant> Next;
  for (const TimerQueue *Timers :
       {&State.Probes, &State.Backoffs, &State.Hedges, &State.Deadlines}) {
    const std::optional<Instant> First = Timers->first();
    if (First && (!Next || *First < *Next))
      Next = First;
  }
  return Next;
}

std::vector<std::pair<JobNumber, uint32_t>> expireTasks(PlacementState &State,
                                                        Instant Now) {
  while (const auto Owner = State.Deadlines.takeDue(Now)) {
    const auto JobIndex = static_cast<uint32_t>(*Owner);
    JobRecord &Job = State.Jobs[JobIndex];
    Job.DeadlineScheduled = false;
    detail::expireJob(State, Job);
    detail::releaseIfEnded(State, JobIndex);
  }
  return std::exchange(State.ExpiredTasks, {});
}

} // namespace sapphiremoor
