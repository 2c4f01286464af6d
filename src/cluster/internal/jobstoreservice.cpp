#include "cluster/jobstoreservice.h"

#include "discovery/ownership.h"
#include "framework/codec/serial.h"
#include "framework/core/random.h"
#include "framework/eventlog/eventlog.h"
#include "versionregister/voterset.h"

#include <algorithm>
#include <set>
#include <utility>

namespace sapphiremoor {

namespace {

constexpr Duration TickPeriod = std::chrono::milliseconds(25);
constexpr Duration TakeoverCheckPeriod = std::chrono::milliseconds(200);

/// A log larger than this is replaced by a snapshot. The limit is a quarter of
/// the smallest disk, because the log, the old snapshot and the new one have to
/// fit on it.
constexpr std::size_t LogLimitBytes = std::size_t{32} << 20;

/// Retry delay for callers while too many jobs are open.
constexpr int64_t FullStoreRetryMs = 1000;

/// Number of storage requests whose completion nothing waits for.
constexpr uint64_t NoReplyNumber = 0;

JobStatus toJobStatus(const JobProgress &Progress) {
  switch (Progress.Outcome) {
  case StoredOutcome::Done:
    return JobStatus::Done;
  case StoredOutcome::Failed:
    return JobStatus::Failed;
  case StoredOutcome::Cancelled:
    return JobStatus::Cancelled;
  case StoredOutcome::Open:
    break;
  }
  return Progress.Started ? JobStatus::Running : JobStatus::Queued;
}

Result<CopyState> restoreState(const RecoveredFolder &Folder) {
  CopyState State;
  if (Folder.Snapshot) {
    Result<CopyState> Snapshot = decode<CopyState>(*Folder.Snapshot);
    if (isError(Snapshot))
      return errorOf(Snapshot);
    State = takeValue(std::move(Snapshot));
  }
  for (const std::string &Record : Folder.Records) {
    const Result<CopyEntry> Entry = decode<CopyEntry>(Record);
    if (isError(Entry))
      return errorOf(Entry);
    applyEntry(State, valueOf(Entry));
  }
  return State;
}

uint64_t nextIndex(const RecoveredFolder &Folder) {
  return Folder.FirstIndex + Folder.Records.size();
}

} // namespace

JobStoreService::JobStoreService(EventLoop &Loop,
                                 const ClusterSettings &Settings,
                                 ClusterBus &Bus,
                                 RegisterService &Configuration,
                                 DispatchService &Dispatch)
    : Loop(Loop), Settings(Settings), Bus(Bus), Configuration(Configuration),
      Dispatch(Dispatch),
      Writer({}, describe(Settings.AdvertisedPeer), Bus.self().Incarnation),
      Storage(Loop, Settings.DataFolder + "/jobs",
              {[this](const std::vector<uint64_t> &Numbers) {
                 confirmDurable(Numbers);
               },
               [this](const RecoveredFolder &Folder) { storeAgain(Folder); }}),
      Takeovers({}), TickTimer(Loop, [this] { tick(); }) {}

Result<Done> JobStoreService::start() {
  const Result<RecoveredFolder> OpenResult = Storage.open();
  if (isError(OpenResult))
    return errorOf(OpenResult);
  const RecoveredFolder &Recovered = valueOf(OpenResult);
  Result<CopyState> State = restoreState(Recovered);
  if (isError(State))
    return errorOf(State);
  NextRecord = nextIndex(Recovered);
  for (const std::string &Record : Recovered.Records)
    LogBytes += Record.size();
  logEvent(events::JobsRecovered,
           {{"jobs", std::to_string(valueOf(State).Jobs.size())},
            {"whole", valueOf(State).Status.Complete ? "yes" : "no"},
            {"records", std::to_string(Recovered.Records.size())}});
  LocalCopy = std::make_unique<JobCopy>(CopyOptions{
      describe(Settings.AdvertisedPeer), takeValue(std::move(State)),
      secureRandom64(), Settings.FirstStart});
  TickTimer.startPeriodic(TickPeriod);
  tick();
  return Done{};
}

void JobStoreService::run() {
  if (Running)
    return;
  Running = true;
  bool MoreEffects = true;
  while (MoreEffects) {
    const std::vector<CopyEffect> CopyEffects = LocalCopy->takeEffects();
    const std::vector<WriterEffect> WriterEffects = Writer.takeEffects();
    for (const CopyEffect &Effect : CopyEffects)
      std::visit([this](const auto &Action) { perform(Action); }, Effect);
    for (const WriterEffect &Effect : WriterEffects)
      std::visit([this](const auto &Action) { perform(Action); }, Effect);
    MoreEffects = !CopyEffects.empty() || !WriterEffects.empty();
  }
  Running = false;
}

void JobStoreService::handleMessage(const VmId &Sender,
                                    const JobStoreMessage &Message) {
  const MemberInfo *Member = Bus.members().find(Sender);
  if (Member == nullptr)
    return;
  if (const auto *Notice = std::get_if<RunEndNotice>(&Message))
    handlePeerRunEnd(Sender, *Notice);
  else if (const auto *EndStored = std::get_if<RunEndStored>(&Message))
    handleRunEndStored(*EndStored);
  else if (const auto *Location = std::get_if<JobLocation>(&Message))
    handleJobLocation(describe(Member->PeerEndpoint), *Location);
  receive(peerProcess(*Member), Message);
}

void JobStoreService::receive(const PeerProcess &Sender,
                              const JobStoreMessage &Message) {
  LocalCopy->receive(Sender, Message, Loop.now());
  Writer.receive(Sender.Address, Message, Loop.now());
  run();
  Dispatch.run();
}

void JobStoreService::receiveFromSelf(const JobStoreMessage &Message) {
  Loop.post([this, Message] {
    Dispatch.checkStall();
    receive(Bus.selfProcess(), Message);
  });
}

void JobStoreService::perform(const SendToCopy &Effect) {
  if (Effect.Address == describe(Settings.AdvertisedPeer)) {
    receiveFromSelf(Effect.Message);
    return;
  }
  const MemberInfo *Member = Bus.members().findByAddress(Effect.Address);
  if (Member != nullptr)
    Bus.send(Member->Id, Effect.Message);
}

void JobStoreService::perform(const CopyReply &Effect) {
  if (Effect.Receiver == Bus.selfProcess())
    receiveFromSelf(Effect.Message);
  else if (const auto Receiver = Bus.findProcess(Effect.Receiver))
    Bus.send(*Receiver, Effect.Message);
}

void JobStoreService::perform(const AppendEntry &Effect) {
  LastEntry = Effect.Number;
  std::string Bytes = encode(Effect.Entry);
  LogBytes += Bytes.size();
  Storage.submit(
      {Effect.Number, AppendRecords{NextRecord++, {std::move(Bytes)}}});
  if (LogBytes > LogLimitBytes)
    takeSnapshot(NoReplyNumber);
}

void JobStoreService::takeSnapshot(uint64_t ReplyNumber) {
  LogBytes = 0;
  Storage.submit({ReplyNumber, ReplaceSnapshot{encode(LocalCopy->state()),
                                               NextRecord, true}});
}

void JobStoreService::storeAgain(const RecoveredFolder &Folder) {
  NextRecord = nextIndex(Folder);
  takeSnapshot(LastEntry);
}

void JobStoreService::confirmDurable(const std::vector<uint64_t> &Numbers) {
  Dispatch.checkStall();
  for (const uint64_t Number : Numbers)
    if (Number != NoReplyNumber)
      LocalCopy->confirmDurable(Number);
  run();
}

bool JobStoreService::answerKnownJob(const JobSubmission &Job,
                                     const JobSource &Source) {
  if (Dispatch.dispatcher().status(Job.Id) != JobStatus::Unknown) {
    Dispatch.answer(
        {Source, Job.Id, JobResult::Accepted, JobReason::None, 0, {}});
    return true;
  }
  const JobRecord *Record = LocalCopy->find(Job.Id);
  const bool Ended =
      Record != nullptr && Record->Progress.Outcome != StoredOutcome::Open;
  if (Record == nullptr && !Writer.ownsJob(Job.Id))
    return false;
  addWaitingRequest(Job, Source);
  if (Ended)
    answerWaitingRequests(Job.Id, JobResult::Accepted, JobReason::None);
  else if (!Writer.ownsJob(Job.Id))
    perform(JobHeldElsewhere{Job.Id, Record->Partition});
  return true;
}

void JobStoreService::storeJob(const StoreJob &Effect) {
  if (Writer.isFull()) {
    Dispatch.answer({Effect.Source,
                     Effect.Job.Id,
                     JobResult::NotRun,
                     JobReason::Overloaded,
                     FullStoreRetryMs,
                     {}});
    return;
  }
  addWaitingRequest(Effect.Job, Effect.Source);
  Writer.create(Effect.Job, Loop.now());
  run();
}

void JobStoreService::addWaitingRequest(const JobSubmission &Job,
                                        const JobSource &Source) {
  const auto [Begin, End] = WaitingRequests.equal_range(Job.Id);
  const bool Waits = std::any_of(Begin, End, [&Source](const auto &Entry) {
    return Entry.second.Source == Source;
  });
  if (!Waits)
    WaitingRequests.emplace(
        Job.Id, WaitingRequest{Source, Loop.now() + std::chrono::milliseconds(
                                                        Job.DeadlineMs)});
}

void JobStoreService::dropSource(const VmId &Process) {
  std::erase_if(WaitingRequests, [&Process](const auto &Entry) {
    return Entry.second.Source.Process == Process;
  });
  Confirmations.dropReceiver(Process);
}

void JobStoreService::answerWaitingRequests(const std::string &Job,
                                            JobResult Result, JobReason Reason,
                                            const std::string &Target) {
  const auto [Begin, End] = WaitingRequests.equal_range(Job);
  for (auto It = Begin; It != End; ++It)
    Dispatch.answer({It->second.Source, Job, Result, Reason, 0, Target});
  WaitingRequests.erase(Begin, End);
}

void JobStoreService::perform(const JobStored &Effect) {
  const std::string &Id = Effect.Job.Id;
  logEvent(events::JobStored,
           {{"job", Id},
            {"queue", Effect.Job.Policy.Queue},
            {"taken_over", Effect.TakenOver ? "yes" : "no"}});
  answerWaitingRequests(Id, JobResult::Accepted, JobReason::None);
  Dispatch.dispatcher().setStoredLeaseEnd(Writer.writerLeaseEnd());
  JobProgress Progress = Effect.Progress;
  if (Effect.TakenOver)
    applyEarlyEnds(Id, Progress);
  Dispatch.dispatcher().runStored(Effect.Job, Progress, Loop.now());
}

void JobStoreService::perform(const JobHeldElsewhere &Effect) {
  dropWaiters(Effect.Id);
  const auto Holder =
      findLiveWriter(LocalCopy->partitionWriter(Effect.Partition));
  if (Holder && *Holder != Bus.self())
    answerWaitingRequests(Effect.Id, JobResult::NotRun, JobReason::Redirected,
                          Holder->Name);
  else
    answerWaitingRequests(Effect.Id, JobResult::GivenUp, JobReason::Cancelled);
}

void JobStoreService::perform(const ProgressStored &Effect) {
  for (const Confirmation &Durable :
       Confirmations.takeDurable(Effect.Id, Effect.Version))
    confirmNow(Durable);
}

void JobStoreService::perform(const JobsLost &Effect) {
  logEvent(events::JobsHandedOver,
           {{"jobs", std::to_string(Effect.Ids.size())}});
  for (const std::string &Id : Effect.Ids) {
    answerWaitingRequests(Id, JobResult::GivenUp, JobReason::Cancelled);
    dropWaiters(Id);
    Dispatch.dispatcher().dropStored(Id, Loop.now());
  }
}

void JobStoreService::perform(const EndsForgotten &Effect) {
  logEvent(events::EndsForgotten, {{"kept", std::to_string(Effect.KeptEnds)}});
}

void JobStoreService::storeProgress(const JobProgressed &Effect) {
  Writer.updateProgress(Effect.JobId, Effect.Progress, Loop.now());
  if (Effect.Progress.Outcome != StoredOutcome::Open)
    logEvent(
        events::StoredJobEnded,
        {{"job", Effect.JobId},
         {"outcome", Effect.Progress.Outcome == StoredOutcome::Done ? "done"
                     : Effect.Progress.Outcome == StoredOutcome::Failed
                         ? "failed"
                         : "cancelled"}});
  run();
}

void JobStoreService::confirmWhenDurable(const std::string &Job,
                                         const Confirmation &Pending) {
  if (!Writer.ownsJob(Job) || Writer.endDurable(Job))
    confirmNow(Pending);
  else
    Confirmations.add(Job, Writer.version(Job), Pending);
}

void JobStoreService::confirmNow(const Confirmation &Pending) {
  std::visit([this](const auto &Value) { confirm(Value); }, Pending);
}

void JobStoreService::confirm(const LocalEnd &End) {
  acknowledgeEnd(End.Report.EndId, End.Superseded);
}

void JobStoreService::confirm(const ReportedEnd &End) {
  Bus.send(End.Reporter,
           JobStoreMessage(RunEndStored{End.Notice.Task, End.Notice.RunNumber,
                                        End.Superseded}));
}

void JobStoreService::confirm(const CancelRequest &Request) {
  Bus.send(
      Request.Source.Process,
      JobQueryAnswer{Request.Source.Request, Request.PreviousStatus, true});
}

void JobStoreService::dropWaiters(const std::string &Job) {
  for (const RunEnded &Report : Confirmations.drop(Job))
    addPendingEnd(Report);
}

void JobStoreService::expireWaiters() {
  const Instant Now = Loop.now();
  std::erase_if(WaitingRequests, [Now](const auto &Entry) {
    return Now >= Entry.second.Deadline;
  });
  Confirmations.expire(Now);
  // The VM that has reported the end reports it again.
  std::erase_if(EarlyEnds, [this](const auto &Entry) {
    return !isTakeoverPending(Entry.first);
  });
}

bool JobStoreService::majorityReachable() const {
  std::set<std::string> Reachable{describe(Settings.AdvertisedPeer)};
  for (const std::string &Voter : Configuration.voters().Voters) {
    const MemberInfo *Member = Bus.members().findByAddress(Voter);
    if (Member != nullptr &&
        Bus.members().isReachable(Member->Id.Name, Loop.now()))
      Reachable.insert(Voter);
  }
  return isMajority(Configuration.voters(), Reachable);
}

JobStatus JobStoreService::jobStatus(const std::string &Job) const {
  const JobStatus DispatcherStatus = Dispatch.dispatcher().status(Job);
  if (DispatcherStatus != JobStatus::Unknown)
    return DispatcherStatus;
  const JobRecord *Record = LocalCopy->find(Job);
  if (Record == nullptr)
    return JobStatus::Unknown;
  // An end that is not durable might be lost with this copy, so the job is
  // reported as running.
  const JobStatus StoredStatus = toJobStatus(Record->Progress);
  return Writer.confirmsEnd(*Record)
             ? StoredStatus
             : std::min(StoredStatus, JobStatus::Running);
}

void JobStoreService::query(const VmId &Sender, const JobQuery &Message) {
  const std::string &Job = Message.Job;
  const JobStatus PreviousStatus = jobStatus(Job);
  const CancelRequest Cancel{
      {Sender, Message.Request}, PreviousStatus, Loop.now() + QueryTimeout};
  const bool RunsHere = Dispatch.dispatcher().status(Job) != JobStatus::Unknown;
  if (Message.Cancel && RunsHere) {
    Dispatch.dispatcher().cancel(Job, Loop.now());
    Dispatch.run();
    confirmWhenDurable(Job, Cancel);
    return;
  }
  // While the job is still being stored, the cancel is not answered.
  if (Message.Cancel && Writer.ownsJob(Job)) {
    const JobRecord *Record = LocalCopy->find(Job);
    if (Record != nullptr && Record->Progress.Outcome != StoredOutcome::Open)
      confirmWhenDurable(Job, Cancel);
    return;
  }
  // A voter that rebuilds its copy may lack a job that a majority had stored.
  // The entry VM counts the voters that do not know the job.
  if (PreviousStatus == JobStatus::Unknown && !LocalCopy->isComplete() &&
      isVoter(Configuration.voters(), describe(Settings.AdvertisedPeer)))
    return;
  Bus.send(Sender, JobQueryAnswer{Message.Request, PreviousStatus,
                                  PreviousStatus >= JobStatus::Done});
}

void JobStoreService::handleStall() {
  WaitingRequests.clear();
  Writer.handleStall();
  Dispatch.dispatcher().setStoredLeaseEnd(Writer.writerLeaseEnd());
}

std::optional<VmId>
JobStoreService::findLiveWriter(const std::string &WriterName) const {
  const MemberInfo *Member =
      Bus.members().findByAddress(writerAddress(WriterName));
  if (Member == nullptr ||
      writerName(writerAddress(WriterName), Member->Id.Incarnation) !=
          WriterName ||
      !Bus.members().isLive(Member->Id, Loop.now()))
    return std::nullopt;
  return Member->Id;
}

void JobStoreService::checkTakeovers() {
  const Instant Now = Loop.now();
  // A claim without a majority would only raise the ballot that the writer has
  // to exceed. Only complete copies are told of the claims of other VMs.
  if (!majorityReachable() || !LocalCopy->isComplete())
    return;
  std::vector<MemberInfo> LiveVoters = Bus.liveControlVms();
  std::erase_if(LiveVoters, [this](const MemberInfo &Member) {
    return !isVoter(Configuration.voters(), describe(Member.PeerEndpoint));
  });
  // Partitions in which all jobs have ended need a writer too: only the writer
  // can tell that their ends are durable.
  for (const auto &[Partition, Promised] : LocalCopy->partitions()) {
    if (Writer.ownsOrClaims(Partition) ||
        findLiveWriter(LocalCopy->partitionWriter(Partition))) {
      Takeovers.recordWriter(Partition);
      continue;
    }
    const auto Rank = rendezvousRank(Partition, LiveVoters, Bus.self().Name);
    const bool LostHere =
        LocalCopy->partitionWriter(Partition) == Writer.name();
    if (!Rank || !Takeovers.shouldClaim(Partition, *Rank, LostHere, Now))
      continue;
    logEvent(events::JobsTakenOver,
             {{"partition", Partition},
              {"former_writer", LocalCopy->partitionWriter(Partition)}});
    Writer.claim(Partition, Promised, Now);
  }
}

void JobStoreService::tick() {
  Dispatch.checkStall();
  const Instant Now = Loop.now();
  LocalCopy->setVoters(Configuration.voters());
  Writer.setVoters(Configuration.voters());
  std::set<std::string> CopyAddresses;
  for (const MemberInfo &Member : Bus.members().members(MemberRole::Control))
    if (Bus.isLinked(Member.Id))
      CopyAddresses.insert(describe(Member.PeerEndpoint));
  CopyAddresses.insert(describe(Settings.AdvertisedPeer));
  Writer.setCopies(std::move(CopyAddresses));
  if (Now >= NextTakeoverCheck) {
    NextTakeoverCheck = Now + TakeoverCheckPeriod;
    checkTakeovers();
  }
  expireWaiters();
  resolvePendingEnds();
  LocalCopy->tick(Now);
  Writer.tick(Now);
  run();
  Dispatch.dispatcher().setStoredLeaseEnd(Writer.writerLeaseEnd());
  Dispatch.run();
}

} // namespace sapphiremoor
