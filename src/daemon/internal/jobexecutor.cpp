#include "daemon/jobexecutor.h"

#include "framework/eventlog/eventlog.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sapphiremoor {

namespace {

constexpr int HttpOk = 200;

ServiceSpec specOf(const std::string &Name, const ServiceSettings &Service) {
  return {Name, Service.Idempotent,
          Service.Preference == Weight::Messages ? ServiceWeight::Messages
                                                 : ServiceWeight::ResponseTime,
          Service.DeclaredRunTime};
}

TaskOutcome outcomeOf(const HttpCallResult &Result) {
  switch (Result.Status) {
  case HttpCallStatus::NotWritten:
    return TaskOutcome::NotStarted;
  case HttpCallStatus::Unknown:
    return TaskOutcome::Lost;
  case HttpCallStatus::Answered:
    break;
  }
  if (Result.NotStarted)
    return TaskOutcome::NotStarted;
  const bool Succeeded =
      Result.Code == HttpOk && nlohmann::json::accept(Result.Body);
  return Succeeded ? TaskOutcome::Succeeded : TaskOutcome::Failed;
}

} // namespace

JobExecutor::JobExecutor(EventLoop &Loop, const Settings &Of,
                         const BackendTable &Backends, Registry &Metrics,
                         BackendCallbacks Calls)
    : Loop(Loop), Of(Of), Backends(Backends), Calls(std::move(Calls)),
      Client(Loop, {Of.Limits.ConnectTimeout, Of.Limits.IdleConnection}),
      Wakeup(Loop, [this] { pump(); }),
      TaskStarts(Metrics.counter("sapphiremoor_task_starts_total",
                                 "Tasks sent to backend servers.")),
      TaskRetries(Metrics.counter("sapphiremoor_task_requeues_total",
                                  "Tasks queued again after a start.")),
      TaskTimes(Metrics.histogram("sapphiremoor_task_seconds",
                                  "Time from a task's start to its end.")) {
  State.Limits.QueuedTasks = Of.Limits.QueueTasks;
  State.Limits.TasksPerJob = Of.Limits.MaxTasks;
}

void JobExecutor::configure(const ServiceConfig &Config) {
  std::vector<ServiceSpec> Services;
  ServiceNames.clear();
  for (const auto &[Name, Service] : Config.Services) {
    Services.push_back(specOf(Name, Service));
    ServiceNames.push_back(Name);
  }
  std::vector<TeamSpec> Teams;
  Teams.reserve(Config.Teams.size());
  for (const auto &[Name, Team] : Config.Teams)
    Teams.push_back({Name, Team.Share});
  setServices(State, Services);
  setTeams(State, Teams);
  schedulePump();
}

void JobExecutor::backendChanged(const std::string &Id) {
  const Backend *Server = find(Backends, Id);
  if (Server == nullptr || !takesWork(Backends, Id)) {
    removeBackend(State, Id);
    return;
  }
  const Announcement &Told = Server->Last;
  upsertBackend(State, {Id, Told.Worker, Told.Rack, Told.Services, Told.Slots},
                Loop.now());
  schedulePump();
}

void JobExecutor::tookOver() { assumeBusySlots(State, Loop.now()); }

JobShape JobExecutor::shapeOf(const JobRequest &Job) const {
  return {Job.Team, Job.Service, static_cast<uint32_t>(Job.Tasks.size()),
          Loop.now() + Duration(Job.DeadlineMicros), Job.Single};
}

Result<Done> JobExecutor::admitJob(const JobRequest &Job) const {
  return admit(State, shapeOf(Job), Loop.now());
}

JobNumber JobExecutor::start(const std::string &Label, const JobRequest &Job,
                             AnswerHandler Handler) {
  const auto Number = static_cast<JobNumber>(++LastJob);
  const JobShape Shape = shapeOf(Job);
  RunningJob Run{
      Label, Job, Shape.Deadline, {}, Job.Tasks.size(), 0, std::move(Handler)};
  Run.Results.resize(Job.Tasks.size());
  Jobs.emplace(Number, std::move(Run));
  Deadlines.emplace(Shape.Deadline, Number);
  enqueueJob(State, Number, Shape, Loop.now());
  schedulePump();
  return Number;
}

void JobExecutor::cancel(JobNumber Job) {
  fail(Job, "cancelled", "the caller cancelled the job");
}

std::optional<Duration> JobExecutor::wait(const std::string &Service) const {
  const Duration Expected = expectedWait(State, Service);
  return Expected == Duration::max() ? std::nullopt : std::optional(Expected);
}

std::vector<ServiceLoad> JobExecutor::loads() const {
  std::vector<ServiceLoad> Loads;
  for (const std::string &Name : ServiceNames)
    if (const auto Expected = wait(Name))
      Loads.push_back({Name, Expected->count()});
  return Loads;
}

void JobExecutor::schedulePump() {
  // One pass serves all events of a loop iteration, and keeps handlers from
  // being called inside the calls that cause them.
  if (PumpScheduled)
    return;
  PumpScheduled = true;
  Wakeup.start(Duration::zero());
}

void JobExecutor::pump() {
  PumpScheduled = false;
  expireJobs();
  for (const TaskStart &Start : nextStarts(State, Loop.now()))
    launch(Start);
  armTimer();
}

void JobExecutor::expireJobs() {
  const Instant Now = Loop.now();
  // The jobs of expired tasks have the same deadline, so the loop below ends
  // them.
  expireTasks(State, Now);
  while (!Deadlines.empty() && Deadlines.begin()->first <= Now)
    fail(Deadlines.begin()->second, "deadline",
         "allow more time with deadline_ms or try again later");
}

void JobExecutor::armTimer() {
  if (PumpScheduled)
    return;
  std::optional<Instant> Next = nextTimer(State);
  if (!Deadlines.empty())
    Next = std::min(Next.value_or(Instant::max()), Deadlines.begin()->first);
  if (Next)
    Wakeup.start(std::max(*Next - Loop.now(), Duration(1)));
  else
    Wakeup.cancel();
}

void JobExecutor::launch(const TaskStart &Start) {
  const auto Found = Jobs.find(Start.Job);
  const Backend *Server = find(Backends, Start.BackendId);
  if (Found == Jobs.end() || Server == nullptr) {
    taskFinished(State, Start, TaskOutcome::Cancelled, Duration::zero(),
                 Loop.now());
    return;
  }
  RunningJob &Run = Found->second;
  ++Run.PossibleStarts;
  TaskStarts.add();
  HttpCallRequest Request;
  Request.Path = "/run/" + Run.Job.Service;
  Request.Headers = {
      {"X-Task", Run.Label + "/" + std::to_string(Start.TaskIndex)}};
  Request.Body = Run.Job.Tasks[Start.TaskIndex];
  Request.Timeout =
      std::clamp(Run.Deadline - Loop.now(), Duration(1), Of.Limits.TaskTimeout);
  const Instant StartedAt = Loop.now();
  Client.send({Server->Last.Address, Server->Last.Port}, Request,
              [this, Start, StartedAt](const HttpCallResult &Result) {
                finished(Start, StartedAt, Result);
              });
}

void JobExecutor::finished(const TaskStart &Start, Instant StartedAt,
                           const HttpCallResult &Result) {
  const TaskOutcome Outcome = outcomeOf(Result);
  if (Result.Status == HttpCallStatus::Answered)
    Calls.Contacted(Start.BackendId);
  if (Result.Status == HttpCallStatus::NotWritten)
    Calls.Unreachable(Start.BackendId);
  const Duration RunTime = Loop.now() - StartedAt;
  TaskTimes.record(RunTime);
  const auto Found = Jobs.find(Start.Job);
  if (Found != Jobs.end() && Outcome == TaskOutcome::NotStarted)
    --Found->second.PossibleStarts;
  const FinishDecision Next =
      taskFinished(State, Start, Outcome, RunTime, Loop.now());
  if (Outcome == TaskOutcome::Failed || Outcome == TaskOutcome::Lost)
    noteEjection(Start.BackendId);
  if (Next == FinishDecision::Requeued)
    TaskRetries.add();
  if (Next == FinishDecision::Final)
    taskEnded(Start, Outcome, Result.Body);
  schedulePump();
}

void JobExecutor::noteEjection(const std::string &Id) {
  const bool Is = !ejectedServices(State, Id).empty();
  if (Is && Ejected.insert(Id).second)
    logEvent(events::BackendEjected, {{"backend", Id}});
  if (!Is)
    Ejected.erase(Id);
}

void JobExecutor::taskEnded(const TaskStart &Start, TaskOutcome Outcome,
                            const std::string &Body) {
  const auto Found = Jobs.find(Start.Job);
  if (Found == Jobs.end())
    return;
  RunningJob &Run = Found->second;
  switch (Outcome) {
  case TaskOutcome::Succeeded:
    Run.Results[Start.TaskIndex] = Body;
    if (--Run.Remaining == 0)
      complete(Start.Job, {Outcome::Complete, Retry::None, "", "",
                           std::move(Run.Results)});
    break;
  case TaskOutcome::Failed:
    fail(Start.Job, "task_failed", "see the log of the backend servers");
    break;
  case TaskOutcome::NotStarted:
    fail(Start.Job, "no_backend_server_started_it",
         "try again later or add backend servers");
    break;
  case TaskOutcome::Lost:
  case TaskOutcome::Cancelled:
    fail(Start.Job, "task_lost",
         "a backend server did not answer; check "
         "whether the task took effect");
    break;
  }
}

void JobExecutor::fail(JobNumber Number, const std::string &Reason,
                       const std::string &Remedy) {
  const auto Found = Jobs.find(Number);
  if (Found == Jobs.end())
    return;
  cancelJob(State, Number);
  const bool NotRun = Found->second.PossibleStarts == 0;
  complete(Number, {NotRun ? Outcome::NotRun : Outcome::Failed,
                    NotRun ? Retry::NewKey : Retry::None,
                    Reason,
                    Remedy,
                    {}});
}

void JobExecutor::complete(JobNumber Number, const Answer &Result) {
  const auto Found = Jobs.find(Number);
  Deadlines.erase({Found->second.Deadline, Number});
  const AnswerHandler Handler = std::move(Found->second.Handler);
  Jobs.erase(Found);
  Handler(Result);
}

} // namespace sapphiremoor
