#include "simulation.h"

#include <string>

namespace sapphiremoor::bench {

namespace {

constexpr uint32_t EntryVmCount = 7;
constexpr Duration QuickFailure{5'000};

BackendSpec specOf(uint32_t Worker) {
  const std::string Number = std::to_string(Worker);
  return {"b" + Number,
          "w" + Number,
          "r" + std::to_string(Worker / WorkersPerRack),
          {"task"},
          SlotsPerWorker};
}

std::vector<TeamSpec> teamSpecs(uint32_t Count) {
  std::vector<TeamSpec> Teams;
  for (uint32_t Team = 0; Team < Count; ++Team)
    Teams.push_back({"team" + std::to_string(Team), 1.0 / Count});
  return Teams;
}

/// Every seventh job arrives at the dispatcher itself.
Duration toDispatcher(uint32_t Job) {
  return Job % EntryVmCount == 0 ? Hop : 2 * Hop;
}

} // namespace

Simulation::Simulation(const Trace &Jobs, const SimulationSetup &Setup)
    : Jobs(Jobs), Setup(Setup), Workers(WorkerCount), Open(Jobs.size()) {
  State.Limits = Setup.Limits;
  setServices(State, {{"task", true, Setup.Weight, Duration{300'000}}});
  setTeams(State, teamSpecs(Setup.TeamCount));
  for (uint32_t Worker = 0; Worker < WorkerCount; ++Worker)
    upsertBackend(State, specOf(Worker), Instant{});
  Outcome.Jobs.resize(Jobs.size());
}

RunOutcome Simulation::run() {
  for (uint32_t Job = 0; Job < Jobs.size(); ++Job)
    post(Jobs[Job].Arrival + toDispatcher(Job), EventKind::Arrive, Job);
  if (Setup.FaultsAt != Duration::max())
    post(Setup.FaultsAt, EventKind::Faults, 0);
  if (Setup.Takeover)
    takeOver();
  while (!Events.empty()) {
    const Event Next = Events.top();
    Events.pop();
    Now = Next.At;
    handle(Next);
  }
  return std::move(Outcome);
}

void Simulation::post(Duration At, EventKind Kind, uint32_t Subject) {
  Events.push({At, Order++, Kind, Subject});
}

void Simulation::handle(const Event &Next) {
  switch (Next.Kind) {
  case EventKind::Arrive:
    arrive(Next.Subject);
    break;
  case EventKind::Reach:
    reach(Next.Subject);
    return;
  case EventKind::End:
    endTask(Next.Subject);
    return;
  case EventKind::Answer:
    answer(Next.Subject);
    break;
  case EventKind::Wake:
    NextWake = Duration::max();
    break;
  case EventKind::Faults:
    beginFaults();
    return;
  case EventKind::ForeignEnd:
    --Workers[Next.Subject].Foreign;
    return;
  }
  for (const auto &[Job, Task] : expireTasks(State, instantAt(Now)))
    finish(static_cast<uint32_t>(Job), JobEnd::Failed);
  startTasks();
}

void Simulation::arrive(uint32_t Job) {
  const TraceJob &Traced = Jobs[Job];
  JobSpec Shape{.Team = "team" + std::to_string(Traced.Team),
                .Service = "task",
                .TaskCount = static_cast<uint32_t>(Traced.RunTimes.size()),
                .SingleRequest = Traced.single()};
  if (Traced.Deadline != Duration::max())
    Shape.Deadline = instantAt(Traced.Arrival + Traced.Deadline);
  if (isError(admit(State, Shape, instantAt(Now)))) {
    finish(Job, JobEnd::Refused);
    return;
  }
  Open[Job].Left = Traced.RunTimes.size();
  Open[Job].Ran.resize(Traced.RunTimes.size());
  Open[Job].Answered.resize(Traced.RunTimes.size());
  enqueueJob(State, JobNumber{Job}, Shape, instantAt(Now));
}

void Simulation::startTasks() {
  for (TaskStart &Start : nextStarts(State, instantAt(Now))) {
    auto Id = static_cast<uint32_t>(Messages.size());
    if (FreeMessages.empty()) {
      Messages.emplace_back();
    } else {
      Id = FreeMessages.back();
      FreeMessages.pop_back();
    }
    const auto Worker =
        static_cast<uint32_t>(std::stoul(Start.BackendId.substr(1)));
    Outcome.Hedges += Start.Hedge ? 1 : 0;
    Messages[Id] = {std::move(Start), Worker, Now};
    ++Outcome.Starts;
    ++Outcome.Messages;
    post(Now + Hop, EventKind::Reach, Id);
  }
  const auto Timer = nextTimer(State);
  if (!Timer || Timer->time_since_epoch() >= NextWake)
    return;
  NextWake = std::max(Timer->time_since_epoch(), Now);
  post(NextWake, EventKind::Wake, 0);
}

void Simulation::reach(uint32_t Id) {
  Sent &Message = Messages[Id];
  Worker &Server = Workers[Message.Worker];
  if (Server.Dead || Server.Running.size() + Server.Foreign >= SlotsPerWorker) {
    Message.Outcome = TaskOutcome::NotStarted;
    post(Now + Hop, EventKind::Answer, Id);
    return;
  }
  const auto Job = static_cast<uint32_t>(Message.Start.Job);
  if (Open[Job].Ran[Message.Start.TaskIndex] && !Jobs[Job].single())
    ++Outcome.RepeatedStarts;
  if (Outcome.Jobs[Job].End == JobEnd::Refused)
    ++Outcome.StartsOfRefused;
  Open[Job].Ran[Message.Start.TaskIndex] = true;
  Server.Running.push_back(Id);
  const Duration RunTime = Jobs[Job].RunTimes[Message.Start.TaskIndex];
  Message.Outcome =
      Server.FailsAll ? TaskOutcome::Failed : TaskOutcome::Succeeded;
  post(Now + (Server.FailsAll ? QuickFailure : RunTime * Server.Slowness),
       EventKind::End, Id);
}

void Simulation::endTask(uint32_t Id) {
  // The loss of the worker was reported already.
  if (Messages[Id].Lost)
    return;
  std::erase(Workers[Messages[Id].Worker].Running, Id);
  post(Now + Hop, EventKind::Answer, Id);
}

void Simulation::answer(uint32_t Id) {
  const Sent Message = Messages[Id];
  const auto Job = static_cast<uint32_t>(Message.Start.Job);
  const bool NotStarted = Message.Outcome == TaskOutcome::NotStarted;
  Outcome.Messages += Message.Lost ? 0 : 1;
  Outcome.Refusals += NotStarted ? 1 : 0;
  if (!Message.Lost && !NotStarted &&
      !Open[Job].Answered[Message.Start.TaskIndex]) {
    Open[Job].Answered[Message.Start.TaskIndex] = true;
    ++Outcome.AnsweredTasks;
  }
  // The number of a lost message is still named by the pending end of its
  // task and is not used again.
  if (!Message.Lost)
    FreeMessages.push_back(Id);
  const FinishDecision Decision =
      taskFinished(State, Message.Start, Message.Outcome, Now - Message.SentAt,
                   instantAt(Now));
  if (NotStarted && Workers[Message.Worker].Dead)
    removeBackend(State, Message.Start.BackendId);
  if (Decision != FinishDecision::Final)
    return;
  if (Message.Outcome != TaskOutcome::Succeeded) {
    cancelJob(State, Message.Start.Job);
    finish(Job, JobEnd::Failed);
  } else if (--Open[Job].Left == 0) {
    finish(Job, JobEnd::Complete);
  }
}

void Simulation::beginFaults() {
  uint32_t Worker = 0;
  for (uint32_t Count = 0; Count < Setup.Killed; ++Count, Worker += 3) {
    Workers[Worker].Dead = true;
    for (const uint32_t Id : Workers[Worker].Running) {
      Messages[Id].Lost = true;
      Messages[Id].Outcome = TaskOutcome::Lost;
      post(Now + Hop, EventKind::Answer, Id);
    }
    Workers[Worker].Running.clear();
  }
  for (uint32_t Count = 0; Count < Setup.FailAll; ++Count, Worker += 3)
    Workers[Worker].FailsAll = true;
  for (uint32_t Count = 0; Count < Setup.Stragglers; ++Count, Worker += 3)
    Workers[Worker].Slowness = StragglerSlowness;
}

void Simulation::takeOver() {
  for (uint32_t Worker = 0; Worker < WorkerCount; ++Worker) {
    Workers[Worker].Foreign = SlotsPerWorker;
    // The rest of their run times is spread over a second.
    for (uint32_t Slot = 1; Slot <= SlotsPerWorker; ++Slot)
      post(Duration{1'000'000} * Slot / SlotsPerWorker, EventKind::ForeignEnd,
           Worker);
  }
  if (Setup.AssumeBusySlots)
    assumeBusySlots(State, Instant{});
}

void Simulation::finish(uint32_t Job, JobEnd End) {
  if (Outcome.Jobs[Job].End != JobEnd::Open)
    return;
  const Duration Back = toDispatcher(Job);
  Outcome.Jobs[Job] = {End, Now + Back - Jobs[Job].Arrival};
}

} // namespace sapphiremoor::bench
