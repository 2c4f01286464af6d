#include "jobstore/jobwriter.h"

#include "versionregister/voterset.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace sapphiremoor {

namespace {

/// Separators between address and incarnation in the name of a writer, and
/// between writer and number in the name of a partition.
constexpr char IncarnationSeparator = '#';
constexpr char PartitionSeparator = '/';

/// Number of run numbers that the former writer may have used since it last
/// stored the job's progress.
constexpr uint64_t RunNumberGap = 100;

constexpr Duration ResendCheckPeriod = std::chrono::milliseconds(100);

/// Limit on the durable ends in one message.
constexpr std::size_t EndsPerMessage = 200;

bool hasEnded(const JobProgress &Progress) {
  return Progress.Outcome != StoredOutcome::Open;
}

/// Adds the tasks to the progress: the initial state of a job lists none.
void addMissingTasks(const JobSubmission &Job, JobProgress &Progress) {
  Progress.Steps.resize(Job.Steps.size());
  for (std::size_t Step = 0; Step < Job.Steps.size(); ++Step)
    Progress.Steps[Step].resize(Job.Steps[Step].Count);
}

} // namespace

std::string partitionOpener(const std::string &Partition) {
  return Partition.substr(0, Partition.rfind(PartitionSeparator));
}

std::string writerAddress(const std::string &Writer) {
  return Writer.substr(0, Writer.rfind(IncarnationSeparator));
}

std::string writerName(const std::string &Address, uint64_t Incarnation) {
  return Address + IncarnationSeparator + std::to_string(Incarnation);
}

JobWriter::JobWriter(const JobWriterLimits &Limits, const std::string &Self,
                     uint64_t Incarnation)
    : Limits(Limits), Self(Self), Name(writerName(Self, Incarnation)) {
  openPartition();
}

std::vector<WriterEffect> JobWriter::takeEffects() {
  return std::exchange(Effects, {});
}

void JobWriter::openPartition() {
  OpenPartition = Name + PartitionSeparator + std::to_string(NextPartition++);
  OwnedPartitions[OpenPartition] = {};
}

bool JobWriter::ownsOrClaims(const std::string &Partition) const {
  return OwnedPartitions.contains(Partition) || Claims.contains(Partition);
}

const JobProgress *JobWriter::find(const std::string &Id) const {
  const auto It = Jobs.find(Id);
  return It == Jobs.end() ? nullptr : &It->second.Progress;
}

bool JobWriter::endDurable(const std::string &Id) const {
  const auto It = Jobs.find(Id);
  return It != Jobs.end() && hasEnded(It->second.Progress) &&
         It->second.DurableVersion == It->second.Version;
}

bool JobWriter::confirmsEnd(const JobRecord &Record) const {
  if (Record.Progress.Outcome == StoredOutcome::Open)
    return false;
  // A writer forgets a job only once its end is durable.
  return ownsJob(Record.Submission.Id) ? endDurable(Record.Submission.Id)
                                       : ownsPartition(Record.Partition);
}

uint64_t JobWriter::version(const std::string &Id) const {
  const auto It = Jobs.find(Id);
  return It == Jobs.end() ? 0 : It->second.Version;
}

void JobWriter::send(const std::string &Address, JobStoreMessage Message) {
  Effects.emplace_back(SendToCopy{Address, std::move(Message)});
}

void JobWriter::create(const JobSubmission &Job, Instant Now) {
  if (Jobs.contains(Job.Id))
    return;
  OwnedJob &NewJob = Jobs[Job.Id];
  NewJob.Submission = Job;
  NewJob.Partition = OpenPartition;
  NewJob.Version = 1;
  writeToCopies(Job.Id, NewJob, Now);
  renewLease(Now);
}

uint64_t JobWriter::updateProgress(const std::string &Id,
                                   const JobProgress &Progress, Instant Now) {
  const auto It = Jobs.find(Id);
  if (It == Jobs.end())
    return 0;
  OwnedJob &Job = It->second;
  Job.Progress = Progress;
  ++Job.Version;
  writeToCopies(Id, Job, Now);
  return Job.Version;
}

void JobWriter::writeToCopies(const std::string &Id, OwnedJob &Job,
                              Instant Now) {
  Job.LastSent = Now;
  for (const std::string &Address : Copies)
    writeToCopy(Address, Id, Job);
}

void JobWriter::writeToCopy(const std::string &Address, const std::string &Id,
                            const OwnedJob &Job) {
  send(Address, WriteJobs{{Job.Partition, OwnedPartitions.at(Job.Partition)},
                          Voters.Epoch,
                          {makeWrite(Address, Id, Job)}});
}

JobWrite JobWriter::makeWrite(const std::string &Address, const std::string &Id,
                              const OwnedJob &Job) {
  JobWrite Write{Id, Job.Version, Job.Committed, {}, Job.Progress};
  if (!Job.AckedVersions.contains(Address))
    Write.Submission = Job.Submission;
  return Write;
}

void JobWriter::receive(const std::string &Sender,
                        const JobStoreMessage &Message, Instant Now) {
  std::visit([&](const auto &Value) { handle(Sender, Value, Now); }, Message);
}

void JobWriter::handle(const std::string &Sender, const JobsWritten &Reply,
                       Instant Now) {
  const auto OwnedIt = OwnedPartitions.find(Reply.Ownership.Partition);
  if (OwnedIt == OwnedPartitions.end() ||
      OwnedIt->second != Reply.Ownership.WriterBallot)
    return;
  if (Reply.Promised > Reply.Ownership.WriterBallot) {
    recordRound(Reply.Ownership.Partition, Reply.Promised);
    losePartition(Reply.Ownership.Partition);
    return;
  }
  for (const CopyIdentity &Copy : Reply.Copies)
    updateCopyId(Copy);
  for (const StoredVersion &Stored : Reply.Stored)
    handleAcknowledgement(Sender, Reply.Ownership.Partition, Stored, Now);
  for (const std::string &Id : Reply.MissingSubmissions)
    if (const auto It = Jobs.find(Id); It != Jobs.end()) {
      It->second.AckedVersions.erase(Sender);
      writeToCopy(Sender, Id, It->second);
    }
  for (const JobConflict &Conflict : Reply.Conflicts)
    handleConflict(Sender, Reply.Ownership.Partition, Conflict);
}

uint64_t JobWriter::majorityVersion(const OwnedJob &Job) const {
  std::vector<uint64_t> Versions;
  std::ranges::transform(Voters.Voters, std::back_inserter(Versions),
                         [&Job](const std::string &Voter) {
                           const auto It = Job.AckedVersions.find(Voter);
                           return It == Job.AckedVersions.end() ? uint64_t{0}
                                                                : It->second;
                         });
  if (Versions.empty())
    return 0;
  std::ranges::sort(Versions, std::greater{});
  return Versions[Versions.size() / 2];
}

void JobWriter::handleAcknowledgement(const std::string &Sender,
                                      const std::string &WrittenPartition,
                                      const StoredVersion &Stored,
                                      Instant Now) {
  const auto JobIt = Jobs.find(Stored.Id);
  // The versions of a job that a takeover has moved to another partition since
  // this write are counted anew.
  if (JobIt == Jobs.end() || JobIt->second.Partition != WrittenPartition)
    return;
  OwnedJob &Job = JobIt->second;
  Job.ConflictingCopies.erase(Sender);
  uint64_t &AckedVersion = Job.AckedVersions[Sender];
  AckedVersion = std::max(AckedVersion, Stored.Version);
  if (const uint64_t Durable = majorityVersion(Job);
      Durable > Job.DurableVersion) {
    Job.DurableVersion = Durable;
    handleDurable(Stored.Id, Job, Now);
  }
  if (isSettled(Job))
    forget(JobIt);
}

bool JobWriter::hasNewestVersion(const OwnedJob &Job,
                                 const std::string &Address) const {
  const auto AckIt = Job.AckedVersions.find(Address);
  return AckIt != Job.AckedVersions.end() && AckIt->second >= Job.Version;
}

bool JobWriter::isSettled(const OwnedJob &Job) const {
  const auto HasEnd = [&](const std::string &Address) {
    return hasNewestVersion(Job, Address);
  };
  // A copy that is not linked now counts too if it votes: with an open state it
  // would let the job run again after the others have forgotten the end.
  return Job.EndNumber != 0 && std::ranges::all_of(Voters.Voters, HasEnd) &&
         std::ranges::all_of(Copies, HasEnd);
}

void JobWriter::keepEnd(const std::string &Id, OwnedJob &Job) {
  JobSubmission Identity;
  Identity.Id = Id;
  Identity.Stored = true;
  // Swapped, because an assignment or clear() would keep the memory.
  std::swap(Job.Submission, Identity);
  JobProgress End;
  End.Outcome = Job.Progress.Outcome;
  std::swap(Job.Progress, End);
  Job.EndNumber = NextEndNumber++;
  UnsettledEnds.emplace(Job.EndNumber, Id);
}

JobWriter::JobMap::iterator JobWriter::forget(JobMap::iterator It) {
  UnsettledEnds.erase(It->second.EndNumber);
  return Jobs.erase(It);
}

void JobWriter::handleDurable(const std::string &Id, OwnedJob &Job,
                              Instant Now) {
  // The copies must know that the job is committed to this partition before
  // anyone learns that it is stored: until then another partition could still
  // get it.
  if (!std::exchange(Job.Committed, true)) {
    Job.CommitVersion = ++Job.Version;
    writeToCopies(Id, Job, Now);
    return;
  }
  if (Job.DurableVersion < Job.CommitVersion)
    return;
  if (!std::exchange(Job.StoredReported, true))
    Effects.emplace_back(
        JobStored{Job.Submission, Job.Progress, Job.TakenOver});
  Effects.emplace_back(ProgressStored{Id, Job.DurableVersion});
  if (hasEnded(Job.Progress) && Job.DurableVersion == Job.Version &&
      Job.EndNumber == 0)
    keepEnd(Id, Job);
}

void JobWriter::handleConflict(const std::string &Sender,
                               const std::string &WrittenPartition,
                               const JobConflict &Conflict) {
  const auto It = Jobs.find(Conflict.Id);
  // A job that a majority stores cannot belong to another partition.
  if (It == Jobs.end() || It->second.StoredReported)
    return;
  OwnedJob &Job = It->second;
  // The job may have moved to another partition by a takeover since this write.
  if (Job.Partition != WrittenPartition)
    return;
  // A committed job replaces the other one as soon as the copy learns of it.
  if (Job.Committed && !Conflict.Committed)
    return;
  Job.ConflictingCopies.insert(Sender);
  const auto ConflictingVoters = static_cast<std::size_t>(
      std::ranges::count_if(Voters.Voters, [&](const std::string &Voter) {
        return Job.ConflictingCopies.contains(Voter);
      }));
  // While a majority is still possible, a writer must not give the job up: two
  // competing writers would both do so.
  if (ConflictingVoters * 2 < Voters.Voters.size())
    return;
  forget(It);
  Effects.emplace_back(JobHeldElsewhere{Conflict.Id, Conflict.Partition});
}

void JobWriter::updateCopyId(const CopyIdentity &Copy) {
  uint64_t &KnownId = CopyIds[Copy.Vm];
  if (KnownId == Copy.CopyId)
    return;
  const bool Replaced = std::exchange(KnownId, Copy.CopyId) != 0;
  if (Replaced)
    for (auto &[Id, Job] : Jobs)
      Job.AckedVersions.erase(Copy.Vm);
}

void JobWriter::recordRound(const std::string &Partition,
                            const Ballot &SeenBallot) {
  uint64_t &Highest = HighestRounds[Partition];
  Highest = std::max(Highest, SeenBallot.Round);
}

void JobWriter::losePartition(const std::string &Partition) {
  OwnedPartitions.erase(Partition);
  JobsLost Lost;
  for (const auto &[Id, Job] : Jobs)
    if (Job.Partition == Partition)
      Lost.Ids.push_back(Id);
  for (const std::string &Id : Lost.Ids)
    forget(Jobs.find(Id));
  if (Partition == OpenPartition)
    openPartition();
  Effects.emplace_back(std::move(Lost));
}

void JobWriter::claim(const std::string &Partition, const Ballot &KnownBallot,
                      Instant Now) {
  if (ownsOrClaims(Partition))
    return;
  Claim &NewClaim = Claims[Partition];
  recordRound(Partition, KnownBallot);
  NewClaim.ClaimBallot = {HighestRounds[Partition] + 1, Name};
  NewClaim.Started = Now;
  for (const std::string &Voter : Voters.Voters)
    send(Voter,
         ClaimPartition{{Partition, NewClaim.ClaimBallot}, Voters.Epoch});
}

void JobWriter::handle(const std::string &Sender, const PartitionClaimed &Reply,
                       Instant Now) {
  const auto ClaimIt = Claims.find(Reply.Ownership.Partition);
  if (ClaimIt == Claims.end() ||
      ClaimIt->second.ClaimBallot != Reply.Ownership.WriterBallot)
    return;
  if (ClaimIt->second.Won) {
    // Not needed for the claim, but shows which ends this copy has.
    ClaimIt->second.Replies.try_emplace(Sender, Reply);
    return;
  }
  if (Reply.Promised > Reply.Ownership.WriterBallot) {
    recordRound(Reply.Ownership.Partition, Reply.Promised);
    Claims.erase(ClaimIt);
    return;
  }
  auto &Replies = ClaimIt->second.Replies;
  Replies[Sender] = Reply;
  // A promise does not count if the copy that gave it has been lost since.
  for (const CopyIdentity &Copy : Reply.Copies)
    if (const auto ReplyIt = Replies.find(Copy.Vm);
        ReplyIt != Replies.end() &&
        ReplyIt->second.Copies.front().CopyId != Copy.CopyId)
      Replies.erase(ReplyIt);
  std::set<std::string> PromisedVms;
  std::ranges::transform(Replies, std::inserter(PromisedVms, PromisedVms.end()),
                         [](const auto &Entry) { return Entry.first; });
  if (isMajority(Voters, PromisedVms))
    ClaimIt->second.Won = Now;
}

void JobWriter::takeOver(const std::string &Partition, const Claim &WonClaim,
                         Instant Now) {
  OwnedPartitions[Partition] = WonClaim.ClaimBallot;
  std::map<std::string, JobRecord> Newest;
  std::map<std::string, std::set<std::string>> CopiesWithEnd;
  for (const auto &[Sender, Reply] : WonClaim.Replies)
    for (const JobRecord &Record : Reply.Jobs) {
      JobRecord &NewestRecord = Newest[Record.Submission.Id];
      if (NewestRecord.Partition.empty() || isReplacedBy(NewestRecord, Record))
        NewestRecord = Record;
      if (hasEnded(Record.Progress))
        CopiesWithEnd[Record.Submission.Id].insert(Sender);
    }
  for (const auto &[Id, Record] : Newest) {
    if (const auto &WithEnd = CopiesWithEnd[Id]; isMajority(Voters, WithEnd)) {
      adoptDurableEnd(Record, WithEnd, Now);
      continue;
    }
    // Two partitions never both commit a job, so an owned job is replaced only
    // if the other one is committed and the owned one is not.
    const auto OwnIt = Jobs.find(Id);
    if (OwnIt != Jobs.end() && (OwnIt->second.Committed || !Record.Committed))
      continue;
    OwnedJob &NewJob = Jobs.insert_or_assign(Id, OwnedJob{}).first->second;
    NewJob.Submission = Record.Submission;
    NewJob.Progress = Record.Progress;
    if (!hasEnded(NewJob.Progress))
      addMissingTasks(NewJob.Submission, NewJob.Progress);
    for (std::vector<TaskProgress> &Step : NewJob.Progress.Steps)
      for (TaskProgress &Task : Step)
        Task.LastRun += RunNumberGap;
    NewJob.Partition = Partition;
    NewJob.Version = Record.Version + 1;
    NewJob.Committed = Record.Committed;
    NewJob.TakenOver = true;
    // An ended job is stored again but not reported.
    NewJob.StoredReported = hasEnded(Record.Progress);
    writeToCopies(Id, NewJob, Now);
  }
}

void JobWriter::adoptDurableEnd(const JobRecord &Record,
                                const std::set<std::string> &CopiesWithEnd,
                                Instant Now) {
  const std::string &Id = Record.Submission.Id;
  const bool AllVotersHaveEnd =
      std::ranges::all_of(Voters.Voters, [&](const std::string &Voter) {
        return CopiesWithEnd.contains(Voter);
      });
  if (AllVotersHaveEnd || Jobs.contains(Id))
    return;
  OwnedJob &Job = Jobs[Id];
  Job.Progress.Outcome = Record.Progress.Outcome;
  Job.Partition = Record.Partition;
  Job.Version = Record.Version;
  Job.DurableVersion = Record.Version;
  Job.Committed = true;
  Job.TakenOver = true;
  Job.StoredReported = true;
  Job.LastSent = Now;
  for (const std::string &Address : CopiesWithEnd)
    Job.AckedVersions[Address] = Record.Version;
  keepEnd(Id, Job);
}

void JobWriter::handle(const std::string &Sender,
                       const WriterLeaseRenewed &Reply, Instant) {
  const std::vector<std::string> Fenced = Reply.Fenced;
  for (const std::string &Partition : Fenced)
    if (OwnedPartitions.contains(Partition))
      losePartition(Partition);
  if (Reply.Number != RenewNumber)
    return;
  RenewedBy.insert(Sender);
  if (isMajority(Voters, RenewedBy))
    WriterLeaseEnd =
        std::max(WriterLeaseEnd, RenewSent + Limits.WriterLeaseDuration);
}

void JobWriter::handleStall() {
  WriterLeaseEnd = {};
  ++RenewNumber;
  RenewedBy.clear();
}

void JobWriter::renewLease(Instant Now) {
  if (Jobs.empty() || Now - RenewSent < Limits.RenewPeriod)
    return;
  ++RenewNumber;
  RenewSent = Now;
  RenewedBy.clear();
  RenewWriterLease Message{RenewNumber, Voters.Epoch, {}};
  for (const auto &[Partition, WriterBallot] : OwnedPartitions)
    Message.Partitions.push_back({Partition, WriterBallot});
  for (const std::string &Voter : Voters.Voters)
    send(Voter, Message);
}

void JobWriter::sendEnds(const std::string &Address,
                         const std::string &Partition,
                         const std::vector<JobWrite> &Writes) {
  const PartitionOwnership Ownership{Partition, OwnedPartitions.at(Partition)};
  for (std::size_t Begin = 0; Begin < Writes.size(); Begin += EndsPerMessage) {
    const std::size_t End = std::min(Begin + EndsPerMessage, Writes.size());
    send(Address,
         WriteJobs{Ownership,
                   Voters.Epoch,
                   {Writes.begin() + static_cast<std::ptrdiff_t>(Begin),
                    Writes.begin() + static_cast<std::ptrdiff_t>(End)}});
  }
}

void JobWriter::resend(Instant Now) {
  if (Now < NextResend)
    return;
  NextResend = Now + ResendCheckPeriod;
  // Durable ends by address of the copy and by partition.
  std::map<std::pair<std::string, std::string>, std::vector<JobWrite>> Ends;
  for (auto It = Jobs.begin(); It != Jobs.end();) {
    auto &[Id, Job] = *It;
    if (Now - Job.LastSent < Limits.WriteRetryDelay) {
      ++It;
      continue;
    }
    // The voters may have changed since the last acknowledgement.
    if (isSettled(Job)) {
      It = forget(It);
      continue;
    }
    Job.LastSent = Now;
    for (const std::string &Address : Copies) {
      if (hasNewestVersion(Job, Address))
        continue;
      if (Job.EndNumber == 0)
        writeToCopy(Address, Id, Job);
      else
        Ends[{Address, Job.Partition}].push_back(makeWrite(Address, Id, Job));
    }
    ++It;
  }
  for (const auto &[Target, Writes] : Ends)
    sendEnds(Target.first, Target.second, Writes);
  limitUnsettledEnds();
}

void JobWriter::limitUnsettledEnds() {
  if (UnsettledEnds.empty())
    ForgetsEnds = false;
  if (UnsettledEnds.size() <= Limits.MaxUnsettledEnds)
    return;
  while (UnsettledEnds.size() > Limits.MaxUnsettledEnds)
    forget(Jobs.find(UnsettledEnds.begin()->second));
  if (!std::exchange(ForgetsEnds, true))
    Effects.emplace_back(EndsForgotten{UnsettledEnds.size()});
}

void JobWriter::tick(Instant Now) {
  renewLease(Now);
  resend(Now);
  std::vector<std::string> ReadyPartitions;
  for (const auto &[Partition, PartitionClaim] : Claims)
    if (PartitionClaim.Won && Now - *PartitionClaim.Won >= Limits.TakeoverDelay)
      ReadyPartitions.push_back(Partition);
  for (const std::string &Partition : ReadyPartitions) {
    const Claim WonClaim = std::move(Claims.at(Partition));
    Claims.erase(Partition);
    takeOver(Partition, WonClaim, Now);
  }
  std::erase_if(Claims, [&](const auto &Entry) {
    return !Entry.second.Won &&
           Now - Entry.second.Started > Limits.ClaimTimeout;
  });
}

} // namespace sapphiremoor
