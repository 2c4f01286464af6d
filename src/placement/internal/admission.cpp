#include "placement/internal/queues.h"
#include "placement/placement.h"

#include <algorithm>
#include <string>

namespace sapphiremoor {

namespace detail {

namespace {

// Largest share of admitted jobs that may miss their deadline because a run
// time exceeds the predicted one.
constexpr double MaxLateShare = 0.05;

Duration scale(Duration Base, double Factor) {
  return Duration{
      static_cast<int64_t>(static_cast<double>(Base.count()) * Factor)};
}

/// Predicts the wait until \p TaskCount tasks of one team have started.
Duration predictWait(const ServiceRecord &Service, double TaskCount,
                     double SlotShare) {
  const double WaitingTasks =
      TaskCount - static_cast<double>(Service.FreeSlots);
  if (WaitingTasks <= 0)
    return Duration{0};
  const double Slots =
      static_cast<double>(std::max<uint64_t>(Service.Slots, 1));
  return scale(Service.LearnedTimes.mean(), WaitingTasks / (Slots * SlotShare));
}

struct TeamLoad {
  double Share = 1;
  double ActiveShares = 1;
  uint32_t QueuedTasks = 0;
  uint32_t QueuedInService = 0;
  double WaitFactor = 1;
};

TeamLoad computeTeamLoad(const PlacementState &State,
                         const ServiceRecord &Service,
                         const std::string &TeamName) {
  TeamLoad Load;
  const auto It = State.TeamNumbers.find(TeamName);
  if (It == State.TeamNumbers.end()) {
    Load.ActiveShares = State.ActiveShares + Load.Share;
    return Load;
  }
  const TeamRecord &Team = State.Teams[It->second];
  Load.Share = Team.Spec.Share;
  Load.QueuedTasks = Team.QueuedTasks;
  Load.ActiveShares = State.ActiveShares;
  if (Team.QueuedTasks + Team.RunningTasks == 0)
    Load.ActiveShares += Team.Spec.Share;
  if (It->second < Service.Queues.size()) {
    Load.QueuedInService = Service.Queues[It->second].LiveTasks;
    Load.WaitFactor = Service.Queues[It->second].WaitFactor;
  }
  return Load;
}

Duration predictJobWait(const ServiceRecord &Service, const TeamLoad &Team,
                        uint32_t TaskCount) {
  return predictWait(Service,
                     static_cast<double>(Team.QueuedInService) + TaskCount,
                     Team.Share / std::max(Team.ActiveShares, Team.Share));
}

Error impossibleError(std::string Message, std::string Remedy) {
  return {ErrorKind::Impossible, std::move(Message), std::move(Remedy)};
}

Error overloadedError(std::string Message, std::string Remedy) {
  return {ErrorKind::Overloaded, std::move(Message), std::move(Remedy)};
}

bool isQueueFull(const PlacementState &State, const TeamLoad &Team,
                 uint32_t TaskCount) {
  const double QueueBound = State.Limits.MaxQueuedTasks;
  const double TeamBound =
      QueueBound * Team.Share / std::max(State.ShareSum, Team.Share);
  return static_cast<double>(State.QueuedTasks) + TaskCount > QueueBound &&
         static_cast<double>(Team.QueuedTasks) + TaskCount > TeamBound;
}

} // namespace

} // namespace detail

void setServices(PlacementState &State,
                 const std::vector<ServiceSpec> &Services) {
  for (ServiceRecord &Service : State.Services)
    Service.Configured = false;
  for (const ServiceSpec &Spec : Services) {
    ServiceRecord &Service =
        State.Services[detail::findOrAddService(State, Spec.Name)];
    Service.Spec = Spec;
    Service.Configured = true;
    Service.LearnedTimes.setDeclared(Spec.DeclaredRunTime);
  }
}

void setTeams(PlacementState &State, const std::vector<TeamSpec> &Teams) {
  double LeastShare = 1.0;
  if (!Teams.empty())
    LeastShare = std::ranges::min(Teams, {}, &TeamSpec::Share).Share;
  for (TeamRecord &Team : State.Teams)
    Team.Spec.Share = LeastShare;
  for (const TeamSpec &Spec : Teams)
    State.Teams[detail::findOrAddTeam(State, Spec.Name)].Spec = Spec;
  State.ShareSum = 0;
  State.ActiveShares = 0;
  for (const TeamRecord &Team : State.Teams) {
    State.ShareSum += Team.Spec.Share;
    if (Team.QueuedTasks + Team.RunningTasks > 0)
      State.ActiveShares += Team.Spec.Share;
  }
}

Result<Done> admit(const PlacementState &State, const JobSpec &Spec,
                   Instant Now) {
  const auto It = State.ServiceNumbers.find(Spec.Service);
  if (It == State.ServiceNumbers.end() ||
      !State.Services[It->second].Configured)
    return detail::impossibleError("unknown service '" + Spec.Service + "'",
                                   "configure the service or correct its name");
  const ServiceRecord &Service = State.Services[It->second];
  if (Service.BackendCount == 0)
    return detail::impossibleError(
        "no backend server offers the service '" + Spec.Service + "'",
        "start a backend server that announces the service");
  if (Spec.TaskCount == 0 || Spec.TaskCount > State.Limits.MaxTasksPerJob)
    return detail::impossibleError(
        "a job must have 1 to " + std::to_string(State.Limits.MaxTasksPerJob) +
            " tasks",
        "split a larger job, or add a task to an empty one");
  const detail::TeamLoad Team =
      detail::computeTeamLoad(State, Service, Spec.Team);
  if (detail::isQueueFull(State, Team, Spec.TaskCount))
    return detail::overloadedError("the job queue is full", "retry later");
  if (Spec.Deadline == Instant::max())
    return Done{};
  const Duration Wait = detail::scale(
      detail::predictJobWait(Service, Team, Spec.TaskCount), Team.WaitFactor);
  // If every task has a free slot, the job delays no other job, so the mean run
  // time decides. If the job has to queue, it is admitted only if it is very
  // likely to meet its deadline; otherwise its slots would be wasted.
  const Duration RunTime = Wait == Duration{0}
                               ? Service.LearnedTimes.mean()
                               : Service.LearnedTimes.quantile(
                                     1 - detail::MaxLateShare / Spec.TaskCount);
  if (Now + Wait + RunTime > Spec.Deadline)
    return detail::overloadedError(
        "the job is not expected to end before its deadline",
        "retry later or set a later deadline");
  return Done{};
}

void enqueueJob(PlacementState &State, JobNumber Number, const JobSpec &Spec,
                Instant Now) {
  if (Spec.TaskCount == 0 || State.JobNumbers.contains(Number))
    return;
  const uint32_t Service = detail::findOrAddService(State, Spec.Service);
  const uint32_t Team = detail::findOrAddTeam(State, Spec.Team);
  auto JobIndex = static_cast<uint32_t>(State.Jobs.size());
  if (State.FreeJobs.empty()) {
    State.Jobs.emplace_back();
  } else {
    JobIndex = State.FreeJobs.back();
    State.FreeJobs.pop_back();
  }
  State.JobNumbers.emplace(Number, JobIndex);
  JobRecord &Job = State.Jobs[JobIndex];
  ServiceRecord &Record = State.Services[Service];
  if (Record.Queues.size() <= Team)
    Record.Queues.resize(Team + 1);
  Job.Number = Number;
  Job.Service = Service;
  Job.Team = Team;
  Job.SingleRequest = Spec.SingleRequest && Spec.TaskCount == 1;
  Job.Deadline = Spec.Deadline;
  Job.EnqueuedAt = Now;
  Job.PredictedWait = detail::predictJobWait(
      Record, detail::computeTeamLoad(State, Record, Spec.Team),
      Spec.TaskCount);
  Job.Sequence = ++State.LastSequence;
  Job.Tasks.resize(Spec.TaskCount);
  Record.Queues[Team].Entries.push_back(
      {JobIndex, Job.Generation, 0, Spec.TaskCount});
  if (Spec.Deadline != Instant::max()) {
    State.Deadlines.schedule(Spec.Deadline, JobIndex);
    Job.DeadlineScheduled = true;
  }
  detail::addQueued(State, Job, Spec.TaskCount);
}

uint32_t cancelJob(PlacementState &State, JobNumber Number) {
  const auto It = State.JobNumbers.find(Number);
  if (It == State.JobNumbers.end())
    return 0;
  const uint32_t JobIndex = It->second;
  JobRecord &Job = State.Jobs[JobIndex];
  const uint32_t Dropped = detail::dropQueuedTasks(State, Job);
  detail::cancelTimers(State, Job, JobIndex);
  detail::releaseIfEnded(State, JobIndex);
  return Dropped;
}

Duration expectedWait(const PlacementState &State, const std::string &Name) {
  const auto It = State.ServiceNumbers.find(Name);
  if (It == State.ServiceNumbers.end() ||
      State.Services[It->second].BackendCount == 0)
    return Duration::max();
  const ServiceRecord &Service = State.Services[It->second];
  return detail::predictWait(Service,
                             static_cast<double>(Service.QueuedTasks) + 1, 1);
}

} // namespace sapphiremoor
