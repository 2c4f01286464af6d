#include "placement/internal/queues.h"
#include "placement/internal/backends.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace sapphiremoor::detail {

namespace {

constexpr double SecondsPerUs = 1e-6;
// Teams within their quota whose ranks differ by less than this are served in
// order of arrival. The step avoids reordering the queues at each start.
constexpr double RankStepSeconds = 0.02;
// Added to the rank of teams over their quota, so that they rank behind all
// teams within their quota.
constexpr double OverQuotaRank = 1e12;

bool isActive(const TeamRecord &Team) {
  return Team.QueuedTasks + Team.RunningTasks > 0;
}

/// Changes the task counts of a team and updates the sum of active shares.
void updateTeamCounts(PlacementState &State, uint32_t TeamIndex,
                      int QueuedChange, int RunningChange) {
  TeamRecord &Team = State.Teams[TeamIndex];
  const bool WasActive = isActive(Team);
  Team.QueuedTasks += static_cast<uint32_t>(QueuedChange);
  Team.RunningTasks += static_cast<uint32_t>(RunningChange);
  if (WasActive && !isActive(Team))
    State.ActiveShares -= Team.Spec.Share;
  if (!WasActive && isActive(Team))
    State.ActiveShares += Team.Spec.Share;
}

/// Returns the virtual time that passes during \p Span while all slots are
/// busy.
double toVirtualTime(const PlacementState &State, Duration Span) {
  return static_cast<double>(Span.count()) * SecondsPerUs *
         static_cast<double>(State.Slots) / std::max(State.ShareSum, 1e-9);
}

double seconds(Instant Time) {
  return static_cast<double>(Time.time_since_epoch().count()) * SecondsPerUs;
}

/// Returns the rank of a team's queue, whose first job is \p FirstJob. The
/// lowest rank is served first.
double computeRank(const PlacementState &State, const TeamRecord &Team,
                   const JobRecord &FirstJob) {
  if (Team.WithinQuota)
    return std::floor(std::max(seconds(FirstJob.EnqueuedAt), Team.BusyUntil) /
                      RankStepSeconds);
  const double Quantum = toVirtualTime(State, State.Limits.FairQuantum);
  return OverQuotaRank + std::floor(Team.VirtualTime / std::max(Quantum, 1e-9));
}

void refreshTeamQueues(PlacementState &State, uint32_t Team) {
  for (const uint32_t Service : State.Teams[Team].QueuedServices) {
    refreshWaitingKey(State, Service, Team);
    refreshReadyKey(State, Service);
  }
}

/// Charges the quota of a team and updates whether the team is within it.
void chargeQuota(PlacementState &State, uint32_t TeamIndex, double Charge) {
  TeamRecord &Team = State.Teams[TeamIndex];
  if (!Team.WithinQuota)
    State.OverQuotaTeams.erase({Team.QuotaUsed, TeamIndex});
  const double MinQuotaUsed =
      State.QuotaClock - toVirtualTime(State, State.Limits.QuotaBurst);
  const double MaxQuotaUsed =
      State.QuotaClock + toVirtualTime(State, State.Limits.QuotaDebt);
  Team.QuotaUsed =
      std::min(std::max(Team.QuotaUsed, MinQuotaUsed) + Charge, MaxQuotaUsed);
  Team.WithinQuota = Team.QuotaUsed <= State.QuotaClock;
  if (!Team.WithinQuota)
    State.OverQuotaTeams.emplace(Team.QuotaUsed, TeamIndex);
}

/// Limits how much unused share a team can catch up on when it starts to queue
/// tasks.
void limitCredit(PlacementState &State, uint32_t Team) {
  const double MinVirtualTime =
      State.VirtualTime - toVirtualTime(State, State.Limits.BurstCredit);
  double &VirtualTime = State.Teams[Team].VirtualTime;
  if (VirtualTime >= MinVirtualTime)
    return;
  VirtualTime = MinVirtualTime;
  refreshTeamQueues(State, Team);
}

/// Returns whether waiting for a healthy backend server would cost more time
/// than the slow backend server loses.
bool isFallbackWorthwhile(const PlacementState &State,
                          const ServiceRecord &Service, uint32_t Backend,
                          uint32_t ServiceIndex) {
  if (Service.DemotedCount >= Service.BackendCount || Service.Slots == 0)
    return true;
  for (const OfferedService &Offer : State.Backends[Backend].OfferedServices)
    if (Offer.Service == ServiceIndex && Offer.Slow)
      return static_cast<double>(Service.QueuedTasks) >
             (std::exp(Offer.LogRatio) - 1) *
                 static_cast<double>(Service.Slots);
  return true;
}

bool isStale(const PlacementState &State, const QueueEntry &Entry) {
  const JobRecord &Job = State.Jobs[Entry.Job];
  return Job.Generation != Entry.Generation || Job.Dropped;
}

} // namespace

uint32_t findOrAddService(PlacementState &State, const std::string &Name) {
  const auto NextIndex = static_cast<uint32_t>(State.Services.size());
  const auto [It, Inserted] = State.ServiceNumbers.try_emplace(Name, NextIndex);
  if (Inserted) {
    State.Services.emplace_back();
    State.Services.back().Spec.Name = Name;
    State.Services.back().RetryTokens = State.Limits.MaxRetryTokens;
  }
  return It->second;
}

uint32_t findOrAddTeam(PlacementState &State, const std::string &Name) {
  const auto NextIndex = static_cast<uint32_t>(State.Teams.size());
  const auto [It, Inserted] = State.TeamNumbers.try_emplace(Name, NextIndex);
  if (!Inserted)
    return It->second;
  double LeastShare = NextIndex == 0 ? 1.0 : State.Teams.front().Spec.Share;
  for (const TeamRecord &Team : State.Teams)
    LeastShare = std::min(LeastShare, Team.Spec.Share);
  State.Teams.emplace_back();
  State.Teams.back().Spec = TeamSpec{Name, LeastShare};
  State.Teams.back().VirtualTime = State.VirtualTime;
  State.ShareSum += LeastShare;
  return NextIndex;
}

void dropStaleEntries(PlacementState &State, TeamQueue &Queue) {
  while (!Queue.Entries.empty() && isStale(State, Queue.Entries.front()))
    Queue.Entries.pop_front();
}

uint32_t chooseBackend(const PlacementState &State, const JobRecord &Job,
                       uint32_t Excluded) {
  const ServiceRecord &Service = State.Services[Job.Service];
  const uint32_t ExcludedPosition =
      Excluded == NoIndex ? NoIndex : State.Backends[Excluded].Position;
  if (Job.SingleRequest && Excluded == NoIndex)
    if (const auto Position = Service.Probe.pick(NoIndex))
      return State.BackendsByPosition[*Position];
  if (const auto Position = Service.Preferred.pick(ExcludedPosition))
    return State.BackendsByPosition[*Position];
  const auto Position = Service.Fallback.pick(ExcludedPosition);
  if (!Position)
    return NoIndex;
  const uint32_t Backend = State.BackendsByPosition[*Position];
  return isFallbackWorthwhile(State, Service, Backend, Job.Service) ? Backend
                                                                    : NoIndex;
}

void refreshWaitingKey(PlacementState &State, uint32_t ServiceIndex,
                       uint32_t Team) {
  ServiceRecord &Service = State.Services[ServiceIndex];
  TeamQueue &Queue = Service.Queues[Team];
  std::optional<WaitingKey> NewKey;
  if (Queue.LiveTasks > 0) {
    dropStaleEntries(State, Queue);
    const JobRecord &FirstJob = State.Jobs[Queue.Entries.front().Job];
    NewKey = WaitingKey{computeRank(State, State.Teams[Team], FirstJob),
                        FirstJob.Sequence, Team};
  }
  if (NewKey == Queue.CurrentKey)
    return;
  if (Queue.CurrentKey)
    Service.WaitingQueues.erase(*Queue.CurrentKey);
  if (NewKey)
    Service.WaitingQueues.insert(*NewKey);
  Queue.CurrentKey = NewKey;
}

void refreshReadyKey(PlacementState &State, uint32_t ServiceIndex) {
  ServiceRecord &Service = State.Services[ServiceIndex];
  std::optional<ReadyKey> NewKey;
  if (Service.QueuedTasks > 0) {
    const auto &[Rank, Sequence, Team] = *Service.WaitingQueues.begin();
    TeamQueue &Queue = Service.Queues[Team];
    dropStaleEntries(State, Queue);
    const JobRecord &FirstJob = State.Jobs[Queue.Entries.front().Job];
    if (chooseBackend(State, FirstJob, NoIndex) != NoIndex)
      NewKey = ReadyKey{Rank, Sequence, ServiceIndex};
  }
  if (NewKey == Service.CurrentKey)
    return;
  if (Service.CurrentKey)
    State.ReadyServices.erase(*Service.CurrentKey);
  if (NewKey)
    State.ReadyServices.insert(*NewKey);
  Service.CurrentKey = NewKey;
}

void addRunning(PlacementState &State, uint32_t Team, int Change) {
  updateTeamCounts(State, Team, 0, Change);
}

void chargeTeam(PlacementState &State, uint32_t TeamIndex, double SlotSeconds,
                Instant EnqueuedAt) {
  TeamRecord &Team = State.Teams[TeamIndex];
  const double Charge = SlotSeconds / Team.Spec.Share;
  Team.VirtualTime += Charge;
  chargeQuota(State, TeamIndex, Charge);
  const double BusyTime =
      State.Limits.BusyFactor * SlotSeconds /
      static_cast<double>(std::max<uint64_t>(State.Slots, 1));
  const double MaxBusyUntil =
      seconds(State.QuotaClockUpdated + State.Limits.MaxBusyAhead);
  Team.BusyUntil = std::min(
      std::max(Team.BusyUntil, seconds(EnqueuedAt)) + BusyTime, MaxBusyUntil);
  refreshTeamQueues(State, TeamIndex);
}

void advanceQuotaClock(PlacementState &State, Instant Now) {
  State.QuotaClock += toVirtualTime(State, Now - State.QuotaClockUpdated);
  State.QuotaClockUpdated = Now;
  while (!State.OverQuotaTeams.empty() &&
         State.OverQuotaTeams.begin()->first <= State.QuotaClock) {
    const uint32_t Team = State.OverQuotaTeams.begin()->second;
    State.OverQuotaTeams.erase(State.OverQuotaTeams.begin());
    State.Teams[Team].WithinQuota = true;
    refreshTeamQueues(State, Team);
  }
}

void addQueued(PlacementState &State, JobRecord &Job, uint32_t Count) {
  ServiceRecord &Service = State.Services[Job.Service];
  TeamQueue &Queue = Service.Queues[Job.Team];
  TeamRecord &Team = State.Teams[Job.Team];
  if (Queue.LiveTasks == 0) {
    limitCredit(State, Job.Team);
    Team.QueuedServices.push_back(Job.Service);
  }
  Job.QueuedTasks += Count;
  Queue.LiveTasks += Count;
  Service.QueuedTasks += Count;
  State.QueuedTasks += Count;
  updateTeamCounts(State, Job.Team, static_cast<int>(Count), 0);
  refreshWaitingKey(State, Job.Service, Job.Team);
  refreshReadyKey(State, Job.Service);
}

void subtractQueued(PlacementState &State, JobRecord &Job, uint32_t Count) {
  ServiceRecord &Service = State.Services[Job.Service];
  TeamQueue &Queue = Service.Queues[Job.Team];
  TeamRecord &Team = State.Teams[Job.Team];
  Job.QueuedTasks -= Count;
  Queue.LiveTasks -= Count;
  Service.QueuedTasks -= Count;
  State.QueuedTasks -= Count;
  updateTeamCounts(State, Job.Team, -static_cast<int>(Count), 0);
  if (Queue.LiveTasks == 0 && Count > 0)
    std::erase(Team.QueuedServices, Job.Service);
  refreshWaitingKey(State, Job.Service, Job.Team);
  refreshReadyKey(State, Job.Service);
}

void requeueTask(PlacementState &State, uint32_t JobIndex, uint32_t TaskIndex) {
  JobRecord &Job = State.Jobs[JobIndex];
  Job.Tasks[TaskIndex].Phase = TaskPhase::Queued;
  State.Services[Job.Service].Queues[Job.Team].Entries.push_front(
      {JobIndex, Job.Generation, TaskIndex, TaskIndex + 1});
  addQueued(State, Job, 1);
  if (Job.Deadline != Instant::max() && !Job.DeadlineScheduled) {
    State.Deadlines.schedule(Job.Deadline, JobIndex);
    Job.DeadlineScheduled = true;
  }
}

uint32_t dropQueuedTasks(PlacementState &State, JobRecord &Job) {
  const uint32_t Dropped = Job.QueuedTasks;
  Job.Dropped = true;
  subtractQueued(State, Job, Dropped);
  return Dropped;
}

void expireJob(PlacementState &State, JobRecord &Job) {
  for (uint32_t Index = 0; Index < Job.Tasks.size(); ++Index) {
    if (Job.Tasks[Index].Phase != TaskPhase::Queued)
      continue;
    Job.Tasks[Index].Phase = TaskPhase::Ended;
    State.ExpiredTasks.emplace_back(Job.Number, Index);
  }
  dropQueuedTasks(State, Job);
}

void cancelTimers(PlacementState &State, JobRecord &Job, uint32_t JobIndex) {
  if (Job.HedgeScheduled)
    State.Hedges.cancel(Job.HedgeAt, JobIndex);
  if (Job.DeadlineScheduled)
    State.Deadlines.cancel(Job.Deadline, JobIndex);
  Job.HedgeScheduled = false;
  Job.DeadlineScheduled = false;
}

void releaseIfEnded(PlacementState &State, uint32_t JobIndex) {
  JobRecord &Job = State.Jobs[JobIndex];
  if (Job.QueuedTasks + Job.RunningTasks > 0)
    return;
  cancelTimers(State, Job, JobIndex);
  State.JobNumbers.erase(Job.Number);
  const uint32_t Generation = Job.Generation + 1;
  Job = JobRecord{};
  Job.Generation = Generation;
  State.FreeJobs.push_back(JobIndex);
}

} // namespace sapphiremoor::detail
