#include "cluster/dispatchservice.h"

#include "cluster/jobtext.h"
#include "cluster/lifenumber.h"
#include "dispatch/fencingtoken.h"
#include "framework/eventlog/eventlog.h"

namespace sapphiremoor {

namespace {

constexpr Duration TickPeriod = std::chrono::milliseconds(50);

DispatchLimits makeLimits(const ClusterSettings &Settings) {
  DispatchLimits Limits;
  Limits.LeaseDuration =
      std::min(Limits.LeaseDuration, Settings.LongestLease * 6 / 10);
  Limits.PollWait = Limits.LeaseDuration / 3;
  return Limits;
}

/// Adds what a decision assumed about a backend server.
void addAssumption(Fields &Values, const BackendAssumption &Assumed) {
  Values.emplace_back("token", std::to_string(Assumed.FencingToken));
  Values.emplace_back("born", std::to_string(Assumed.StartTimeMs));
  Values.emplace_back("capacity_millicores",
                      std::to_string(Assumed.Capacity.MilliCores));
  Values.emplace_back("used_millicores",
                      std::to_string(Assumed.Used.MilliCores));
}

} // namespace

DispatchService::DispatchService(EventLoop &Loop,
                                 const ClusterSettings &Settings,
                                 ClusterBus &Bus, BackendOrders Orders,
                                 Registry &Metrics, Callbacks Handlers)
    : Loop(Loop), Bus(Bus), Orders(std::move(Orders)),
      Handlers(std::move(Handlers)),
      JobDispatcher(makeLimits(Settings),
                    {ownerTag(Settings.AdvertisedPeer),
                     takeLifeNumber(Settings.DataFolder)}),
      TickTimer(Loop, [this] { tick(); }),
      SubmittedJobs(Metrics.counter("sapphiremoor_dispatch_jobs_total",
                                    "Jobs that entry VMs handed over.")),
      SentStarts(Metrics.counter("sapphiremoor_dispatch_starts_total",
                                 "Start orders sent to backend servers.")),
      RefusedJobs(Metrics.counter("sapphiremoor_dispatch_refused_total",
                                  "Jobs of which nothing ran.")),
      RedirectedJobs(Metrics.counter("sapphiremoor_dispatch_redirected_total",
                                     "Jobs sent to another dispatcher.")),
      AcceptedJobs(Metrics.counter("sapphiremoor_dispatch_accepted_total",
                                   "Jobs that were stored and accepted.")),
      CompletedJobs(Metrics.counter("sapphiremoor_dispatch_done_total",
                                    "Jobs that completed.")),
      FailedJobs(Metrics.counter("sapphiremoor_dispatch_failed_total",
                                 "Jobs that failed.")),
      GivenUpJobs(Metrics.counter("sapphiremoor_dispatch_given_up_total",
                                  "Jobs given up after a start.")),
      StartLatency(Metrics.histogram("sapphiremoor_dispatch_start_seconds",
                                     "Time from a start order to its "
                                     "answer.")) {}

void DispatchService::start() { TickTimer.startPeriodic(TickPeriod); }

void DispatchService::submit(const VmId &Sender, const SubmitJob &Message) {
  SubmittedJobs.add();
  const JobSource Source{Sender, Message.Request};
  if (Message.Job.Stored &&
      Handlers.StoredJobs.AnswerKnown(Message.Job, Source))
    return;
  if (Draining && !Message.Resumed &&
      JobDispatcher.status(Message.Job.Id) == JobStatus::Unknown) {
    perform(JobAnswer{Source,
                      Message.Job.Id,
                      JobResult::NotRun,
                      JobReason::Overloaded,
                      0,
                      {}});
    return;
  }
  if (Message.Resumed)
    JobDispatcher.resume(Message.Job.Id, Source);
  else
    JobDispatcher.submit(Message.Job, Source, Message.Redirects, Loop.now());
  run();
}

void DispatchService::withdraw(const VmId &Sender, const WithdrawJob &Message) {
  JobDispatcher.withdraw(Message.Job, {Sender, Message.Request}, Loop.now());
  run();
}

void DispatchService::query(const VmId &Sender, const JobQuery &Message) {
  if (!JobDispatcher.isInMemoryJob(Message.Job)) {
    Handlers.StoredJobs.Query(Sender, Message);
    return;
  }
  const JobStatus PreviousStatus = JobDispatcher.status(Message.Job);
  if (Message.Cancel)
    JobDispatcher.cancel(Message.Job, Loop.now());
  Bus.send(Sender,
           JobQueryAnswer{Message.Request, PreviousStatus, Message.Cancel});
  run();
}

void DispatchService::queryPending(const VmId &Sender,
                                   const PendingJobsQuery &Message) {
  Bus.send(Sender, PendingJobsAnswer{Message.Request,
                                     JobDispatcher.pendingJobs(Message.Queue)});
}

void DispatchService::handlePeerUp(const VmId &Peer) {
  LostSources.erase(Peer);
  // A lost process does not come back once its VM has another one.
  std::erase_if(LostSources, [&](const auto &Lost) {
    if (Lost.first.Name != Peer.Name)
      return false;
    dropSource(Lost.first);
    return true;
  });
  run();
}

void DispatchService::handlePeerDown(const VmId &Peer) {
  LostSources[Peer] = Loop.now();
  JobDispatcher.updatePeerLoad(Peer.Name, std::nullopt);
}

void DispatchService::handleStall() {
  JobDispatcher.distrustBackends(Loop.now());
  JobDispatcher.dropAllSources(Loop.now());
  run();
}

void DispatchService::updatePeerLoad(const ClusterHeartbeat &Message) {
  if (Message.Self.Role != MemberRole::Control)
    return;
  if (Message.Self.Draining)
    JobDispatcher.updatePeerLoad(Message.Self.Id.Name, std::nullopt);
  else
    JobDispatcher.updatePeerLoad(Message.Self.Id.Name, Message.Load);
}

void DispatchService::dropSource(const VmId &Process) {
  JobDispatcher.dropSource(Process, Loop.now());
  Handlers.StoredJobs.DropSource(Process);
}

void DispatchService::tick() {
  Handlers.CheckStall();
  const Instant Now = Loop.now();
  std::erase_if(LostSources, [&](const auto &Lost) {
    if (Now - Lost.second < Limits.SourceGracePeriod)
      return false;
    dropSource(Lost.first);
    return true;
  });
  JobDispatcher.tick(Now);
  run();
}

void DispatchService::run() {
  // An order that cannot be sent is answered synchronously, which calls run()
  // again. The outer call performs the effects of that answer.
  if (Running)
    return;
  Running = true;
  for (auto Effects = JobDispatcher.takeEffects(); !Effects.empty();
       Effects = JobDispatcher.takeEffects())
    for (const DispatchEffect &Effect : Effects)
      std::visit([this](const auto &Action) { perform(Action); }, Effect);
  Running = false;
}

void DispatchService::perform(const StartOrder &Order) {
  SentStarts.add();
  const Instant SentAt = Loop.now();
  Orders.Start(Order, [this, Order, SentAt](const StartAnswer &Answer) {
    Handlers.CheckStall();
    StartLatency.record(Loop.now() - SentAt);
    JobDispatcher.handleStartAnswer(Order, Answer, Loop.now());
    run();
  });
}

void DispatchService::perform(const StopOrder &Order) {
  Orders.Stop(Order, [this, Order](StopAnswerKind Answer) {
    Handlers.CheckStall();
    JobDispatcher.handleStopAnswer(Order, Answer, Loop.now());
    run();
  });
}

void DispatchService::perform(const PollOrder &Order) {
  const Instant SentAt = Loop.now();
  Orders.Poll(Order, [this, Order, SentAt](const PollAnswer &Answer) {
    Handlers.CheckStall();
    if (const auto *Runs = std::get_if<RunList>(&Answer))
      JobDispatcher.handleRunList(Order, *Runs, SentAt, Loop.now());
    else
      JobDispatcher.handlePollFailure(Order, std::get<PollFailure>(Answer),
                                      Loop.now());
    run();
  });
}

void DispatchService::perform(const JobAnswer &Answer) {
  if (Answer.Reason == JobReason::Redirected)
    RedirectedJobs.add();
  else if (Answer.Result == JobResult::Accepted)
    AcceptedJobs.add();
  else if (Answer.Result == JobResult::Done)
    CompletedJobs.add();
  else if (Answer.Result == JobResult::Failed)
    FailedJobs.add();
  else if (Answer.Result == JobResult::GivenUp)
    GivenUpJobs.add();
  else
    RefusedJobs.add();
  if (Answer.Result != JobResult::Done && Answer.Result != JobResult::Accepted)
    logEvent(events::JobDispatched,
             {{"job", Answer.JobId},
              {"result", std::string(resultName(Answer.Result))},
              {"reason", std::string(reasonName(Answer.Reason))},
              {"retry_after_ms", std::to_string(Answer.RetryAfterMs)},
              {"target", Answer.Target},
              {"entry", Answer.Recipient.Process.Name},
              {"request", std::to_string(Answer.Recipient.Request)}});
  Bus.send(Answer.Recipient.Process, toMessage(Answer));
}

void DispatchService::perform(const OwnershipChanged &Change) {
  Fields Values{{"backend", Change.BackendId},
                {"owned", Change.Owned ? "yes" : "no"},
                {"why", Change.Reason}};
  addAssumption(Values, Change.Assumed);
  logEvent(events::OwnershipChanged, Values);
  Handlers.OnOwnershipChange(Change);
}

void DispatchService::perform(const AdmissionRefused &Decision) {
  logEvent(events::AdmissionRefused,
           {{"job", Decision.JobId},
            {"tasks", std::to_string(Decision.Tasks)},
            {"wait_ms", std::to_string(Decision.WaitMs)},
            {"free_places", std::to_string(Decision.FreeSlots)},
            {"jobs_ahead", std::to_string(Decision.JobsAhead)},
            {"peer_places", std::to_string(Decision.PeerFreeSlots)},
            {"owned", std::to_string(Decision.OwnedBackends)},
            {"usable", std::to_string(Decision.UsableBackends)}});
}

void DispatchService::perform(const EndsReportedAgain &Ends) {
  const TaskId &Task = Ends.First.Task;
  logEvent(events::EndsReportedAgain,
           {{"backend", Ends.BackendId},
            {"ends", std::to_string(Ends.Count)},
            {"first", std::to_string(Ends.First.EndNumber)},
            {"job", Task.Job},
            {"step", std::to_string(Task.Step)},
            {"task", std::to_string(Task.Index)},
            {"run", std::to_string(Ends.First.RunNumber)}});
}

void DispatchService::perform(const RunDecision &Decision) {
  const auto Age =
      std::chrono::duration_cast<std::chrono::milliseconds>(Decision.Age);
  Fields Values{{"backend", Decision.BackendId},
                {"job", Decision.Task.Job},
                {"step", std::to_string(Decision.Task.Step)},
                {"task", std::to_string(Decision.Task.Index)},
                {"run", std::to_string(Decision.RunNumber)},
                {"what", Decision.Decision},
                {"age_ms", std::to_string(Age.count())},
                {"percent", std::to_string(Decision.Percent)}};
  addAssumption(Values, Decision.Assumed);
  logEvent(events::RunDecided, Values);
}

} // namespace sapphiremoor
