#include "placement/internal/queues.h"
#include "placement/placement.h"

#include <algorithm>
#include <string>

namespace sapphiremoor {

namespace detail {

namespace {

// Part of the admitted jobs that may miss their deadline by their run times.
constexpr double LateShare = 0.05;

Duration scaled(Duration Base, double Factor) {
  return Duration{
      static_cast<int64_t>(static_cast<double>(Base.count()) * Factor)};
}

/// Predicts the wait until \p Tasks tasks of one team have started.
Duration predictWait(const ServiceRecord &Service, double Tasks,
                     double ShareOfSlots) {
  const double Queued = Tasks - static_cast<double>(Service.FreeSlots);
  if (Queued <= 0)
    return Duration{0};
  const double Slots =
      static_cast<double>(std::max<uint64_t>(Service.Slots, 1));
  return scaled(Service.Times.mean(), Queued / (Slots * ShareOfSlots));
}

struct TeamView {
  double Share = 1;
  double ActiveShares = 1;
  uint32_t Queued = 0;
  uint32_t QueuedHere = 0;
  double WaitFactor = 1;
};

TeamView viewOf(const PlacementState &State, const ServiceRecord &Service,
                const std::string &Name) {
  TeamView View;
  const auto Found = State.TeamNumbers.find(Name);
  if (Found == State.TeamNumbers.end()) {
    View.ActiveShares = State.ActiveShares + View.Share;
    return View;
  }
  const TeamRecord &Team = State.Teams[Found->second];
  View.Share = Team.Spec.Share;
  View.Queued = Team.Queued;
  View.ActiveShares = State.ActiveShares;
  if (Team.Queued + Team.Running == 0)
    View.ActiveShares += Team.Spec.Share;
  if (Found->second < Service.Queues.size()) {
    View.QueuedHere = Service.Queues[Found->second].Live;
    View.WaitFactor = Service.Queues[Found->second].WaitFactor;
  }
  return View;
}

Duration predictJob(const ServiceRecord &Service, const TeamView &Team,
                    uint32_t TaskCount) {
  return predictWait(Service, static_cast<double>(Team.QueuedHere) + TaskCount,
                     Team.Share / std::max(Team.ActiveShares, Team.Share));
}

Error impossible(std::string Message, std::string Remedy) {
  return {ErrorKind::Impossible, std::move(Message), std::move(Remedy)};
}

Error overloaded(std::string Message, std::string Remedy) {
  return {ErrorKind::Overloaded, std::move(Message), std::move(Remedy)};
}

bool queueFull(const PlacementState &State, const TeamView &Team,
               uint32_t TaskCount) {
  const double Bound = State.Limits.QueuedTasks;
  const double Own = Bound * Team.Share / std::max(State.ShareSum, Team.Share);
  return static_cast<double>(State.Queued) + TaskCount > Bound &&
         static_cast<double>(Team.Queued) + TaskCount > Own;
}

} // namespace

} // namespace detail

void setServices(PlacementState &State,
                 const std::vector<ServiceSpec> &Services) {
  for (ServiceRecord &Service : State.Services)
    Service.Configured = false;
  for (const ServiceSpec &Spec : Services) {
    ServiceRecord &Service =
        State.Services[detail::serviceNumber(State, Spec.Name)];
    Service.Spec = Spec;
    Service.Configured = true;
    Service.Times.declare(Spec.DeclaredRunTime);
  }
}

void setTeams(PlacementState &State, const std::vector<TeamSpec> &Teams) {
  double Least = 1.0;
  if (!Teams.empty())
    Least = std::ranges::min(Teams, {}, &TeamSpec::Share).Share;
  for (TeamRecord &Team : State.Teams)
    Team.Spec.Share = Least;
  for (const TeamSpec &Spec : Teams)
    State.Teams[detail::teamNumber(State, Spec.Name)].Spec = Spec;
  State.ShareSum = 0;
  State.ActiveShares = 0;
  for (const TeamRecord &Team : State.Teams) {
    State.ShareSum += Team.Spec.Share;
    if (Team.Queued + Team.Running > 0)
      State.ActiveShares += Team.Spec.Share;
  }
}

Result<Done> admit(const PlacementState &State, const JobShape &Shape,
                   Instant Now) {
  const auto Found = State.ServiceNumbers.find(Shape.Service);
  if (Found == State.ServiceNumbers.end() ||
      !State.Services[Found->second].Configured)
    return detail::impossible("unknown service '" + Shape.Service + "'",
                              "configure the service or correct its name");
  const ServiceRecord &Service = State.Services[Found->second];
  if (Service.Carriers == 0)
    return detail::impossible(
        "no backend server carries '" + Shape.Service + "'",
        "start a backend server that announces the service");
  if (Shape.TaskCount == 0 || Shape.TaskCount > State.Limits.TasksPerJob)
    return detail::impossible("a job must have 1 to " +
                                  std::to_string(State.Limits.TasksPerJob) +
                                  " tasks",
                              "split the job");
  const detail::TeamView Team = detail::viewOf(State, Service, Shape.Team);
  if (detail::queueFull(State, Team, Shape.TaskCount))
    return detail::overloaded("queue full", "retry later");
  if (Shape.Deadline == Instant::max())
    return Done{};
  const Duration Wait = detail::scaled(
      detail::predictJob(Service, Team, Shape.TaskCount), Team.WaitFactor);
  // With a free slot for each task the job delays nobody and may try; behind
  // a queue only a job that will very likely be in time is worth its slots.
  const Duration Run =
      Wait == Duration{0}
          ? Service.Times.mean()
          : Service.Times.quantile(1 - detail::LateShare / Shape.TaskCount);
  if (Now + Wait + Run > Shape.Deadline)
    return detail::overloaded("deadline cannot be met",
                              "retry later or allow more time");
  return Done{};
}

void enqueueJob(PlacementState &State, JobNumber Number, const JobShape &Shape,
                Instant Now) {
  if (Shape.TaskCount == 0 || State.JobNumbers.contains(Number))
    return;
  const uint32_t Service = detail::serviceNumber(State, Shape.Service);
  const uint32_t Team = detail::teamNumber(State, Shape.Team);
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
  Job.SingleRequest = Shape.SingleRequest && Shape.TaskCount == 1;
  Job.Deadline = Shape.Deadline;
  Job.EnqueuedAt = Now;
  Job.PredictedWait = detail::predictJob(
      Record, detail::viewOf(State, Record, Shape.Team), Shape.TaskCount);
  Job.Sequence = ++State.LastSequence;
  Job.Tasks.resize(Shape.TaskCount);
  Record.Queues[Team].Entries.push_back(
      {JobIndex, Job.Generation, 0, Shape.TaskCount});
  if (Shape.Deadline != Instant::max()) {
    State.Deadlines.schedule(Shape.Deadline, JobIndex);
    Job.DeadlineArmed = true;
  }
  detail::addQueued(State, Job, Shape.TaskCount);
}

uint32_t cancelJob(PlacementState &State, JobNumber Number) {
  const auto Found = State.JobNumbers.find(Number);
  if (Found == State.JobNumbers.end())
    return 0;
  const uint32_t JobIndex = Found->second;
  JobRecord &Job = State.Jobs[JobIndex];
  const uint32_t Dropped = detail::dropQueued(State, Job);
  detail::disarmTimers(State, Job, JobIndex);
  detail::releaseIfEnded(State, JobIndex);
  return Dropped;
}

Duration expectedWait(const PlacementState &State, const std::string &Name) {
  const auto Found = State.ServiceNumbers.find(Name);
  if (Found == State.ServiceNumbers.end() ||
      State.Services[Found->second].Carriers == 0)
    return Duration::max();
  const ServiceRecord &Service = State.Services[Found->second];
  return detail::predictWait(Service, static_cast<double>(Service.Queued) + 1,
                             1);
}

} // namespace sapphiremoor
