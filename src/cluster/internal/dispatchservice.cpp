#include "cluster/dispatchservice.h"

#include "cluster/jobtext.h"
#include "framework/eventlog/eventlog.h"

#include <arpa/inet.h>

namespace sapphiremoor {

namespace {

constexpr Duration TickPeriod = std::chrono::milliseconds(50);

/// The low half of an address differs between the VMs of a deployment.
uint16_t ownerTag(const Endpoint &Peer) {
  in_addr Address{};
  inet_pton(AF_INET, Peer.Address.c_str(), &Address);
  return static_cast<uint16_t>(ntohl(Address.s_addr) & 0xffff);
}

DispatchLimits limitsFor(const ClusterSettings &Of) {
  DispatchLimits Limits;
  Limits.LeaseDuration =
      std::min(Limits.LeaseDuration, Of.LongestLease * 6 / 10);
  Limits.PollWait = Limits.LeaseDuration / 3;
  return Limits;
}

} // namespace

DispatchService::DispatchService(EventLoop &Loop, const ClusterSettings &Of,
                                 ClusterBus &Bus, BackendOrders Handlers,
                                 Registry &Metrics, Callbacks Calls)
    : Loop(Loop), Bus(Bus), Orders(std::move(Handlers)),
      Calls(std::move(Calls)), Decisions(limitsFor(Of), ownerTag(Of.Peer)),
      TickTimer(Loop, [this] { tick(); }),
      Submitted(Metrics.counter("sapphiremoor_dispatch_jobs_total",
                                "Jobs that entry VMs handed over.")),
      Started(Metrics.counter("sapphiremoor_dispatch_starts_total",
                              "Start orders sent to backend servers.")),
      Refused(Metrics.counter("sapphiremoor_dispatch_refused_total",
                              "Jobs of which nothing ran.")),
      Redirected(Metrics.counter("sapphiremoor_dispatch_redirected_total",
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

void DispatchService::submit(const VmId &From, const SubmitJob &Message) {
  Submitted.add();
  const JobSource Source{From.Name, Message.Request};
  if (Message.Job.Stored && Calls.Stored.Known(Message.Job, Source))
    return;
  if (Draining && !Message.Resumed &&
      Decisions.status(Message.Job.Id) == JobStatus::Unknown) {
    perform(JobAnswer{Source,
                      Message.Job.Id,
                      JobResult::NotRun,
                      JobReason::Overloaded,
                      0,
                      {}});
    return;
  }
  if (Message.Resumed)
    Decisions.resume(Message.Job.Id, Source);
  else
    Decisions.submit(Message.Job, Source, Message.Redirects, Loop.now());
  run();
}

void DispatchService::query(const VmId &From, const JobQuery &Message) {
  if (!Decisions.isInMemoryJob(Message.Job)) {
    Calls.Stored.Query(From, Message);
    return;
  }
  const JobStatus Before = Decisions.status(Message.Job);
  if (Message.Cancel)
    Decisions.cancel(Message.Job, Loop.now());
  Bus.send(From.Name, JobQueryAnswer{Message.Request, Before, Message.Cancel});
  run();
}

void DispatchService::pending(const VmId &From, const PendingQuery &Message) {
  Bus.send(From.Name, PendingAnswer{Message.Request,
                                    Decisions.pendingJobs(Message.Queue)});
}

void DispatchService::peerUp(const VmId &Peer) {
  const auto Known = Incarnations.find(Peer.Name);
  if (Known != Incarnations.end() && Known->second != Peer.Incarnation)
    Decisions.dropSource(Peer.Name, Loop.now());
  Incarnations[Peer.Name] = Peer.Incarnation;
  Lost.erase(Peer.Name);
  run();
}

void DispatchService::peerDown(const VmId &Peer) {
  Lost[Peer.Name] = {Peer.Incarnation, Loop.now()};
  Decisions.updatePeerLoad(Peer.Name, std::nullopt);
}

void DispatchService::abandonAll() {
  for (const auto &[Vm, Incarnation] : Incarnations)
    Decisions.dropSource(Vm, Loop.now());
  run();
}

void DispatchService::peerLoad(const ClusterHeartbeat &Message) {
  if (Message.Self.Role != MemberRole::Control)
    return;
  if (Message.Self.Draining)
    Decisions.updatePeerLoad(Message.Self.Id.Name, std::nullopt);
  else
    Decisions.updatePeerLoad(Message.Self.Id.Name, Message.Load);
}

void DispatchService::tick() {
  Calls.CheckStall();
  const Instant Now = Loop.now();
  std::erase_if(Lost, [&](const auto &Each) {
    if (Now - Each.second.Since < Limits.SourceGracePeriod)
      return false;
    Decisions.dropSource(Each.first, Now);
    return true;
  });
  Decisions.tick(Now);
  run();
}

void DispatchService::run() {
  // An order that cannot be sent is answered at once, which leads to further
  // decisions.
  if (Running)
    return;
  Running = true;
  for (auto Effects = Decisions.takeEffects(); !Effects.empty();
       Effects = Decisions.takeEffects())
    for (const DispatchEffect &Each : Effects)
      std::visit([this](const auto &Effect) { perform(Effect); }, Each);
  Running = false;
}

void DispatchService::perform(const StartOrder &Order) {
  Started.add();
  const Instant Sent = Loop.now();
  Orders.Start(Order, [this, Order, Sent](const StartAnswer &Answer) {
    Calls.CheckStall();
    StartLatency.record(Loop.now() - Sent);
    Decisions.handleStartAnswer(Order, Answer, Loop.now());
    run();
  });
}

void DispatchService::perform(const StopOrder &Order) {
  Orders.Stop(Order, [this, Order](StopAnswerKind Answer) {
    Calls.CheckStall();
    Decisions.handleStopAnswer(Order, Answer, Loop.now());
    run();
  });
}

void DispatchService::perform(const PollOrder &Order) {
  const Instant Sent = Loop.now();
  Orders.Hold(Order, [this, Order, Sent](const HoldAnswer &Answer) {
    Calls.CheckStall();
    if (const auto *List = std::get_if<RunList>(&Answer))
      Decisions.handleRunList(Order, *List, Sent, Loop.now());
    else
      Decisions.handlePollFailure(Order, std::get<PollFailure>(Answer),
                                  Loop.now());
    run();
  });
}

void DispatchService::perform(const JobAnswer &Answer) {
  if (Answer.Reason == JobReason::Redirected)
    Redirected.add();
  else if (Answer.Result == JobResult::Accepted)
    AcceptedJobs.add();
  else if (Answer.Result == JobResult::Done)
    CompletedJobs.add();
  else if (Answer.Result == JobResult::Failed)
    FailedJobs.add();
  else if (Answer.Result == JobResult::GivenUp)
    GivenUpJobs.add();
  else
    Refused.add();
  if (Answer.Result != JobResult::Done && Answer.Result != JobResult::Accepted)
    logEvent(events::JobDispatched,
             {{"job", Answer.JobId},
              {"result", std::string(resultName(Answer.Result))},
              {"reason", std::string(reasonName(Answer.Reason))},
              {"retry_after_ms", std::to_string(Answer.RetryAfterMs)},
              {"target", Answer.Target},
              {"entry", Answer.Recipient.Vm}});
  Bus.send(Answer.Recipient.Vm, Answer);
}

void DispatchService::perform(const OwnershipChanged &Change) {
  logEvent(events::OwnershipChanged, {{"backend", Change.BackendId},
                                      {"owned", Change.Owned ? "yes" : "no"},
                                      {"why", Change.Reason}});
  Calls.Ownership(Change);
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

void DispatchService::perform(const RunDecision &Decision) {
  logEvent(
      events::RunDecided,
      {{"backend", Decision.BackendId},
       {"job", Decision.Task.Job},
       {"step", std::to_string(Decision.Task.Step)},
       {"task", std::to_string(Decision.Task.Index)},
       {"run", std::to_string(Decision.RunNumber)},
       {"what", Decision.Decision},
       {"age_ms",
        std::to_string(
            std::chrono::duration_cast<std::chrono::milliseconds>(Decision.Age)
                .count())},
       {"percent", std::to_string(Decision.Percent)}});
}

} // namespace sapphiremoor
