#include "daemon/jobexecutor.h"

#include "framework/eventlog/eventlog.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sapphiremoor {

namespace {

constexpr int HttpOk = 200;

ServiceSpec makeServiceSpec(const std::string &Name,
                            const ServiceSettings &Service) {
  return {Name, Service.Idempotent,
          Service.Preference == Weight::Messages ? ServiceWeight::Messages
                                                 : ServiceWeight::ResponseTime,
          Service.DeclaredRunTime};
}

TaskOutcome classifyResult(const HttpCallResult &Result) {
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
      Result.StatusCode == HttpOk && nlohmann::json::accept(Result.Body);
  return Succeeded ? TaskOutcome::Succeeded : TaskOutcome::Failed;
}

} // namespace

JobExecutor::JobExecutor(EventLoop &Loop, const Settings &VmSettings,
                         const BackendTable &Backends, Registry &Metrics,
                         BackendCallbacks Callbacks)
    : Loop(Loop), VmSettings(VmSettings), Backends(Backends),
      Callbacks(std::move(Callbacks)),
      Client(Loop, {VmSettings.Limits.ConnectTimeout,
                    VmSettings.Limits.IdleConnectionTimeout}),
      WakeupTimer(Loop, [this] { runPass(); }),
      TaskStarts(Metrics.counter("sapphiremoor_task_starts_total",
                                 "Tasks sent to backend servers.")),
      TaskRetries(Metrics.counter("sapphiremoor_task_requeues_total",
                                  "Tasks queued again after a start.")),
      TaskTimes(Metrics.histogram("sapphiremoor_task_seconds",
                                  "Time from a task's start to its end.")) {
  State.Limits.MaxQueuedTasks = VmSettings.Limits.QueueTasks;
  State.Limits.MaxTasksPerJob = VmSettings.Limits.MaxTasks;
}

void JobExecutor::configure(const ServiceConfig &Config) {
  std::vector<ServiceSpec> Services;
  ServiceNames.clear();
  for (const auto &[Name, Service] : Config.Services) {
    Services.push_back(makeServiceSpec(Name, Service));
    ServiceNames.push_back(Name);
  }
  std::vector<TeamSpec> Teams;
  Teams.reserve(Config.Teams.size());
  for (const auto &[Name, Team] : Config.Teams)
    Teams.push_back({Name, Team.Share});
  setServices(State, Services);
  setTeams(State, Teams);
  schedulePass();
}

void JobExecutor::updateBackend(const std::string &Id) {
  const Backend *Server = find(Backends, Id);
  if (Server == nullptr || !acceptsTasks(Backends, Id)) {
    removeBackend(State, Id);
    return;
  }
  const Announcement &Latest = Server->LastAnnouncement;
  upsertBackend(State,
                {Id, Latest.Worker, Latest.Rack, Latest.Services, Latest.Slots},
                Loop.now());
  schedulePass();
}

void JobExecutor::handleTakeover() { assumeBusySlots(State, Loop.now()); }

JobSpec JobExecutor::makeShape(const JobRequest &Job) const {
  return {Job.Team, Job.Service, static_cast<uint32_t>(Job.Tasks.size()),
          Loop.now() + Duration(Job.DeadlineMicros), Job.Single};
}

Result<Done> JobExecutor::admitJob(const JobRequest &Job) const {
  return admit(State, makeShape(Job), Loop.now());
}

JobNumber JobExecutor::start(const std::string &Label, const JobRequest &Job,
                             AnswerHandler Handler) {
  const auto Number = static_cast<JobNumber>(++LastJob);
  const JobSpec Shape = makeShape(Job);
  RunningJob Run{
      Label, Job, Shape.Deadline, {}, Job.Tasks.size(), 0, std::move(Handler)};
  Run.Results.resize(Job.Tasks.size());
  Jobs.emplace(Number, std::move(Run));
  Deadlines.emplace(Shape.Deadline, Number);
  enqueueJob(State, Number, Shape, Loop.now());
  schedulePass();
  return Number;
}

void JobExecutor::cancel(JobNumber Job) {
  failJob(Job, "cancelled", "the caller cancelled the job");
}

std::optional<Duration>
JobExecutor::estimateWait(const std::string &Service) const {
  const Duration Expected = expectedWait(State, Service);
  return Expected == Duration::max() ? std::nullopt : std::optional(Expected);
}

std::vector<ServiceLoad> JobExecutor::serviceLoads() const {
  std::vector<ServiceLoad> Loads;
  for (const std::string &Name : ServiceNames)
    if (const auto Expected = estimateWait(Name))
      Loads.push_back({Name, Expected->count()});
  return Loads;
}

void JobExecutor::schedulePass() {
  // One pass handles all events of a loop iteration. It also keeps handlers
  // from being called inside the calls that cause them.
  if (PassScheduled)
    return;
  PassScheduled = true;
  WakeupTimer.start(Duration::zero());
}

void JobExecutor::runPass() {
  PassScheduled = false;
  expireJobs();
  for (const TaskStart &Start : nextStarts(State, Loop.now()))
    launchTask(Start);
  armTimer();
}

void JobExecutor::expireJobs() {
  const Instant Now = Loop.now();
  // Expired tasks have the same deadline as their job, so the loop below ends
  // the job.
  expireTasks(State, Now);
  while (!Deadlines.empty() && Deadlines.begin()->first <= Now)
    failJob(Deadlines.begin()->second, "deadline",
            "allow more time with deadline_ms or try again later");
}

void JobExecutor::armTimer() {
  if (PassScheduled)
    return;
  std::optional<Instant> NextWakeup = nextTimer(State);
  if (!Deadlines.empty())
    NextWakeup =
        std::min(NextWakeup.value_or(Instant::max()), Deadlines.begin()->first);
  if (NextWakeup)
    WakeupTimer.start(std::max(*NextWakeup - Loop.now(), Duration(1)));
  else
    WakeupTimer.cancel();
}

void JobExecutor::launchTask(const TaskStart &Start) {
  const auto JobIt = Jobs.find(Start.Job);
  const Backend *Server = find(Backends, Start.BackendId);
  if (JobIt == Jobs.end() || Server == nullptr) {
    taskFinished(State, Start, TaskOutcome::Cancelled, Duration::zero(),
                 Loop.now());
    return;
  }
  RunningJob &Run = JobIt->second;
  ++Run.PossibleStarts;
  TaskStarts.add();
  HttpCallRequest Request;
  Request.Path = "/run/" + Run.Job.Service;
  Request.Headers = {
      {"X-Task", Run.Label + "/" + std::to_string(Start.TaskIndex)}};
  Request.Body = Run.Job.Tasks[Start.TaskIndex];
  Request.Timeout = std::clamp(Run.Deadline - Loop.now(), Duration(1),
                               VmSettings.Limits.TaskTimeout);
  const Instant StartedAt = Loop.now();
  Client.send({Server->LastAnnouncement.Address, Server->LastAnnouncement.Port},
              Request, [this, Start, StartedAt](const HttpCallResult &Result) {
                handleTaskResult(Start, StartedAt, Result);
              });
}

void JobExecutor::handleTaskResult(const TaskStart &Start, Instant StartedAt,
                                   const HttpCallResult &Result) {
  const TaskOutcome Outcome = classifyResult(Result);
  if (Result.Status == HttpCallStatus::Answered)
    Callbacks.OnContact(Start.BackendId);
  if (Result.Status == HttpCallStatus::NotWritten)
    Callbacks.OnConnectFailure(Start.BackendId);
  const Duration RunTime = Loop.now() - StartedAt;
  TaskTimes.record(RunTime);
  const auto JobIt = Jobs.find(Start.Job);
  if (JobIt != Jobs.end() && Outcome == TaskOutcome::NotStarted)
    --JobIt->second.PossibleStarts;
  const FinishDecision Decision =
      taskFinished(State, Start, Outcome, RunTime, Loop.now());
  if (Outcome == TaskOutcome::Failed || Outcome == TaskOutcome::Lost)
    logEjection(Start.BackendId);
  if (Decision == FinishDecision::Requeued)
    TaskRetries.add();
  if (Decision == FinishDecision::Final)
    recordTaskOutcome(Start, Outcome, Result.Body);
  schedulePass();
}

void JobExecutor::logEjection(const std::string &Id) {
  const bool IsEjected = !ejectedServices(State, Id).empty();
  if (IsEjected && EjectedBackends.insert(Id).second)
    logEvent(events::BackendEjected, {{"backend", Id}});
  if (!IsEjected)
    EjectedBackends.erase(Id);
}

void JobExecutor::recordTaskOutcome(const TaskStart &Start, TaskOutcome Outcome,
                                    const std::string &Body) {
  const auto JobIt = Jobs.find(Start.Job);
  if (JobIt == Jobs.end())
    return;
  RunningJob &Run = JobIt->second;
  switch (Outcome) {
  case TaskOutcome::Succeeded:
    Run.Results[Start.TaskIndex] = Body;
    if (--Run.Remaining == 0)
      completeJob(Start.Job, {Outcome::Complete, Retry::None, "", "",
                              std::move(Run.Results)});
    break;
  case TaskOutcome::Failed:
    failJob(Start.Job, "task_failed", "see the log of the backend servers");
    break;
  case TaskOutcome::NotStarted:
    failJob(Start.Job, "no_backend_server_started_it",
            "try again later or add backend servers");
    break;
  case TaskOutcome::Lost:
  case TaskOutcome::Cancelled:
    failJob(Start.Job, "task_lost",
            "a backend server did not answer; check "
            "whether the task took effect");
    break;
  }
}

void JobExecutor::failJob(JobNumber Number, const std::string &Reason,
                          const std::string &Remedy) {
  const auto JobIt = Jobs.find(Number);
  if (JobIt == Jobs.end())
    return;
  cancelJob(State, Number);
  const bool NotRun = JobIt->second.PossibleStarts == 0;
  completeJob(Number, {NotRun ? Outcome::NotRun : Outcome::Failed,
                       NotRun ? Retry::NewKey : Retry::None,
                       Reason,
                       Remedy,
                       {}});
}

void JobExecutor::completeJob(JobNumber Number, const Answer &Result) {
  const auto JobIt = Jobs.find(Number);
  Deadlines.erase({JobIt->second.Deadline, Number});
  const AnswerHandler Handler = std::move(JobIt->second.Handler);
  Jobs.erase(JobIt);
  Handler(Result);
}

} // namespace sapphiremoor
