#include "cluster/entrynode.h"

#include "cluster/jobtext.h"
#include "discovery/ownership.h"
#include "framework/eventlog/eventlog.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace sapphiremoor {

namespace {

constexpr Duration TickPeriod = std::chrono::milliseconds(50);

/// A dispatcher whose link broke may come back within this time and is then
/// handed the job again. After it the outcome is unknown: the dispatcher stops
/// the job's tasks when it misses this VM.
constexpr Duration LinkGrace = std::chrono::milliseconds(500);

/// Advice to callers while no dispatcher can be reached.
constexpr int64_t NoDispatcherRetryMs = 1000;

/// Standing still for longer, a VM may have been given up by others.
constexpr Duration StallLimit = std::chrono::milliseconds(400);

/// Time in which requests are read that came in while this VM stood still.
constexpr Duration StaleRequests = std::chrono::milliseconds(100);

constexpr Duration QueryLimit = std::chrono::milliseconds(700);
constexpr Duration ConfigurationRetry = std::chrono::milliseconds(300);

std::size_t taskCount(const JobSubmission &Of) {
  std::size_t Count = 0;
  for (const StepRequest &Step : Of.Steps)
    Count += Step.Count;
  return Count;
}

int64_t longestEstimate(const JobSubmission &Of) {
  int64_t LongestMs = 0;
  for (const StepRequest &Step : Of.Steps)
    LongestMs = std::max(LongestMs, Step.EstimateMs);
  return LongestMs;
}

int64_t millisecondsOf(Duration Of) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Of).count();
}

} // namespace

EntryNode::EntryNode(EventLoop &Loop, const ClusterSettings &Of,
                     TableReader Reader)
    : Loop(Loop), Of(Of), ReadTable(std::move(Reader)),
      Bus(Loop, Of, {Of.Name, secureRandom64()},
          {[this](const VmId &From, const ClusterMessage &Message) {
             received(From, Message);
           },
           [this](const VmId &Peer) { peerUp(Peer); },
           [this](const VmId &Peer) { peerDown(Peer); },
           [this] { return Watch.check(); },
           [this](ClusterHeartbeat &Told) {
             Told.Configuration = Configuration;
           }}),
      Watch(Loop, StallLimit, [this] { stalled(); }),
      TickTimer(Loop, [this] { tick(); }),
      Submitted(Metrics.counter("sapphiremoor_entry_jobs_total",
                                "Jobs that callers submitted.")),
      Latency(Metrics.histogram("sapphiremoor_entry_job_seconds",
                                "Time from a job's arrival to its answer.")) {}

Result<Done> EntryNode::start() {
  Result<Done> Started = Bus.start();
  if (isError(Started))
    return Started;
  TickTimer.startPeriodic(TickPeriod);
  return Done{};
}

bool EntryNode::ready() const {
  return Table.has_value() && !Draining &&
         std::ranges::any_of(Linked, [this](const auto &Each) {
           return Bus.members().reachable(Each.first, Loop.now());
         });
}

void EntryNode::submit(const JobSubmission &Request, JobHandler Handler) {
  Submitted.add();
  Watch.check();
  const Instant Now = Loop.now();
  const uint64_t Number = NextNumber++;
  OpenJob Added;
  Added.Request = Request;
  Added.Handler = std::move(Handler);
  Added.Arrived = Now;
  Added.Deadline = Now + std::chrono::milliseconds(Request.DeadlineMs);
  OpenJob &Job = Open.emplace(Number, std::move(Added)).first->second;
  const auto To = chooseDispatcher(Request.Id);
  if (Refusing || Now < RefuseUntil || !To || !handOver(Number, Job, *To))
    finish(Number, {{Of.Name, Number},
                    Request.Id,
                    JobResult::NotRun,
                    JobReason::Overloaded,
                    NoDispatcherRetryMs,
                    {}});
}

std::optional<std::string>
EntryNode::chooseDispatcher(const std::string &Job) const {
  const Instant Now = Loop.now();
  std::optional<std::string> Best;
  std::tuple<bool, int64_t, uint64_t> BestRank;
  for (const MemberInfo &Each : Bus.members().members(MemberRole::Control)) {
    const std::string &Name = Each.Id.Name;
    if (Each.Draining || !Bus.members().reachable(Name, Now))
      continue;
    const bool Near = Each.DataCentre == Of.DataCentre;
    const auto Load = Loads.find(Name);
    // Within the own data centre a job and its repetitions go to one VM.
    const int64_t Wait = Near || Load == Loads.end() ? 0 : -Load->second.WaitMs;
    const std::tuple Rank(Near, Wait, rendezvousWeight(Job, Name));
    if (Best && Rank <= BestRank)
      continue;
    Best = Name;
    BestRank = Rank;
  }
  return Best;
}

bool EntryNode::handOver(uint64_t Number, OpenJob &Job, const std::string &To,
                         bool Resumed) {
  const auto Link = Linked.find(To);
  if (Link == Linked.end())
    return false;
  SubmitJob Message{Number, Job.Redirects, Resumed, Job.Request};
  Message.Job.DeadlineMs = millisecondsOf(Job.Deadline - Loop.now());
  if (Message.Job.DeadlineMs <= 0 || !Bus.send(To, Message))
    return false;
  Job.Target = {To, Link->second};
  Job.LostAt.reset();
  return true;
}

void EntryNode::received(const VmId &From, const ClusterMessage &Message) {
  if (const auto *Answer = std::get_if<JobAnswer>(&Message))
    answered(From, *Answer);
  else if (const auto *Beat = std::get_if<ClusterHeartbeat>(&Message))
    configurationTold(From, *Beat);
  else if (const auto *Register = std::get_if<RegisterMessage>(&Message)) {
    if (const auto *Chosen = std::get_if<ChosenValue>(Register))
      adopt(*Chosen);
  } else if (const auto *Status = std::get_if<JobQueryAnswer>(&Message))
    queryAnswered(From, *Status);
  else if (const auto *Count = std::get_if<PendingAnswer>(&Message))
    queryAnswered(From, *Count);
}

void EntryNode::answered(const VmId &From, const JobAnswer &Answer) {
  const auto Found = Open.find(Answer.Recipient.Request);
  if (Found == Open.end() || Found->second.Target != From)
    return;
  OpenJob &Job = Found->second;
  if (Answer.Reason != JobReason::Redirected) {
    finish(Found->first, Answer);
    return;
  }
  ++Job.Redirects;
  if (handOver(Found->first, Job, Answer.Target) ||
      handOver(Found->first, Job, From.Name))
    return;
  JobAnswer Unplaced = Answer;
  Unplaced.Reason = JobReason::Overloaded;
  Unplaced.RetryAfterMs = NoDispatcherRetryMs;
  finish(Found->first, Unplaced);
}

void EntryNode::finish(uint64_t Number, const JobAnswer &Answer) {
  const auto Found = Open.find(Number);
  const OpenJob Job = std::move(Found->second);
  Open.erase(Found);
  Latency.record(Loop.now() - Job.Arrived);
  logAnswer(Job, Answer);
  Job.Handler(Answer);
}

void EntryNode::logAnswer(const OpenJob &Job, const JobAnswer &Answer) const {
  logEvent(events::JobAnswered,
           {{"job", Job.Request.Id},
            {"result", std::string(resultName(Answer.Result))},
            {"reason", std::string(reasonName(Answer.Reason))},
            {"dispatcher", Job.Target.Name},
            {"priority", std::to_string(Job.Request.Policy.Priority)},
            {"tasks", std::to_string(taskCount(Job.Request))},
            {"estimate_ms", std::to_string(longestEstimate(Job.Request))},
            {"deadline_ms", std::to_string(Job.Request.DeadlineMs)},
            {"ms", std::to_string(millisecondsOf(Loop.now() - Job.Arrived))}});
}

void EntryNode::peerUp(const VmId &Peer) {
  Linked[Peer.Name] = Peer.Incarnation;
  for (auto &[Number, Job] : Open)
    if (Job.Target == Peer && Job.LostAt)
      handOver(Number, Job, Peer.Name, true);
}

void EntryNode::peerDown(const VmId &Peer) {
  Linked.erase(Peer.Name);
  Loads.erase(Peer.Name);
  const Instant Now = Loop.now();
  for (auto &[Number, Job] : Open)
    if (Job.Target == Peer && !Job.LostAt)
      Job.LostAt = Now;
}

void EntryNode::configurationTold(const VmId &From,
                                  const ClusterHeartbeat &Message) {
  if (Message.Self.Role != MemberRole::Control)
    return;
  Loads[From.Name] = Message.Load;
  const Instant Now = Loop.now();
  if (Message.Configuration <= Configuration ||
      Now - ConfigurationAsked < ConfigurationRetry)
    return;
  ConfigurationAsked = Now;
  Bus.send(From.Name, RegisterMessage(ChosenRequest{}));
}

void EntryNode::adopt(const ChosenValue &Value) {
  if (Value.ChosenBallot <= Configuration)
    return;
  Configuration = Value.ChosenBallot;
  const VersionedDocument &Document = Value.Value.Document;
  if (Document.Version == 0 || (Table && Document.Version <= Table->version()))
    return;
  Result<RoutingTable> Read = ReadTable(Document);
  if (isError(Read)) {
    logEvent(events::ChangeRefused,
             {{"version", std::to_string(Document.Version)},
              {"error", describe(errorOf(Read))}});
    return;
  }
  Table = takeValue(std::move(Read));
  logEvent(events::ChangeInForce,
           {{"version", std::to_string(Document.Version)}});
}

uint64_t
EntryNode::ask(OpenQuery Query,
               const std::function<ClusterMessage(uint64_t)> &Message) {
  const uint64_t Number = NextNumber++;
  const Instant Now = Loop.now();
  Query.Deadline = Now + QueryLimit;
  for (const MemberInfo &Each : Bus.members().members(MemberRole::Control)) {
    if (Bus.send(Each.Id.Name, Message(Number)))
      Query.Asked.insert(Each.Id.Name);
    else
      Query.Incomplete = true;
  }
  if (Query.Asked.empty())
    Query.Incomplete = true;
  const bool Unasked = Query.Asked.empty();
  Queries.emplace(Number, std::move(Query));
  if (Unasked)
    finishQuery(Number);
  return Number;
}

void EntryNode::query(const std::string &Job, StatusHandler Handler) {
  OpenQuery Query;
  Query.OnStatus = std::move(Handler);
  ask(std::move(Query), [&](uint64_t Number) {
    return ClusterMessage(JobQuery{Number, Job, false});
  });
}

void EntryNode::cancel(const std::string &Job, CancelHandler Handler) {
  OpenQuery Query;
  Query.OnCancel = std::move(Handler);
  ask(std::move(Query), [&](uint64_t Number) {
    return ClusterMessage(JobQuery{Number, Job, true});
  });
}

void EntryNode::pending(const std::string &Queue, CountHandler Handler) {
  OpenQuery Query;
  Query.OnCount = std::move(Handler);
  ask(std::move(Query), [&](uint64_t Number) {
    return ClusterMessage(PendingQuery{Number, Queue});
  });
}

EntryNode::OpenQuery *EntryNode::answeredQuery(const VmId &From,
                                               uint64_t Number) {
  const auto Found = Queries.find(Number);
  if (Found == Queries.end() || Found->second.Asked.erase(From.Name) == 0)
    return nullptr;
  return &Found->second;
}

void EntryNode::queryAnswered(const VmId &From, const JobQueryAnswer &Answer) {
  OpenQuery *Query = answeredQuery(From, Answer.Request);
  if (Query == nullptr)
    return;
  // A copy that is behind tells an earlier state; later states have greater
  // values.
  Query->Best = std::max(Query->Best, Answer.Status);
  Query->Ended |= Answer.Ended;
  if (Query->Asked.empty() || Query->Ended)
    finishQuery(Answer.Request);
}

void EntryNode::queryAnswered(const VmId &From, const PendingAnswer &Answer) {
  OpenQuery *Query = answeredQuery(From, Answer.Request);
  if (Query == nullptr)
    return;
  Query->Sum += Answer.Jobs;
  if (Query->Asked.empty())
    finishQuery(Answer.Request);
}

void EntryNode::finishQuery(uint64_t Number) {
  const auto Found = Queries.find(Number);
  const OpenQuery Query = std::move(Found->second);
  Queries.erase(Found);
  const bool Sure = !Query.Incomplete && Query.Asked.empty();
  const bool Known = Query.Best != JobStatus::Unknown;
  if (Query.OnStatus)
    Query.OnStatus(Sure || Known ? std::optional(Query.Best) : std::nullopt);
  if (Query.OnCancel)
    Query.OnCancel(Query.Ended      ? CancelResult::Ended
                   : Sure && !Known ? CancelResult::UnknownJob
                                    : CancelResult::Unreachable);
  if (Query.OnCount)
    Query.OnCount(Sure ? std::optional(Query.Sum) : std::nullopt);
}

void EntryNode::stalled() {
  logEvent(events::StoodStill, {{"open_jobs", std::to_string(Open.size())}});
  RefuseUntil = Loop.now() + StaleRequests;
  Bus.dropLinks();
  // Callers may have sent their jobs elsewhere meanwhile.
  while (!Open.empty()) {
    const auto &[Number, Job] = *Open.begin();
    finish(Number, {{Of.Name, Number},
                    Job.Request.Id,
                    JobResult::GivenUp,
                    JobReason::Cancelled,
                    0,
                    {}});
  }
}

void EntryNode::tick() {
  const Instant Now = Loop.now();
  struct Ending {
    uint64_t Number;
    JobReason Reason;
  };
  std::vector<Ending> Endings;
  for (const auto &[Number, Job] : Open) {
    if (Job.LostAt && Now - *Job.LostAt > LinkGrace)
      Endings.push_back({Number, JobReason::Cancelled});
    else if (Now >= Job.Deadline)
      Endings.push_back({Number, JobReason::DeadlinePassed});
  }
  for (const Ending &Each : Endings) {
    const OpenJob &Job = Open.at(Each.Number);
    const std::string Id = Job.Request.Id;
    // A stored job goes on; its caller asks for it later.
    if (!Job.Request.Stored)
      Bus.send(Job.Target.Name, JobQuery{0, Id, true});
    finish(
        Each.Number,
        {{Of.Name, Each.Number}, Id, JobResult::GivenUp, Each.Reason, 0, {}});
  }
  std::vector<uint64_t> Late;
  for (const auto &[Number, Query] : Queries)
    if (Now >= Query.Deadline)
      Late.push_back(Number);
  for (const uint64_t Number : Late)
    finishQuery(Number);
  const bool Ready = ready();
  if (std::exchange(WasReady, Ready) != Ready)
    logEvent(events::ReadinessChanged,
             {{"ready", Ready ? "yes" : "no"},
              {"dispatchers", std::to_string(Linked.size())}});
}

} // namespace sapphiremoor
