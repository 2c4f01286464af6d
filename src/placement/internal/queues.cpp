#include "placement/internal/queues.h"
#include "placement/internal/backends.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace sapphiremoor::detail {

namespace {

constexpr double SecondsPerUs = 1e-6;
// Teams within their quota whose ranks differ by less (in seconds) are served
// in the order of arrival. It saves moving the queue at each start.
constexpr double RankStep = 0.02;
// Added to the rank of teams beyond their quota; above all other ranks.
constexpr double BeyondQuota = 1e12;

bool isActive(const TeamRecord &Team) { return Team.Queued + Team.Running > 0; }

/// Changes a count of a team and keeps the sum of active shares.
void changeTeam(PlacementState &State, uint32_t TeamIndex, int Queued,
                int Running) {
  TeamRecord &Team = State.Teams[TeamIndex];
  const bool Before = isActive(Team);
  Team.Queued += static_cast<uint32_t>(Queued);
  Team.Running += static_cast<uint32_t>(Running);
  if (Before && !isActive(Team))
    State.ActiveShares -= Team.Spec.Share;
  if (!Before && isActive(Team))
    State.ActiveShares += Team.Spec.Share;
}

/// Returns the virtual time that passes in \p Span at full use of all slots.
double virtualSpan(const PlacementState &State, Duration Span) {
  return static_cast<double>(Span.count()) * SecondsPerUs *
         static_cast<double>(State.Slots) / std::max(State.ShareSum, 1e-9);
}

double seconds(Instant At) {
  return static_cast<double>(At.time_since_epoch().count()) * SecondsPerUs;
}

/// Returns the first part of the order of a queue: less is served first.
double rankOf(const PlacementState &State, const TeamRecord &Team,
              const JobRecord &First) {
  if (Team.WithinQuota)
    return std::floor(std::max(seconds(First.EnqueuedAt), Team.BusyUntil) /
                      RankStep);
  const double Quantum = virtualSpan(State, State.Limits.FairQuantum);
  return BeyondQuota + std::floor(Team.VirtualTime / std::max(Quantum, 1e-9));
}

void refreshTeam(PlacementState &State, uint32_t Team) {
  for (const uint32_t Service : State.Teams[Team].WaitingIn) {
    refreshWaiting(State, Service, Team);
    refreshReady(State, Service);
  }
}

/// Charges the quota and decides whether the team is still within it.
void chargeQuota(PlacementState &State, uint32_t TeamIndex, double Charge) {
  TeamRecord &Team = State.Teams[TeamIndex];
  if (!Team.WithinQuota)
    State.Overdrawn.erase({Team.QuotaUsed, TeamIndex});
  const double Least =
      State.QuotaClock - virtualSpan(State, State.Limits.QuotaBurst);
  const double Most =
      State.QuotaClock + virtualSpan(State, State.Limits.QuotaDebt);
  Team.QuotaUsed = std::min(std::max(Team.QuotaUsed, Least) + Charge, Most);
  Team.WithinQuota = Team.QuotaUsed <= State.QuotaClock;
  if (!Team.WithinQuota)
    State.Overdrawn.emplace(Team.QuotaUsed, TeamIndex);
}

/// Limits how much unused share a team that starts to queue may catch up.
void limitCredit(PlacementState &State, uint32_t Team) {
  const double Floor =
      State.VirtualTime - virtualSpan(State, State.Limits.BurstCredit);
  double &VirtualTime = State.Teams[Team].VirtualTime;
  if (VirtualTime >= Floor)
    return;
  VirtualTime = Floor;
  refreshTeam(State, Team);
}

/// Returns true if the wait for other backend servers would be longer than
/// what the slow one costs.
bool worthReserve(const PlacementState &State, const ServiceRecord &Service,
                  uint32_t Backend, uint32_t ServiceIndex) {
  if (Service.Demoted >= Service.Carriers || Service.Slots == 0)
    return true;
  for (const OfferedService &Carried : State.Backends[Backend].OfferedServices)
    if (Carried.Service == ServiceIndex && Carried.Slow)
      return static_cast<double>(Service.Queued) >
             (std::exp(Carried.LogRatio) - 1) *
                 static_cast<double>(Service.Slots);
  return true;
}

bool isDead(const PlacementState &State, const QueueEntry &Entry) {
  const JobRecord &Job = State.Jobs[Entry.Job];
  return Job.Generation != Entry.Generation || Job.Dropped;
}

} // namespace

uint32_t serviceNumber(PlacementState &State, const std::string &Name) {
  const auto Next = static_cast<uint32_t>(State.Services.size());
  const auto [Found, Added] = State.ServiceNumbers.try_emplace(Name, Next);
  if (Added) {
    State.Services.emplace_back();
    State.Services.back().Spec.Name = Name;
    State.Services.back().RetryTokens = State.Limits.RetryTokens;
  }
  return Found->second;
}

uint32_t teamNumber(PlacementState &State, const std::string &Name) {
  const auto Next = static_cast<uint32_t>(State.Teams.size());
  const auto [Found, Added] = State.TeamNumbers.try_emplace(Name, Next);
  if (!Added)
    return Found->second;
  double Least = Next == 0 ? 1.0 : State.Teams.front().Spec.Share;
  for (const TeamRecord &Team : State.Teams)
    Least = std::min(Least, Team.Spec.Share);
  State.Teams.emplace_back();
  State.Teams.back().Spec = TeamSpec{Name, Least};
  State.Teams.back().VirtualTime = State.VirtualTime;
  State.ShareSum += Least;
  return Next;
}

void trimFront(PlacementState &State, TeamQueue &Queue) {
  while (!Queue.Entries.empty() && isDead(State, Queue.Entries.front()))
    Queue.Entries.pop_front();
}

uint32_t chooseBackend(const PlacementState &State, const JobRecord &Job,
                       uint32_t Excluded) {
  const ServiceRecord &Service = State.Services[Job.Service];
  const uint32_t ExcludedPosition =
      Excluded == NoIndex ? NoIndex : State.Backends[Excluded].Position;
  if (Job.SingleRequest && Excluded == NoIndex)
    if (const auto Position = Service.Probe.pick(NoIndex))
      return State.PositionOwners[*Position];
  if (const auto Position = Service.Preferred.pick(ExcludedPosition))
    return State.PositionOwners[*Position];
  const auto Position = Service.Reserve.pick(ExcludedPosition);
  if (!Position)
    return NoIndex;
  const uint32_t Backend = State.PositionOwners[*Position];
  return worthReserve(State, Service, Backend, Job.Service) ? Backend : NoIndex;
}

void refreshWaiting(PlacementState &State, uint32_t ServiceIndex,
                    uint32_t Team) {
  ServiceRecord &Service = State.Services[ServiceIndex];
  TeamQueue &Queue = Service.Queues[Team];
  std::optional<WaitingKey> Wanted;
  if (Queue.Live > 0) {
    trimFront(State, Queue);
    const JobRecord &First = State.Jobs[Queue.Entries.front().Job];
    Wanted = WaitingKey{rankOf(State, State.Teams[Team], First), First.Sequence,
                        Team};
  }
  if (Wanted == Queue.Waiting)
    return;
  if (Queue.Waiting)
    Service.Waiting.erase(*Queue.Waiting);
  if (Wanted)
    Service.Waiting.insert(*Wanted);
  Queue.Waiting = Wanted;
}

void refreshReady(PlacementState &State, uint32_t ServiceIndex) {
  ServiceRecord &Service = State.Services[ServiceIndex];
  std::optional<ReadyKey> Wanted;
  if (Service.Queued > 0) {
    const auto &[Rank, Sequence, Team] = *Service.Waiting.begin();
    TeamQueue &Queue = Service.Queues[Team];
    trimFront(State, Queue);
    const JobRecord &First = State.Jobs[Queue.Entries.front().Job];
    if (chooseBackend(State, First, NoIndex) != NoIndex)
      Wanted = ReadyKey{Rank, Sequence, ServiceIndex};
  }
  if (Wanted == Service.Ready)
    return;
  if (Service.Ready)
    State.Ready.erase(*Service.Ready);
  if (Wanted)
    State.Ready.insert(*Wanted);
  Service.Ready = Wanted;
}

void addRunning(PlacementState &State, uint32_t Team, int Change) {
  changeTeam(State, Team, 0, Change);
}

void chargeTeam(PlacementState &State, uint32_t TeamIndex, double SlotSeconds,
                Instant EnqueuedAt) {
  TeamRecord &Team = State.Teams[TeamIndex];
  const double Charge = SlotSeconds / Team.Spec.Share;
  Team.VirtualTime += Charge;
  chargeQuota(State, TeamIndex, Charge);
  const double Busy = State.Limits.BusyFactor * SlotSeconds /
                      static_cast<double>(std::max<uint64_t>(State.Slots, 1));
  const double Most = seconds(State.QuotaClockAt + State.Limits.BusyAhead);
  Team.BusyUntil =
      std::min(std::max(Team.BusyUntil, seconds(EnqueuedAt)) + Busy, Most);
  refreshTeam(State, TeamIndex);
}

void advanceQuotaClock(PlacementState &State, Instant Now) {
  State.QuotaClock += virtualSpan(State, Now - State.QuotaClockAt);
  State.QuotaClockAt = Now;
  while (!State.Overdrawn.empty() &&
         State.Overdrawn.begin()->first <= State.QuotaClock) {
    const uint32_t Team = State.Overdrawn.begin()->second;
    State.Overdrawn.erase(State.Overdrawn.begin());
    State.Teams[Team].WithinQuota = true;
    refreshTeam(State, Team);
  }
}

void addQueued(PlacementState &State, JobRecord &Job, uint32_t Count) {
  ServiceRecord &Service = State.Services[Job.Service];
  TeamQueue &Queue = Service.Queues[Job.Team];
  TeamRecord &Team = State.Teams[Job.Team];
  if (Queue.Live == 0) {
    limitCredit(State, Job.Team);
    Team.WaitingIn.push_back(Job.Service);
  }
  Job.Queued += Count;
  Queue.Live += Count;
  Service.Queued += Count;
  State.Queued += Count;
  changeTeam(State, Job.Team, static_cast<int>(Count), 0);
  refreshWaiting(State, Job.Service, Job.Team);
  refreshReady(State, Job.Service);
}

void subtractQueued(PlacementState &State, JobRecord &Job, uint32_t Count) {
  ServiceRecord &Service = State.Services[Job.Service];
  TeamQueue &Queue = Service.Queues[Job.Team];
  TeamRecord &Team = State.Teams[Job.Team];
  Job.Queued -= Count;
  Queue.Live -= Count;
  Service.Queued -= Count;
  State.Queued -= Count;
  changeTeam(State, Job.Team, -static_cast<int>(Count), 0);
  if (Queue.Live == 0 && Count > 0)
    std::erase(Team.WaitingIn, Job.Service);
  refreshWaiting(State, Job.Service, Job.Team);
  refreshReady(State, Job.Service);
}

void requeueTask(PlacementState &State, uint32_t JobIndex, uint32_t TaskIndex) {
  JobRecord &Job = State.Jobs[JobIndex];
  Job.Tasks[TaskIndex].Phase = TaskPhase::Queued;
  State.Services[Job.Service].Queues[Job.Team].Entries.push_front(
      {JobIndex, Job.Generation, TaskIndex, TaskIndex + 1});
  addQueued(State, Job, 1);
  if (Job.Deadline != Instant::max() && !Job.DeadlineArmed) {
    State.Deadlines.schedule(Job.Deadline, JobIndex);
    Job.DeadlineArmed = true;
  }
}

uint32_t dropQueued(PlacementState &State, JobRecord &Job) {
  const uint32_t Dropped = Job.Queued;
  Job.Dropped = true;
  subtractQueued(State, Job, Dropped);
  return Dropped;
}

void expireJob(PlacementState &State, JobRecord &Job) {
  for (uint32_t Index = 0; Index < Job.Tasks.size(); ++Index) {
    if (Job.Tasks[Index].Phase != TaskPhase::Queued)
      continue;
    Job.Tasks[Index].Phase = TaskPhase::Ended;
    State.Expired.emplace_back(Job.Number, Index);
  }
  dropQueued(State, Job);
}

void disarmTimers(PlacementState &State, JobRecord &Job, uint32_t JobIndex) {
  if (Job.HedgeArmed)
    State.Hedges.cancel(Job.HedgeAt, JobIndex);
  if (Job.DeadlineArmed)
    State.Deadlines.cancel(Job.Deadline, JobIndex);
  Job.HedgeArmed = false;
  Job.DeadlineArmed = false;
}

void releaseIfEnded(PlacementState &State, uint32_t JobIndex) {
  JobRecord &Job = State.Jobs[JobIndex];
  if (Job.Queued + Job.Running > 0)
    return;
  disarmTimers(State, Job, JobIndex);
  State.JobNumbers.erase(Job.Number);
  const uint32_t Generation = Job.Generation + 1;
  Job = JobRecord{};
  Job.Generation = Generation;
  State.FreeJobs.push_back(JobIndex);
}

} // namespace sapphiremoor::detail
