#include "simulation.h"

#include <string>

namespace sapphiremoor::bench {

namespace {

constexpr uint32_t EntryVmCount = 7;
constexpr Duration FailureRunTime{5'000};

BackendSpec makeBackendSpec(uint32_t Worker) {
  const std::string Number = std::to_string(Worker);
  return {"b" + Number,
          "w" + Number,
          "r" + std::to_string(Worker / WorkersPerRack),
          {"task"},
          SlotsPerWorker};
}

std::vector<TeamSpec> makeTeamSpecs(uint32_t Count) {
  std::vector<TeamSpec> Teams;
  for (uint32_t Team = 0; Team < Count; ++Team)
    Teams.push_back({"team" + std::to_string(Team), 1.0 / Count});
  return Teams;
}

/// Returns the delay between the caller of a job and the dispatcher. Every
/// seventh job arrives at the VM of the dispatcher; the others are forwarded.
Duration dispatcherDelay(uint32_t Job) {
  return Job % EntryVmCount == 0 ? OneWayDelay : 2 * OneWayDelay;
}

} // namespace

Simulation::Simulation(const Trace &Jobs, const SimulationSetup &Setup)
    : Jobs(Jobs), Setup(Setup), Workers(WorkerCount), OpenJobs(Jobs.size()) {
  State.Limits = Setup.Limits;
  setServices(State, {{"task", true, Setup.Weight, Duration{300'000}}});
  setTeams(State, makeTeamSpecs(Setup.TeamCount));
  for (uint32_t Worker = 0; Worker < WorkerCount; ++Worker)
    upsertBackend(State, makeBackendSpec(Worker), Instant{});
  Outcome.Jobs.resize(Jobs.size());
}

SimulationOutcome Simulation::run() {
  for (uint32_t Job = 0; Job < Jobs.size(); ++Job)
    schedule(Jobs[Job].Arrival + dispatcherDelay(Job), EventKind::JobArrival,
             Job);
  if (Setup.FaultStart != Duration::max())
    schedule(Setup.FaultStart, EventKind::FaultsBegin, 0);
  if (Setup.Takeover)
    takeOver();
  while (!Events.empty()) {
    const Event Next = Events.top();
    Events.pop();
    Now = Next.Time;
    handle(Next);
  }
  return std::move(Outcome);
}

void Simulation::schedule(Duration Time, EventKind Kind, uint32_t Index) {
  Events.push({Time, NextSequence++, Kind, Index});
}

void Simulation::handle(const Event &Next) {
  switch (Next.Kind) {
  case EventKind::JobArrival:
    handleJobArrival(Next.Index);
    break;
  case EventKind::StartArrival:
    handleStartMessage(Next.Index);
    return;
  case EventKind::TaskEnd:
    handleTaskEnd(Next.Index);
    return;
  case EventKind::Answer:
    handleAnswer(Next.Index);
    break;
  case EventKind::TimerDue:
    NextTimerEvent = Duration::max();
    break;
  case EventKind::FaultsBegin:
    beginFaults();
    return;
  case EventKind::PredecessorTaskEnd:
    --Workers[Next.Index].PredecessorTasks;
    return;
  }
  for (const auto &[Job, Task] : expireTasks(State, instantAt(Now)))
    finishJob(static_cast<uint32_t>(Job), JobStatus::Failed);
  startTasks();
}

void Simulation::handleJobArrival(uint32_t Job) {
  const TraceJob &ArrivedJob = Jobs[Job];
  JobSpec Spec{.Team = "team" + std::to_string(ArrivedJob.Team),
               .Service = "task",
               .TaskCount = static_cast<uint32_t>(ArrivedJob.RunTimes.size()),
               .SingleRequest = ArrivedJob.single()};
  if (ArrivedJob.Deadline != Duration::max())
    Spec.Deadline = instantAt(ArrivedJob.Arrival + ArrivedJob.Deadline);
  if (isError(admit(State, Spec, instantAt(Now)))) {
    finishJob(Job, JobStatus::Refused);
    return;
  }
  OpenJobs[Job].UnfinishedTasks = ArrivedJob.RunTimes.size();
  OpenJobs[Job].Started.resize(ArrivedJob.RunTimes.size());
  OpenJobs[Job].Answered.resize(ArrivedJob.RunTimes.size());
  enqueueJob(State, JobNumber{Job}, Spec, instantAt(Now));
}

void Simulation::startTasks() {
  for (TaskStart &Start : nextStarts(State, instantAt(Now))) {
    auto MessageId = static_cast<uint32_t>(Messages.size());
    if (FreeMessageIds.empty()) {
      Messages.emplace_back();
    } else {
      MessageId = FreeMessageIds.back();
      FreeMessageIds.pop_back();
    }
    const auto Worker =
        static_cast<uint32_t>(std::stoul(Start.BackendId.substr(1)));
    Outcome.Hedges += Start.Hedge ? 1 : 0;
    Messages[MessageId] = {std::move(Start), Worker, Now};
    ++Outcome.Starts;
    ++Outcome.Messages;
    schedule(Now + OneWayDelay, EventKind::StartArrival, MessageId);
  }
  const auto Timer = nextTimer(State);
  if (!Timer || Timer->time_since_epoch() >= NextTimerEvent)
    return;
  NextTimerEvent = std::max(Timer->time_since_epoch(), Now);
  schedule(NextTimerEvent, EventKind::TimerDue, 0);
}

void Simulation::handleStartMessage(uint32_t MessageId) {
  StartMessage &Message = Messages[MessageId];
  Worker &Server = Workers[Message.WorkerIndex];
  if (Server.Killed ||
      Server.RunningIds.size() + Server.PredecessorTasks >= SlotsPerWorker) {
    Message.Outcome = TaskOutcome::NotStarted;
    schedule(Now + OneWayDelay, EventKind::Answer, MessageId);
    return;
  }
  const auto Job = static_cast<uint32_t>(Message.Start.Job);
  if (OpenJobs[Job].Started[Message.Start.TaskIndex] && !Jobs[Job].single())
    ++Outcome.RepeatedStarts;
  if (Outcome.Jobs[Job].Status == JobStatus::Refused)
    ++Outcome.StartsOfRefusedJobs;
  OpenJobs[Job].Started[Message.Start.TaskIndex] = true;
  Server.RunningIds.push_back(MessageId);
  const Duration RunTime = Jobs[Job].RunTimes[Message.Start.TaskIndex];
  Message.Outcome =
      Server.FailsTasks ? TaskOutcome::Failed : TaskOutcome::Succeeded;
  schedule(Now +
               (Server.FailsTasks ? FailureRunTime : RunTime * Server.Slowdown),
           EventKind::TaskEnd, MessageId);
}

void Simulation::handleTaskEnd(uint32_t MessageId) {
  // The task was already reported as lost together with its worker.
  if (Messages[MessageId].Lost)
    return;
  std::erase(Workers[Messages[MessageId].WorkerIndex].RunningIds, MessageId);
  schedule(Now + OneWayDelay, EventKind::Answer, MessageId);
}

void Simulation::handleAnswer(uint32_t MessageId) {
  const StartMessage Message = Messages[MessageId];
  const auto Job = static_cast<uint32_t>(Message.Start.Job);
  const bool NotStarted = Message.Outcome == TaskOutcome::NotStarted;
  Outcome.Messages += Message.Lost ? 0 : 1;
  Outcome.RefusedStarts += NotStarted ? 1 : 0;
  if (!Message.Lost && !NotStarted &&
      !OpenJobs[Job].Answered[Message.Start.TaskIndex]) {
    OpenJobs[Job].Answered[Message.Start.TaskIndex] = true;
    ++Outcome.AnsweredTasks;
  }
  // The pending TaskEnd event of a lost message still refers to its id, so the
  // id is not used again.
  if (!Message.Lost)
    FreeMessageIds.push_back(MessageId);
  const FinishDecision Decision =
      taskFinished(State, Message.Start, Message.Outcome,
                   Now - Message.SendTime, instantAt(Now));
  if (NotStarted && Workers[Message.WorkerIndex].Killed)
    removeBackend(State, Message.Start.BackendId);
  if (Decision != FinishDecision::Final)
    return;
  if (Message.Outcome != TaskOutcome::Succeeded) {
    cancelJob(State, Message.Start.Job);
    finishJob(Job, JobStatus::Failed);
  } else if (--OpenJobs[Job].UnfinishedTasks == 0) {
    finishJob(Job, JobStatus::Complete);
  }
}

void Simulation::beginFaults() {
  uint32_t Worker = 0;
  for (uint32_t Count = 0; Count < Setup.KilledWorkers; ++Count, Worker += 3) {
    Workers[Worker].Killed = true;
    for (const uint32_t MessageId : Workers[Worker].RunningIds) {
      Messages[MessageId].Lost = true;
      Messages[MessageId].Outcome = TaskOutcome::Lost;
      schedule(Now + OneWayDelay, EventKind::Answer, MessageId);
    }
    Workers[Worker].RunningIds.clear();
  }
  for (uint32_t Count = 0; Count < Setup.FailingWorkers; ++Count, Worker += 3)
    Workers[Worker].FailsTasks = true;
  for (uint32_t Count = 0; Count < Setup.Stragglers; ++Count, Worker += 3)
    Workers[Worker].Slowdown = StragglerSlowdown;
}

void Simulation::takeOver() {
  for (uint32_t Worker = 0; Worker < WorkerCount; ++Worker) {
    Workers[Worker].PredecessorTasks = SlotsPerWorker;
    // The tasks of the predecessor end at equal intervals within one second.
    for (uint32_t Slot = 1; Slot <= SlotsPerWorker; ++Slot)
      schedule(Duration{1'000'000} * Slot / SlotsPerWorker,
               EventKind::PredecessorTaskEnd, Worker);
  }
  if (Setup.AssumeBusySlots)
    assumeBusySlots(State, Instant{});
}

void Simulation::finishJob(uint32_t Job, JobStatus Status) {
  if (Outcome.Jobs[Job].Status != JobStatus::Open)
    return;
  const Duration ReturnDelay = dispatcherDelay(Job);
  Outcome.Jobs[Job] = {Status, Now + ReturnDelay - Jobs[Job].Arrival};
}

} // namespace sapphiremoor::bench
