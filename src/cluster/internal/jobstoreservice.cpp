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
constexpr Duration TakeoverCheck = std::chrono::milliseconds(200);

/// A writer that has been gone for this time has its jobs taken over.
constexpr Duration WriterGoneAfter = std::chrono::seconds(1);

/// A partition that this VM has lost has another writer, whose name is not
/// known here before it writes or this time is over.
constexpr Duration OwnLossSettled = std::chrono::seconds(5);

/// Size of the log from which a snapshot replaces it. A quarter of the smallest
/// disk: the log, the old and the new snapshot have to fit.
constexpr std::size_t LogLimitBytes = std::size_t{32} << 20;

/// Number of storage requests that nobody waits for.
constexpr uint64_t Unnumbered = 0;

JobStatus statusOf(const JobProgress &Progress) {
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

Result<CopyState> recoveredState(const RecoveredFolder &Of) {
  CopyState State;
  if (Of.Snapshot) {
    Result<CopyState> Read = decode<CopyState>(*Of.Snapshot);
    if (isError(Read))
      return errorOf(Read);
    State = takeValue(std::move(Read));
  }
  for (const std::string &Record : Of.Records) {
    const Result<CopyEntry> Read = decode<CopyEntry>(Record);
    if (isError(Read))
      return errorOf(Read);
    applyEntry(State, valueOf(Read));
  }
  return State;
}

} // namespace

JobStoreService::JobStoreService(EventLoop &Loop, const ClusterSettings &Of,
                                 ClusterBus &Bus,
                                 RegisterService &Configuration,
                                 DispatchService &Dispatch)
    : Loop(Loop), Of(Of), Bus(Bus), Configuration(Configuration),
      Dispatch(Dispatch),
      Writer({}, describe(Of.Advertised), Bus.self().Incarnation),
      TickTimer(Loop, [this] { tick(); }) {}

Result<Done> JobStoreService::start() {
  auto Opened = RecordLog::open(Of.DataFolder + "/jobs");
  if (isError(Opened))
    return errorOf(Opened);
  OpenedLog Parts = takeValue(std::move(Opened));
  Result<CopyState> State = recoveredState(Parts.Recovered);
  if (isError(State))
    return errorOf(State);
  NextRecord = Parts.Log->nextIndex();
  for (const std::string &Each : Parts.Recovered.Records)
    LogBytes += Each.size();
  logEvent(events::JobsRecovered,
           {{"jobs", std::to_string(valueOf(State).Jobs.size())},
            {"whole", valueOf(State).Status.Complete ? "yes" : "no"},
            {"records", std::to_string(Parts.Recovered.Records.size())}});
  Copy = std::make_unique<JobCopy>(
      CopyOptions{describe(Of.Advertised), takeValue(std::move(State)),
                  secureRandom64(), Of.FirstStart});
  Storage = std::make_unique<StorageTask>(
      std::move(Parts.Log), [this](std::vector<StorageReply> Replies) {
        Loop.post([this, Replies = std::move(Replies)] { stored(Replies); });
      });
  TickTimer.startPeriodic(TickPeriod);
  tick();
  return Done{};
}

void JobStoreService::run() {
  if (Running)
    return;
  Running = true;
  bool More = true;
  while (More) {
    const std::vector<CopyEffect> Kept = Copy->takeEffects();
    const std::vector<WriterEffect> Written = Writer.takeEffects();
    for (const CopyEffect &Each : Kept)
      std::visit([this](const auto &Effect) { perform(Effect); }, Each);
    for (const WriterEffect &Each : Written)
      std::visit([this](const auto &Effect) { perform(Effect); }, Each);
    More = !Kept.empty() || !Written.empty();
  }
  Running = false;
}

void JobStoreService::received(const VmId &From,
                               const JobStoreMessage &Message) {
  const MemberInfo *Sender = Bus.members().find(From.Name);
  if (Sender == nullptr)
    return;
  const std::string Address = describe(Sender->Peer);
  if (const auto *News = std::get_if<RunEndNotice>(&Message))
    endTold(From, *News);
  else if (const auto *Stored = std::get_if<RunEndStored>(&Message))
    endStored(*Stored);
  else if (const auto *Asked = std::get_if<LocateJob>(&Message);
           Asked != nullptr && !Copy->rebuilding())
    Bus.send(From.Name, JobStoreMessage(whereabouts(Asked->Job)));
  else if (const auto *Told = std::get_if<JobLocation>(&Message))
    whereaboutsTold(Address, *Told);
  Copy->receive(Address, Message, Loop.now());
  Writer.receive(Address, Message, Loop.now());
  run();
  Dispatch.run();
}

void JobStoreService::deliverOwn(const JobStoreMessage &Message) {
  Copy->receive(describe(Of.Advertised), Message, Loop.now());
  Writer.receive(describe(Of.Advertised), Message, Loop.now());
  run();
  Dispatch.run();
}

void JobStoreService::perform(const SendToCopy &Effect) {
  if (Effect.Address == describe(Of.Advertised)) {
    Loop.post([this, Own = Effect.Message] { deliverOwn(Own); });
    return;
  }
  const MemberInfo *To = Bus.members().findByAddress(Effect.Address);
  if (To != nullptr && Bus.linked(To->Id.Name))
    Bus.send(To->Id.Name, Effect.Message);
}

void JobStoreService::perform(const AppendEntry &Effect) {
  if (StorageLost)
    return;
  std::string Bytes = encode(Effect.Entry);
  LogBytes += Bytes.size();
  Storage->submit(
      {Effect.Number, AppendRecords{NextRecord++, {std::move(Bytes)}}});
  if (LogBytes > LogLimitBytes)
    takeSnapshot();
}

void JobStoreService::takeSnapshot() {
  LogBytes = 0;
  Storage->submit(
      {Unnumbered, ReplaceSnapshot{encode(Copy->state()), NextRecord, true}});
}

void JobStoreService::stored(const std::vector<StorageReply> &Replies) {
  for (const StorageReply &Each : Replies) {
    if (isError(Each.Outcome)) {
      if (!std::exchange(StorageLost, true))
        logEvent(events::StorageFailed,
                 {{"error", describe(errorOf(Each.Outcome))}});
      return;
    }
    if (Each.Number != Unnumbered)
      Copy->confirmDurable(Each.Number);
  }
  run();
}

bool JobStoreService::answerKnown(const JobSubmission &Job,
                                  const JobSource &From) {
  if (Dispatch.dispatcher().status(Job.Id) != JobStatus::Unknown) {
    Dispatch.answer(
        {From, Job.Id, JobResult::Accepted, JobReason::None, 0, {}});
    return true;
  }
  const JobRecord *Known = Copy->find(Job.Id);
  const bool Ended =
      Known != nullptr && Known->Progress.Outcome != StoredOutcome::Open;
  if (Known == nullptr && !Writer.ownsJob(Job.Id))
    return false;
  Sources.emplace(Job.Id, From);
  if (Ended)
    answerSources(Job.Id, JobResult::Accepted, JobReason::None);
  else if (!Writer.ownsJob(Job.Id))
    perform(JobHeldElsewhere{Job.Id, Known->Partition});
  return true;
}

void JobStoreService::store(const StoreJob &Effect) {
  Sources.emplace(Effect.Job.Id, Effect.Source);
  Writer.create(Effect.Job, Loop.now());
  run();
}

void JobStoreService::answerSources(const std::string &Job, JobResult Result,
                                    JobReason Reason,
                                    const std::string &Target) {
  const auto [Begin, End] = Sources.equal_range(Job);
  for (auto Each = Begin; Each != End; ++Each)
    Dispatch.answer({Each->second, Job, Result, Reason, 0, Target});
  Sources.erase(Begin, End);
}

void JobStoreService::perform(const JobStored &Effect) {
  const std::string &Id = Effect.Job.Id;
  logEvent(events::JobStored,
           {{"job", Id},
            {"queue", Effect.Job.Policy.Queue},
            {"taken_over", Effect.TakenOver ? "yes" : "no"}});
  answerSources(Id, JobResult::Accepted, JobReason::None);
  Dispatch.dispatcher().setStoredLeaseEnd(Writer.writerLeaseEnd());
  JobProgress Progress = Effect.Progress;
  if (Effect.TakenOver)
    takeEarlyEnds(Id, Progress);
  Dispatch.dispatcher().runStored(Effect.Job, Progress, Loop.now());
}

void JobStoreService::perform(const JobHeldElsewhere &Effect) {
  const auto Vm = liveVm(writerOf(Effect.Partition));
  if (Vm && *Vm != Bus.self().Name)
    answerSources(Effect.Id, JobResult::NotRun, JobReason::Redirected, *Vm);
  else
    answerSources(Effect.Id, JobResult::GivenUp, JobReason::Cancelled);
}

void JobStoreService::perform(const ProgressStored &Effect) {
  std::vector<std::function<void()>> Ready;
  const auto [Begin, End] = OnStored.equal_range(Effect.Id);
  for (auto Each = Begin; Each != End;) {
    if (Each->second.Version > Effect.Version) {
      ++Each;
      continue;
    }
    Ready.push_back(std::move(Each->second.OnStored));
    Each = OnStored.erase(Each);
  }
  for (const auto &Each : Ready)
    Each();
}

void JobStoreService::perform(const JobsLost &Effect) {
  logEvent(events::JobsHandedOver,
           {{"jobs", std::to_string(Effect.Ids.size())}});
  for (const std::string &Id : Effect.Ids) {
    answerSources(Id, JobResult::GivenUp, JobReason::Cancelled);
    // The new writer has to be told of ends that did not become durable.
    const auto [Begin, End] = OnStored.equal_range(Id);
    for (auto Each = Begin; Each != End; ++Each)
      if (Each->second.End)
        OpenEnds.push_back({*Each->second.End, {}, {}, {}});
    OnStored.erase(Begin, End);
    Dispatch.dispatcher().dropStored(Id, Loop.now());
  }
}

void JobStoreService::progressed(const JobProgressed &Effect) {
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

void JobStoreService::whenStored(const std::string &Job,
                                 std::function<void()> Handler,
                                 std::optional<RunEnded> End) {
  if (!Writer.ownsJob(Job) || Writer.endDurable(Job)) {
    Handler();
    return;
  }
  OnStored.emplace(
      Job, Waiting{Writer.version(Job), std::move(Handler), std::move(End)});
}

bool JobStoreService::majorityReachable() const {
  std::set<std::string> Reachable{describe(Of.Advertised)};
  for (const std::string &Each : Configuration.voters().Voters) {
    const MemberInfo *Member = Bus.members().findByAddress(Each);
    if (Member != nullptr &&
        Bus.members().reachable(Member->Id.Name, Loop.now()))
      Reachable.insert(Each);
  }
  return isMajority(Configuration.voters(), Reachable);
}

JobStatus JobStoreService::status(const std::string &Job) const {
  const JobStatus Own = Dispatch.dispatcher().status(Job);
  if (Own != JobStatus::Unknown)
    return Own;
  const JobRecord *Known = Copy->find(Job);
  if (Known == nullptr)
    return JobStatus::Unknown;
  // Only the writer knows whether an end is durable; another one might be
  // forgotten with this copy.
  const bool Durable = Writer.ownsJob(Job)
                           ? Writer.endDurable(Job)
                           : Writer.ownsPartition(Known->Partition);
  const JobStatus Kept = statusOf(Known->Progress);
  return Durable ? Kept : std::min(Kept, JobStatus::Running);
}

void JobStoreService::query(const VmId &From, const JobQuery &Message) {
  const std::string &Job = Message.Job;
  const JobStatus Before = status(Job);
  const auto Reply = [this, To = From.Name, Number = Message.Request,
                      Before](bool Ended) {
    Bus.send(To, JobQueryAnswer{Number, Before, Ended});
  };
  const bool Runs = Dispatch.dispatcher().status(Job) != JobStatus::Unknown;
  if (Message.Cancel && Runs) {
    Dispatch.dispatcher().cancel(Job, Loop.now());
    Dispatch.run();
    whenStored(Job, [Reply] { Reply(true); });
    return;
  }
  // A job that is being stored has no answer yet.
  if (Message.Cancel && Writer.ownsJob(Job)) {
    const JobRecord *Known = Copy->find(Job);
    if (Known != nullptr && Known->Progress.Outcome != StoredOutcome::Open)
      whenStored(Job, [Reply] { Reply(true); });
    return;
  }
  Reply(Before >= JobStatus::Done);
}

void JobStoreService::stalled() {
  Writer.handleStall();
  Dispatch.dispatcher().setStoredLeaseEnd(Writer.writerLeaseEnd());
}

std::string JobStoreService::writerOf(const std::string &Partition) const {
  const Ballot Promised = Copy->promisedBallot(Partition);
  return Promised.Proposer.empty() ? partitionOpener(Partition)
                                   : Promised.Proposer;
}

std::optional<std::string>
JobStoreService::liveVm(const std::string &Of) const {
  const MemberInfo *Member = Bus.members().findByAddress(writerAddress(Of));
  if (Member == nullptr ||
      writerName(writerAddress(Of), Member->Id.Incarnation) != Of ||
      !Bus.members().live(Member->Id.Name, Loop.now()))
    return std::nullopt;
  return Member->Id.Name;
}

void JobStoreService::considerTakeovers() {
  const Instant Now = Loop.now();
  // A claim without a majority would only raise the ballot that the writer has
  // to beat.
  if (!majorityReachable())
    return;
  const std::vector<MemberInfo> Live = Bus.liveControls();
  // Partitions in which all jobs have ended need a writer too: only it can say
  // so for sure.
  for (const auto &[Partition, Promised] : Copy->partitions()) {
    if (Writer.ownsOrClaims(Partition) || liveVm(writerOf(Partition))) {
      GoneSince.erase(Partition);
      continue;
    }
    const Instant Since = GoneSince.try_emplace(Partition, Now).first->second;
    const auto Preferred =
        std::ranges::max_element(Live, {}, [&](const MemberInfo &Each) {
          return rendezvousWeight(Partition, Each.Id.Name);
        });
    const Duration Patience =
        writerOf(Partition) == Writer.name() ? OwnLossSettled : WriterGoneAfter;
    if (Now - Since < Patience || Preferred == Live.end() ||
        Preferred->Id.Name != Bus.self().Name)
      continue;
    logEvent(events::JobsTakenOver, {{"partition", Partition},
                                     {"former_writer", writerOf(Partition)}});
    Writer.claim(Partition, Promised, Now);
  }
}

void JobStoreService::tick() {
  const Instant Now = Loop.now();
  Copy->setVoters(Configuration.voters());
  Writer.setVoters(Configuration.voters());
  std::set<std::string> Copies;
  for (const MemberInfo &Each : Bus.members().members(MemberRole::Control))
    if (Bus.linked(Each.Id.Name))
      Copies.insert(describe(Each.Peer));
  Copies.insert(describe(Of.Advertised));
  Writer.setCopies(std::move(Copies));
  if (Now >= NextTakeoverCheck) {
    NextTakeoverCheck = Now + TakeoverCheck;
    considerTakeovers();
  }
  std::erase_if(OpenEnds, [this](OpenEnd &Each) { return settle(Each); });
  Copy->tick(Now);
  Writer.tick(Now);
  run();
  Dispatch.dispatcher().setStoredLeaseEnd(Writer.writerLeaseEnd());
  Dispatch.run();
}

} // namespace sapphiremoor
