#include "jobstore/jobcopy.h"

#include "jobstore/jobwriter.h"
#include "versionregister/voterset.h"

#include <algorithm>
#include <utility>

namespace sapphiremoor {

namespace {

/// Covers the time for which callers can query ended jobs, with a margin.
constexpr Duration EndedJobRetention = std::chrono::seconds(130);

constexpr Duration CleanupPeriod = std::chrono::seconds(1);

constexpr std::size_t JobsPerPage = 200;
constexpr Duration PageRetryDelay = std::chrono::milliseconds(400);

bool hasEnded(const JobRecord &Job) {
  return Job.Progress.Outcome != StoredOutcome::Open;
}

/// Only the id and the outcome of an ended job are needed.
void dropEndedDetails(JobRecord &Job) {
  if (!hasEnded(Job))
    return;
  Job.Submission.Policy = {};
  Job.Submission.Spec.clear();
  Job.Submission.Steps.clear();
  Job.Progress.Steps.clear();
}

void applyOne(CopyState &State, const PromiseEntry &Entry) {
  Ballot &Promised = State.Promises[Entry.Ownership.Partition];
  Promised = std::max(Promised, Entry.Ownership.WriterBallot);
}

void applyOne(CopyState &State, const JobEntry &Entry) {
  applyOne(State, PromiseEntry{Entry.Ownership});
  JobRecord &Job = State.Jobs[Entry.Write.Id];
  if (Entry.Write.Submission)
    Job.Submission = *Entry.Write.Submission;
  Job.Progress = Entry.Write.Progress;
  Job.Version = Entry.Write.Version;
  Job.Committed = Entry.Write.Committed ||
                  (Job.Committed && Job.Partition == Entry.Ownership.Partition);
  Job.Partition = Entry.Ownership.Partition;
  Job.WriterBallot = Entry.Ownership.WriterBallot;
  dropEndedDetails(Job);
}

void applyOne(CopyState &State, const RebuiltEntry &Entry) {
  State.RebuiltCopies[Entry.Copy.Vm] = Entry.Copy.CopyId;
}

void applyOne(CopyState &State, const CopyStatusEntry &Entry) {
  State.Status = Entry;
}

} // namespace

void applyEntry(CopyState &State, const CopyEntry &Entry) {
  std::visit([&State](const auto &Value) { applyOne(State, Value); }, Entry);
}

JobCopy::JobCopy(const CopyOptions &Options)
    : Self(Options.Self), NewCopyId(Options.NewCopyId),
      State(Options.StoredState) {
  if (State.Status.CopyId != 0)
    return;
  State.Status.CopyId = NewCopyId;
  if (Options.FirstStart)
    setComplete(true);
}

void JobCopy::setVoters(const VoterSet &NewVoters) {
  Voters = NewVoters;
  if (NewVoters.Epoch <= State.Status.Epoch)
    return;
  // The copy lacks all writes from the time when this VM may not have been a
  // voter.
  const bool Continuous =
      State.Status.Epoch == 0 || NewVoters.Epoch == State.Status.Epoch + 1;
  State.Status.Epoch = NewVoters.Epoch;
  State.Status.MinEpoch = std::max(State.Status.MinEpoch, NewVoters.Epoch);
  setComplete(isVoter(NewVoters, Self) && State.Status.Complete && Continuous);
}

void JobCopy::setComplete(bool Complete) {
  if (!Complete && std::exchange(State.Status.Complete, false)) {
    State.Status.CopyId = NewCopyId;
    Rebuild = {};
  }
  State.Status.Complete = Complete;
  append(State.Status);
}

void JobCopy::receive(const PeerProcess &Sender, const JobStoreMessage &Message,
                      Instant Now) {
  std::visit([&](const auto &Value) { handle(Sender, Value, Now); }, Message);
}

void JobCopy::confirmDurable(uint64_t Number) {
  LastDurable = std::max(LastDurable, Number);
  const auto End = PendingReplies.upper_bound(Number);
  for (auto It = PendingReplies.begin(); It != End; ++It)
    Effects.emplace_back(It->second);
  PendingReplies.erase(PendingReplies.begin(), End);
}

std::vector<CopyEffect> JobCopy::takeEffects() {
  return std::exchange(Effects, {});
}

const JobRecord *JobCopy::find(const std::string &Id) const {
  const auto It = State.Jobs.find(Id);
  return It == State.Jobs.end() ? nullptr : &It->second;
}

Ballot JobCopy::promisedBallot(const std::string &Partition) const {
  const auto It = State.Promises.find(Partition);
  return It == State.Promises.end() ? Ballot{} : It->second;
}

std::string JobCopy::partitionWriter(const std::string &Partition) const {
  const Ballot Promised = promisedBallot(Partition);
  return Promised.Proposer.empty() ? partitionOpener(Partition)
                                   : Promised.Proposer;
}

bool JobCopy::rebuilding() const {
  return !State.Status.Complete && isVoter(Voters, Self);
}

void JobCopy::append(CopyEntry Entry) {
  Effects.emplace_back(AppendEntry{++LastAppend, std::move(Entry)});
}

void JobCopy::reply(const PeerProcess &Receiver, JobStoreMessage Message) {
  Effects.emplace_back(CopyReply{Receiver, std::move(Message)});
}

void JobCopy::replyWhenDurable(const PeerProcess &Receiver,
                               JobStoreMessage Message) {
  if (LastAppend == LastDurable)
    reply(Receiver, std::move(Message));
  else
    PendingReplies.emplace(LastAppend, CopyReply{Receiver, std::move(Message)});
}

std::vector<CopyIdentity> JobCopy::copyIdentities() const {
  std::vector<CopyIdentity> Identities{{Self, State.Status.CopyId}};
  for (const auto &[Vm, CopyId] : State.RebuiltCopies)
    Identities.push_back({Vm, CopyId});
  return Identities;
}

bool JobCopy::isObsoleteEpoch(uint64_t Epoch) {
  if (Epoch < State.Status.MinEpoch)
    return true;
  if (Epoch > State.Status.MinEpoch) {
    State.Status.MinEpoch = Epoch;
    append(State.Status);
  }
  return false;
}

void JobCopy::handle(const PeerProcess &Sender, const WriteJobs &Request,
                     Instant Now) {
  if (isObsoleteEpoch(Request.Epoch))
    return;
  JobsWritten Reply{Request.Ownership,
                    promisedBallot(Request.Ownership.Partition),
                    copyIdentities(),
                    {},
                    {},
                    {}};
  if (Reply.Promised <= Request.Ownership.WriterBallot) {
    Reply.Promised = Request.Ownership.WriterBallot;
    for (const JobWrite &Write : Request.Jobs)
      storeJob(Request.Ownership, Write, Reply, Now);
  }
  // A VM that is not a voter replies too, so that its copy receives all writes.
  // The writer counts only voters.
  if (!rebuilding())
    replyWhenDurable(Sender, std::move(Reply));
}

void JobCopy::storeJob(const PartitionOwnership &Ownership,
                       const JobWrite &Write, JobsWritten &Reply, Instant Now) {
  const JobRecord *Existing = find(Write.Id);
  const bool InOtherPartition =
      Existing != nullptr && Existing->Partition != Ownership.Partition;
  if (InOtherPartition && (Existing->Committed || !Write.Committed)) {
    Reply.Conflicts.push_back(
        {Write.Id, Existing->Partition, Existing->Committed});
    return;
  }
  if ((Existing == nullptr || InOtherPartition) && !Write.Submission) {
    Reply.MissingSubmissions.push_back(Write.Id);
    return;
  }
  const bool ReplacesExisting =
      Existing == nullptr || InOtherPartition ||
      Existing->WriterBallot < Ownership.WriterBallot ||
      (Existing->WriterBallot == Ownership.WriterBallot &&
       Existing->Version < Write.Version);
  if (ReplacesExisting) {
    const JobEntry Entry{Ownership, Write};
    applyEntry(State, Entry);
    append(Entry);
    if (Write.Progress.Outcome != StoredOutcome::Open)
      EndedSince.emplace(Write.Id, Now);
  }
  Reply.Stored.push_back({Write.Id, find(Write.Id)->Version});
}

void JobCopy::handle(const PeerProcess &Sender, const RenewWriterLease &Request,
                     Instant) {
  if (isObsoleteEpoch(Request.Epoch) || !State.Status.Complete)
    return;
  WriterLeaseRenewed Reply{Request.Number, {}};
  for (const PartitionOwnership &Ownership : Request.Partitions)
    if (promisedBallot(Ownership.Partition) > Ownership.WriterBallot)
      Reply.Fenced.push_back(Ownership.Partition);
  // The reply contains nothing but promises, and reporting one that is not yet
  // durable is safe. Waiting for a slow disk would let the writer's lease
  // expire.
  reply(Sender, std::move(Reply));
}

void JobCopy::handle(const PeerProcess &Sender, const ClaimPartition &Request,
                     Instant) {
  if (isObsoleteEpoch(Request.Epoch) || !State.Status.Complete)
    return;
  const PartitionOwnership &Ownership = Request.Ownership;
  PartitionClaimed Reply{
      Ownership, promisedBallot(Ownership.Partition), copyIdentities(), {}};
  if (Reply.Promised <= Ownership.WriterBallot) {
    Reply.Promised = Ownership.WriterBallot;
    applyEntry(State, PromiseEntry{Ownership});
    append(PromiseEntry{Ownership});
    for (const auto &[Id, Job] : State.Jobs)
      if (Job.Partition == Ownership.Partition)
        Reply.Jobs.push_back(Job);
  }
  replyWhenDurable(Sender, std::move(Reply));
}

void JobCopy::handle(const PeerProcess &Sender, const FetchCopy &Request,
                     Instant) {
  if (isObsoleteEpoch(Request.Epoch) || !State.Status.Complete)
    return;
  if (State.RebuiltCopies[Sender.Address] != Request.CopyId) {
    const RebuiltEntry Entry{{Sender.Address, Request.CopyId}};
    applyEntry(State, Entry);
    append(Entry);
  }
  CopyPage Page{Request.AfterId, {}, {}, false};
  auto It = State.Jobs.upper_bound(Request.AfterId);
  for (; It != State.Jobs.end() && Page.Jobs.size() < JobsPerPage; ++It)
    Page.Jobs.push_back(It->second);
  Page.Last = It == State.Jobs.end();
  for (const auto &[Partition, WriterBallot] : State.Promises)
    Page.Promises.push_back({Partition, WriterBallot});
  replyWhenDurable(Sender, std::move(Page));
}

void JobCopy::handle(const PeerProcess &Sender, const CopyPage &Page,
                     Instant Now) {
  const auto PositionIt = Rebuild.PagePositions.find(Sender.Address);
  if (State.Status.Complete || PositionIt == Rebuild.PagePositions.end() ||
      PositionIt->second != Page.AfterId)
    return;
  for (const PartitionOwnership &Ownership : Page.Promises) {
    applyEntry(State, PromiseEntry{Ownership});
    append(PromiseEntry{Ownership});
  }
  for (const JobRecord &Job : Page.Jobs) {
    const std::string &Id = Job.Submission.Id;
    const JobRecord *Existing = find(Id);
    if (Existing == nullptr || isReplacedBy(*Existing, Job)) {
      const JobEntry Entry{
          {Job.Partition, Job.WriterBallot},
          {Id, Job.Version, Job.Committed, Job.Submission, Job.Progress}};
      applyEntry(State, Entry);
      append(Entry);
      if (hasEnded(Job))
        EndedSince.emplace(Id, Now);
    }
    PositionIt->second = Id;
  }
  if (Page.Last)
    Rebuild.CompletedVms.insert(Sender.Address);
  checkComplete();
  NextPageRequest = Now;
  if (!State.Status.Complete)
    requestPages(Now);
}

void JobCopy::handle(const PeerProcess &Sender, const LocateJob &Request,
                     Instant) {
  if (!isComplete())
    return;
  const JobRecord *Job = find(Request.Job);
  JobLocation Location{Request.Job, Job != nullptr, {}};
  if (Job != nullptr)
    Location.Writer = partitionWriter(Job->Partition);
  reply(Sender, std::move(Location));
}

void JobCopy::checkComplete() {
  if (isMajority(Voters, Rebuild.CompletedVms))
    setComplete(true);
}

void JobCopy::requestPages(Instant Now) {
  if (Now < NextPageRequest)
    return;
  NextPageRequest = Now + PageRetryDelay;
  for (const std::string &Voter : Voters.Voters)
    if (Voter != Self && !Rebuild.CompletedVms.contains(Voter))
      Effects.emplace_back(
          SendToCopy{Voter, FetchCopy{Rebuild.PagePositions[Voter],
                                      Voters.Epoch, State.Status.CopyId}});
}

void JobCopy::tick(Instant Now) {
  if (rebuilding())
    requestPages(Now);
  if (Now < NextCleanup)
    return;
  NextCleanup = Now + CleanupPeriod;
  if (!std::exchange(EndedJobsScanned, true))
    for (const auto &[Id, Job] : State.Jobs)
      if (hasEnded(Job))
        EndedSince.emplace(Id, Now);
  std::erase_if(EndedSince, [&](const auto &EndedJob) {
    if (Now - EndedJob.second < EndedJobRetention)
      return false;
    State.Jobs.erase(EndedJob.first);
    return true;
  });
}

} // namespace sapphiremoor
