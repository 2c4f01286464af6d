#include "cluster/entrynode.h"

#include "cluster/jobtext.h"
#include "discovery/ownership.h"
#include "framework/eventlog/eventlog.h"
#include "versionregister/voterset.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace sapphiremoor {

namespace {

constexpr Duration TickPeriod = std::chrono::milliseconds(50);

/// A dispatcher whose link broke may reconnect within this time and is then
/// sent the job again. Afterwards the outcome of the job is unknown: the
/// dispatcher stops the job's tasks once this VM has been unreachable for some
/// time.
constexpr Duration LinkGrace = std::chrono::milliseconds(500);

/// Retry delay that callers are given while no dispatcher is reachable.
constexpr int64_t NoDispatcherRetryMs = 1000;

/// After a longer pause of this process, other VMs may treat this VM as lost.
constexpr Duration StallLimit = std::chrono::milliseconds(400);

/// Time after a pause within which the requests that arrived during the pause
/// are read; requests are refused meanwhile.
constexpr Duration StaleRequestPeriod = std::chrono::milliseconds(100);

/// Time after the deadline of a job within which its dispatcher ends the job by
/// itself. It measures the deadline from the job's arrival there.
constexpr Duration WithdrawalRetention = std::chrono::seconds(1);

constexpr Duration ConfigurationRetryDelay = std::chrono::milliseconds(300);

std::size_t taskCount(const JobSubmission &Job) {
  std::size_t Count = 0;
  for (const StepRequest &Step : Job.Steps)
    Count += Step.Count;
  return Count;
}

int64_t longestEstimateMs(const JobSubmission &Job) {
  int64_t LongestMs = 0;
  for (const StepRequest &Step : Job.Steps)
    LongestMs = std::max(LongestMs, Step.EstimateMs);
  return LongestMs;
}

int64_t toMilliseconds(Duration Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Time).count();
}

} // namespace

EntryNode::EntryNode(EventLoop &Loop, const ClusterSettings &Settings,
                     RoutingTableReader ReadTable)
    : Loop(Loop), Settings(Settings), ReadTable(std::move(ReadTable)),
      Bus(Loop, Settings, {Settings.Name, secureRandom64()},
          {[this](const VmId &Sender, const ClusterMessage &Message) {
             handleMessage(Sender, Message);
           },
           [this](const VmId &Peer) { handlePeerUp(Peer); },
           [this](const VmId &Peer) { handlePeerDown(Peer); },
           [this] { return Watch.check(); },
           [this](ClusterHeartbeat &Heartbeat) {
             Heartbeat.ConfigurationBallot = ConfigurationBallot;
           }}),
      Watch(Loop, StallLimit, [this] { handleStall(); }),
      TickTimer(Loop, [this] { tick(); }),
      SubmittedJobs(Metrics.counter("sapphiremoor_entry_jobs_total",
                                    "Jobs that callers submitted.")),
      JobLatency(
          Metrics.histogram("sapphiremoor_entry_job_seconds",
                            "Time from a job's arrival to its answer.")) {}

Result<Done> EntryNode::start() {
  Result<Done> BusResult = Bus.start();
  if (isError(BusResult))
    return BusResult;
  TickTimer.startPeriodic(TickPeriod);
  return Done{};
}

bool EntryNode::isReady() const {
  const std::vector<MemberInfo> Dispatchers =
      Bus.members().members(MemberRole::Control);
  return Table.has_value() && !Draining &&
         std::ranges::any_of(Dispatchers, [this](const MemberInfo &Member) {
           return Bus.members().isReachable(Member.Id.Name, Loop.now());
         });
}

std::size_t EntryNode::linkedDispatchers() const {
  const std::vector<MemberInfo> Dispatchers =
      Bus.members().members(MemberRole::Control);
  return static_cast<std::size_t>(
      std::ranges::count_if(Dispatchers, [this](const MemberInfo &Member) {
        return Bus.isLinked(Member.Id);
      }));
}

uint64_t EntryNode::submit(const JobSubmission &Submission,
                           JobHandler Handler) {
  SubmittedJobs.add();
  Watch.check();
  const Instant Now = Loop.now();
  const uint64_t Number = NextNumber++;
  OpenJob NewJob;
  NewJob.Submission = Submission;
  NewJob.Handler = std::move(Handler);
  NewJob.ArrivedAt = Now;
  NewJob.Deadline = Now + std::chrono::milliseconds(Submission.DeadlineMs);
  OpenJob &Job = OpenJobs.emplace(Number, std::move(NewJob)).first->second;
  const auto Dispatcher = chooseDispatcher(Submission.Id);
  if (RefusingNew || Now < RefuseUntil || !Dispatcher ||
      !handOver(Number, Job, *Dispatcher))
    finishJob(Number, {{Bus.self(), Number},
                       Submission.Id,
                       JobResult::NotRun,
                       JobReason::Overloaded,
                       NoDispatcherRetryMs,
                       {}});
  return Number;
}

void EntryNode::abandon(uint64_t Request) {
  const auto It = OpenJobs.find(Request);
  if (It == OpenJobs.end() || It->second.Submission.Stored)
    return;
  giveUp(Request, JobReason::CallerGone);
  sendWithdrawals();
}

std::optional<VmId> EntryNode::chooseDispatcher(const std::string &Job) const {
  const Instant Now = Loop.now();
  std::optional<VmId> Best;
  std::tuple<bool, int64_t, uint64_t> BestRank;
  for (const MemberInfo &Member : Bus.members().members(MemberRole::Control)) {
    const std::string &Name = Member.Id.Name;
    if (Member.Draining || !Bus.members().isReachable(Name, Now))
      continue;
    const bool SameDataCentre = Member.DataCentre == Settings.DataCentre;
    const auto LoadIt = DispatcherLoads.find(Member.Id);
    // Within this VM's data centre the wait is ignored, so that a job and its
    // repetitions go to the same dispatcher.
    const int64_t WaitRank = SameDataCentre || LoadIt == DispatcherLoads.end()
                                 ? 0
                                 : -LoadIt->second.WaitMs;
    const std::tuple Rank(SameDataCentre, WaitRank,
                          rendezvousWeight(Job, Name));
    if (Best && Rank <= BestRank)
      continue;
    Best = Member.Id;
    BestRank = Rank;
  }
  return Best;
}

bool EntryNode::redirect(uint64_t Number, OpenJob &Job,
                         const std::string &DispatcherName) {
  const std::optional<VmId> Dispatcher = Bus.linkedProcess(DispatcherName);
  return Dispatcher && handOver(Number, Job, *Dispatcher);
}

bool EntryNode::handOver(uint64_t Number, OpenJob &Job, const VmId &Dispatcher,
                         bool Resumed) {
  SubmitJob Message{Number, Job.Redirects, Resumed, Job.Submission};
  Message.Job.DeadlineMs = toMilliseconds(Job.Deadline - Loop.now());
  if (Message.Job.DeadlineMs <= 0 || !Bus.send(Dispatcher, Message))
    return false;
  Job.Target = Dispatcher;
  Job.LinkLostAt.reset();
  return true;
}

void EntryNode::handleMessage(const VmId &Sender,
                              const ClusterMessage &Message) {
  if (const auto *Answer = std::get_if<JobAnswered>(&Message))
    handleAnswer(Sender, toAnswer(*Answer, Bus.self()));
  else if (const auto *Heartbeat = std::get_if<ClusterHeartbeat>(&Message))
    handleHeartbeat(Sender, *Heartbeat);
  else if (const auto *Register = std::get_if<RegisterMessage>(&Message)) {
    if (const auto *Chosen = std::get_if<ChosenValue>(Register))
      adoptConfiguration(*Chosen);
  } else if (const auto *Status = std::get_if<JobQueryAnswer>(&Message))
    handleQueryAnswer(Sender, *Status);
  else if (const auto *Count = std::get_if<PendingJobsAnswer>(&Message))
    handleQueryAnswer(Sender, *Count);
}

void EntryNode::handleAnswer(const VmId &Sender, const JobAnswer &Answer) {
  const auto It = OpenJobs.find(Answer.Recipient.Request);
  if (It == OpenJobs.end() || It->second.Target != Sender)
    return;
  OpenJob &Job = It->second;
  if (Answer.Reason != JobReason::Redirected) {
    finishJob(It->first, Answer);
    return;
  }
  ++Job.Redirects;
  if (redirect(It->first, Job, Answer.Target) ||
      handOver(It->first, Job, Sender))
    return;
  JobAnswer Unplaced = Answer;
  Unplaced.Reason = JobReason::Overloaded;
  Unplaced.RetryAfterMs = NoDispatcherRetryMs;
  finishJob(It->first, Unplaced);
}

void EntryNode::finishJob(uint64_t Number, const JobAnswer &Answer) {
  const auto It = OpenJobs.find(Number);
  const OpenJob Job = std::move(It->second);
  OpenJobs.erase(It);
  JobLatency.record(Loop.now() - Job.ArrivedAt);
  logAnswer(Job, Answer);
  Job.Handler(Answer);
}

void EntryNode::giveUp(uint64_t Number, JobReason Reason) {
  const OpenJob &Job = OpenJobs.at(Number);
  const std::string Id = Job.Submission.Id;
  if (!Job.Submission.Stored)
    Withdrawals.push_back(
        {Job.Target,
         {Number, Id},
         std::max(Job.Deadline, Loop.now()) + WithdrawalRetention});
  finishJob(Number,
            {{Bus.self(), Number}, Id, JobResult::GivenUp, Reason, 0, {}});
}

void EntryNode::sendWithdrawals() {
  const Instant Now = Loop.now();
  std::erase_if(Withdrawals, [&](const PendingWithdrawal &Pending) {
    if (Now >= Pending.Expiry)
      return true;
    const auto Linked = Bus.linkedProcess(Pending.Target.Name);
    if (!Linked)
      return false;
    // Another process of the dispatcher's VM does not know the job.
    return *Linked != Pending.Target ||
           Bus.send(Pending.Target, Pending.Message);
  });
}

void EntryNode::logAnswer(const OpenJob &Job, const JobAnswer &Answer) const {
  logEvent(
      events::JobAnswered,
      {{"job", Job.Submission.Id},
       {"request", std::to_string(Answer.Recipient.Request)},
       {"result", std::string(resultName(Answer.Result))},
       {"reason", std::string(reasonName(Answer.Reason))},
       {"dispatcher", Job.Target.Name},
       {"priority", std::to_string(Job.Submission.Policy.Priority)},
       {"tasks", std::to_string(taskCount(Job.Submission))},
       {"estimate_ms", std::to_string(longestEstimateMs(Job.Submission))},
       {"deadline_ms", std::to_string(Job.Submission.DeadlineMs)},
       {"ms", std::to_string(toMilliseconds(Loop.now() - Job.ArrivedAt))}});
}

void EntryNode::handlePeerUp(const VmId &Peer) {
  sendWithdrawals();
  for (auto &[Number, Job] : OpenJobs)
    if (Job.Target == Peer && Job.LinkLostAt)
      handOver(Number, Job, Peer, true);
}

void EntryNode::handlePeerDown(const VmId &Peer) {
  DispatcherLoads.erase(Peer);
  const Instant Now = Loop.now();
  for (auto &[Number, Job] : OpenJobs)
    if (Job.Target == Peer && !Job.LinkLostAt)
      Job.LinkLostAt = Now;
}

void EntryNode::handleHeartbeat(const VmId &Sender,
                                const ClusterHeartbeat &Message) {
  if (Message.Self.Role != MemberRole::Control)
    return;
  DispatcherLoads[Sender] = Message.Load;
  const Instant Now = Loop.now();
  if (Message.ConfigurationBallot <= ConfigurationBallot ||
      Now - ConfigurationRequestedAt < ConfigurationRetryDelay)
    return;
  ConfigurationRequestedAt = Now;
  Bus.send(Sender, RegisterMessage(ChosenRequest{}));
}

void EntryNode::adoptConfiguration(const ChosenValue &Value) {
  if (Value.ChosenBallot <= ConfigurationBallot)
    return;
  ConfigurationBallot = Value.ChosenBallot;
  Voters = Value.Value.Voters;
  const VersionedDocument &Document = Value.Value.Document;
  if (Document.Version == 0 || (Table && Document.Version <= Table->version()))
    return;
  Result<RoutingTable> Parsed = ReadTable(Document);
  if (isError(Parsed)) {
    logEvent(events::ChangeRefused,
             {{"version", std::to_string(Document.Version)},
              {"error", describe(errorOf(Parsed))}});
    return;
  }
  Table = takeValue(std::move(Parsed));
  logEvent(events::ChangeInForce,
           {{"version", std::to_string(Document.Version)}});
}

uint64_t EntryNode::sendQuery(
    OpenQuery Query,
    const std::function<ClusterMessage(uint64_t)> &MakeMessage) {
  const uint64_t Number = NextNumber++;
  const Instant Now = Loop.now();
  Query.Deadline = Now + QueryTimeout;
  for (const MemberInfo &Member : Bus.members().members(MemberRole::Control)) {
    if (Bus.send(Member.Id, MakeMessage(Number)))
      Query.AwaitedProcesses.insert(Member.Id);
    else
      Query.Incomplete = true;
  }
  if (Query.AwaitedProcesses.empty())
    Query.Incomplete = true;
  const bool NoneAsked = Query.AwaitedProcesses.empty();
  OpenQueries.emplace(Number, std::move(Query));
  if (NoneAsked)
    finishQuery(Number);
  return Number;
}

void EntryNode::query(const std::string &Job, StatusHandler Handler) {
  OpenQuery Query;
  Query.OnStatus = std::move(Handler);
  sendQuery(std::move(Query), [&](uint64_t Number) {
    return ClusterMessage(JobQuery{Number, Job, false});
  });
}

void EntryNode::cancel(const std::string &Job, CancelHandler Handler) {
  OpenQuery Query;
  Query.OnCancel = std::move(Handler);
  sendQuery(std::move(Query), [&](uint64_t Number) {
    return ClusterMessage(JobQuery{Number, Job, true});
  });
}

void EntryNode::countPending(const std::string &Queue, CountHandler Handler) {
  OpenQuery Query;
  Query.OnCount = std::move(Handler);
  sendQuery(std::move(Query), [&](uint64_t Number) {
    return ClusterMessage(PendingJobsQuery{Number, Queue});
  });
}

EntryNode::OpenQuery *EntryNode::recordQueryAnswer(const VmId &Sender,
                                                   uint64_t Number) {
  const auto It = OpenQueries.find(Number);
  if (It == OpenQueries.end() || It->second.AwaitedProcesses.erase(Sender) == 0)
    return nullptr;
  if (const MemberInfo *Member = Bus.members().find(Sender))
    It->second.AnsweredVms.insert(describe(Member->PeerEndpoint));
  return &It->second;
}

void EntryNode::handleQueryAnswer(const VmId &Sender,
                                  const JobQueryAnswer &Answer) {
  OpenQuery *Query = recordQueryAnswer(Sender, Answer.Request);
  if (Query == nullptr)
    return;
  // An outdated copy reports an earlier state. Later states have greater
  // values.
  Query->BestStatus = std::max(Query->BestStatus, Answer.Status);
  Query->JobEnded |= Answer.Ended;
  if (Query->AwaitedProcesses.empty() || Query->JobEnded)
    finishQuery(Answer.Request);
}

void EntryNode::handleQueryAnswer(const VmId &Sender,
                                  const PendingJobsAnswer &Answer) {
  OpenQuery *Query = recordQueryAnswer(Sender, Answer.Request);
  if (Query == nullptr)
    return;
  Query->PendingJobs += Answer.JobCount;
  if (Query->AwaitedProcesses.empty())
    finishQuery(Answer.Request);
}

bool EntryNode::isComplete(const OpenQuery &Query) const {
  return !Query.Incomplete && Query.AwaitedProcesses.empty() &&
         isMajority(Voters, Query.AnsweredVms);
}

void EntryNode::finishQuery(uint64_t Number) {
  const auto It = OpenQueries.find(Number);
  const OpenQuery Query = std::move(It->second);
  OpenQueries.erase(It);
  const bool Complete = isComplete(Query);
  const bool JobKnown = Query.BestStatus != JobStatus::Unknown;
  if (Query.OnStatus)
    Query.OnStatus(Complete || JobKnown ? std::optional(Query.BestStatus)
                                        : std::nullopt);
  if (Query.OnCancel)
    Query.OnCancel(Query.JobEnded          ? CancelResult::Ended
                   : Complete && !JobKnown ? CancelResult::UnknownJob
                                           : CancelResult::Unreachable);
  if (Query.OnCount)
    Query.OnCount(Complete ? std::optional(Query.PendingJobs) : std::nullopt);
}

void EntryNode::handleStall() {
  logEvent(events::StoodStill,
           {{"open_jobs", std::to_string(OpenJobs.size())}});
  RefuseUntil = Loop.now() + StaleRequestPeriod;
  Bus.dropLinks();
  // Callers may have sent their jobs elsewhere during the pause.
  while (!OpenJobs.empty())
    giveUp(OpenJobs.begin()->first, JobReason::Cancelled);
}

void EntryNode::tick() {
  const Instant Now = Loop.now();
  struct ExpiredJob {
    uint64_t Number;
    JobReason Reason;
  };
  std::vector<ExpiredJob> ExpiredJobs;
  for (const auto &[Number, Job] : OpenJobs) {
    if (Job.LinkLostAt && Now - *Job.LinkLostAt > LinkGrace)
      ExpiredJobs.push_back({Number, JobReason::Cancelled});
    else if (Now >= Job.Deadline)
      ExpiredJobs.push_back({Number, JobReason::DeadlinePassed});
  }
  for (const ExpiredJob &Expired : ExpiredJobs)
    giveUp(Expired.Number, Expired.Reason);
  sendWithdrawals();
  std::vector<uint64_t> ExpiredQueries;
  for (const auto &[Number, Query] : OpenQueries)
    if (Now >= Query.Deadline)
      ExpiredQueries.push_back(Number);
  for (const uint64_t Number : ExpiredQueries)
    finishQuery(Number);
  const bool Ready = isReady();
  if (std::exchange(WasReady, Ready) != Ready)
    logEvent(events::ReadinessChanged,
             {{"ready", Ready ? "yes" : "no"},
              {"dispatchers", std::to_string(linkedDispatchers())}});
}

} // namespace sapphiremoor
