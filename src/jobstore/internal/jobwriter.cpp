#include "jobstore/jobwriter.h"

#include "versionregister/voterset.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace sapphiremoor {

namespace {

/// Separates address and life in the name of a writer, and the number of a
/// partition from its opener.
constexpr char LifeMark = '#';
constexpr char PartitionMark = '/';

/// Run numbers that the former writer may have given out since its last stored
/// progress.
constexpr uint64_t RunNumberGap = 100;

bool ended(const JobProgress &Of) { return Of.Outcome != StoredOutcome::Open; }

/// The state that a job is created with names no tasks.
void addMissingTasks(const JobSubmission &Job, JobProgress &Of) {
  Of.Steps.resize(Job.Steps.size());
  for (std::size_t Step = 0; Step < Job.Steps.size(); ++Step)
    Of.Steps[Step].resize(Job.Steps[Step].Count);
}

} // namespace

std::string openerOf(const std::string &Partition) {
  return Partition.substr(0, Partition.rfind(PartitionMark));
}

std::string addressOfWriter(const std::string &Writer) {
  return Writer.substr(0, Writer.rfind(LifeMark));
}

std::string writerName(const std::string &Address, uint64_t Life) {
  return Address + LifeMark + std::to_string(Life);
}

JobWriter::JobWriter(const JobWriterLimits &Limits, const std::string &Self,
                     uint64_t Life)
    : Limits(Limits), Self(Self), Name(writerName(Self, Life)) {
  openPartition();
}

std::vector<WriterEffect> JobWriter::takeEffects() {
  return std::exchange(Effects, {});
}

void JobWriter::openPartition() {
  OpenPartition = Name + PartitionMark + std::to_string(NextPartition++);
  Rights[OpenPartition] = {};
}

bool JobWriter::writes(const std::string &Partition) const {
  return Rights.contains(Partition) || Claims.contains(Partition);
}

const JobProgress *JobWriter::find(const std::string &Id) const {
  const auto Found = Jobs.find(Id);
  return Found == Jobs.end() ? nullptr : &Found->second.Progress;
}

bool JobWriter::endDurable(const std::string &Id) const {
  const auto Found = Jobs.find(Id);
  return Found != Jobs.end() && ended(Found->second.Progress) &&
         Found->second.Durable == Found->second.Version;
}

uint64_t JobWriter::version(const std::string &Id) const {
  const auto Found = Jobs.find(Id);
  return Found == Jobs.end() ? 0 : Found->second.Version;
}

void JobWriter::send(const std::string &To, JobStoreMessage Message) {
  Effects.emplace_back(SendToCopy{To, std::move(Message)});
}

void JobWriter::create(const JobSubmission &Job, Instant Now) {
  if (Jobs.contains(Job.Id))
    return;
  OwnJob &Added = Jobs[Job.Id];
  Added.Submission = Job;
  Added.Partition = OpenPartition;
  Added.Version = 1;
  write(Job.Id, Added, Now);
  renew(Now);
}

uint64_t JobWriter::progress(const std::string &Id, const JobProgress &Progress,
                             Instant Now) {
  const auto Found = Jobs.find(Id);
  if (Found == Jobs.end())
    return 0;
  OwnJob &Of = Found->second;
  Of.Progress = Progress;
  ++Of.Version;
  write(Id, Of, Now);
  return Of.Version;
}

void JobWriter::write(const std::string &Id, OwnJob &Of, Instant Now) {
  Of.Sent = Now;
  for (const std::string &Each : Copies)
    writeTo(Each, Id, Of);
}

void JobWriter::writeTo(const std::string &To, const std::string &Id,
                        const OwnJob &Of) {
  JobWrite Write{Id, Of.Version, Of.Established, {}, Of.Progress};
  if (!Of.Acknowledged.contains(To))
    Write.Submission = Of.Submission;
  send(To, WriteJobs{{Of.Partition, Rights.at(Of.Partition)},
                     Voters.Epoch,
                     {std::move(Write)}});
}

void JobWriter::received(const std::string &From,
                         const JobStoreMessage &Message, Instant Now) {
  std::visit([&](const auto &Each) { handle(From, Each, Now); }, Message);
}

void JobWriter::handle(const std::string &From, const JobsWritten &Reply,
                       Instant Now) {
  const auto Right = Rights.find(Reply.Under.Partition);
  if (Right == Rights.end() || Right->second != Reply.Under.Of)
    return;
  if (Reply.Promised > Reply.Under.Of) {
    roundMet(Reply.Under.Partition, Reply.Promised);
    lost(Reply.Under.Partition);
    return;
  }
  for (const CopyName &Each : Reply.Copies)
    copyNamed(Each);
  for (const StoredVersion &Each : Reply.Stored)
    acknowledged(From, Each, Now);
  for (const std::string &Id : Reply.Incomplete)
    if (const auto Found = Jobs.find(Id); Found != Jobs.end()) {
      Found->second.Acknowledged.erase(From);
      writeTo(From, Id, Found->second);
    }
  for (const HeldJob &Each : Reply.Held)
    heldElsewhere(From, Reply.Under.Partition, Each);
}

uint64_t JobWriter::majorityVersion(const OwnJob &Of) const {
  std::vector<uint64_t> Versions;
  std::ranges::transform(Voters.Voters, std::back_inserter(Versions),
                         [&Of](const std::string &Voter) {
                           const auto Found = Of.Acknowledged.find(Voter);
                           return Found == Of.Acknowledged.end()
                                      ? uint64_t{0}
                                      : Found->second;
                         });
  if (Versions.empty())
    return 0;
  std::ranges::sort(Versions, std::greater{});
  return Versions[Versions.size() / 2];
}

void JobWriter::acknowledged(const std::string &From,
                             const StoredVersion &Stored, Instant Now) {
  const auto Found = Jobs.find(Stored.Id);
  if (Found == Jobs.end())
    return;
  OwnJob &Of = Found->second;
  Of.HeldBy.erase(From);
  uint64_t &Known = Of.Acknowledged[From];
  Known = std::max(Known, Stored.Version);
  if (const uint64_t Durable = majorityVersion(Of); Durable > Of.Durable) {
    Of.Durable = Durable;
    becameDurable(Stored.Id, Of, Now);
  }
  const bool Everywhere =
      std::ranges::all_of(Copies, [&Of](const std::string &Each) {
        const auto At = Of.Acknowledged.find(Each);
        return At != Of.Acknowledged.end() && At->second == Of.Version;
      });
  if (ended(Of.Progress) && Everywhere)
    Jobs.erase(Found);
}

void JobWriter::becameDurable(const std::string &Id, OwnJob &Of, Instant Now) {
  // The copies have to know that the job belongs here before anybody is told
  // that it is stored: until then another partition could still get it.
  if (!std::exchange(Of.Established, true)) {
    Of.RunsFrom = ++Of.Version;
    write(Id, Of, Now);
    return;
  }
  if (Of.Durable < Of.RunsFrom)
    return;
  if (!std::exchange(Of.Running, true))
    Effects.emplace_back(JobStored{Of.Submission, Of.Progress, Of.TakenOver});
  Effects.emplace_back(ProgressStored{Id, Of.Durable});
}

void JobWriter::heldElsewhere(const std::string &From,
                              const std::string &Written, const HeldJob &Held) {
  const auto Found = Jobs.find(Held.Id);
  // A job that a majority has cannot be another partition's.
  if (Found == Jobs.end() || Found->second.Running)
    return;
  OwnJob &Of = Found->second;
  // The job may have come here by a takeover since it was written.
  if (Of.Partition != Written)
    return;
  // An established job replaces the other one when the copy is told.
  if (Of.Established && !Held.Established)
    return;
  Of.HeldBy.insert(From);
  const auto Against = static_cast<std::size_t>(
      std::ranges::count_if(Voters.Voters, [&](const std::string &Voter) {
        return Of.HeldBy.contains(Voter);
      }));
  // While a majority is possible, neither of two writers may give up: both
  // would.
  if (Against * 2 < Voters.Voters.size())
    return;
  Jobs.erase(Found);
  Effects.emplace_back(JobHeldElsewhere{Held.Id, Held.Partition});
}

void JobWriter::copyNamed(const CopyName &Named) {
  uint64_t &Known = CopyNames[Named.Vm];
  if (Known == Named.Copy)
    return;
  const bool Replaced = std::exchange(Known, Named.Copy) != 0;
  if (Replaced)
    for (auto &[Id, Of] : Jobs)
      Of.Acknowledged.erase(Named.Vm);
}

void JobWriter::roundMet(const std::string &Partition, const Ballot &Of) {
  uint64_t &Highest = HighestRounds[Partition];
  Highest = std::max(Highest, Of.Round);
}

void JobWriter::lost(const std::string &Partition) {
  Rights.erase(Partition);
  JobsLost Told;
  for (const auto &[Id, Of] : Jobs)
    if (Of.Partition == Partition)
      Told.Ids.push_back(Id);
  for (const std::string &Id : Told.Ids)
    Jobs.erase(Id);
  if (Partition == OpenPartition)
    openPartition();
  Effects.emplace_back(std::move(Told));
}

void JobWriter::claim(const std::string &Partition, const Ballot &Known,
                      Instant Now) {
  if (writes(Partition))
    return;
  Claim &Of = Claims[Partition];
  roundMet(Partition, Known);
  Of.Of = {HighestRounds[Partition] + 1, Name};
  Of.Started = Now;
  for (const std::string &Voter : Voters.Voters)
    send(Voter, ClaimPartition{{Partition, Of.Of}, Voters.Epoch});
}

void JobWriter::handle(const std::string &From, const PartitionClaimed &Reply,
                       Instant Now) {
  const auto Found = Claims.find(Reply.Right.Partition);
  if (Found == Claims.end() || Found->second.Of != Reply.Right.Of ||
      Found->second.Won)
    return;
  if (Reply.Promised > Reply.Right.Of) {
    roundMet(Reply.Right.Partition, Reply.Promised);
    Claims.erase(Found);
    return;
  }
  auto &Replies = Found->second.Replies;
  Replies[From] = Reply;
  // A promise of a copy that was lost meanwhile does not count.
  for (const CopyName &Each : Reply.Copies)
    if (const auto Other = Replies.find(Each.Vm);
        Other != Replies.end() &&
        Other->second.Copies.front().Copy != Each.Copy)
      Replies.erase(Other);
  std::set<std::string> Promised;
  std::ranges::transform(Replies, std::inserter(Promised, Promised.end()),
                         [](const auto &Each) { return Each.first; });
  if (isMajority(Voters, Promised))
    Found->second.Won = Now;
}

void JobWriter::takeOver(const std::string &Partition, const Claim &Won,
                         Instant Now) {
  Rights[Partition] = Won.Of;
  std::map<std::string, JobRecord> Newest;
  std::map<std::string, std::set<std::string>> EndedAt;
  for (const auto &[From, Reply] : Won.Replies)
    for (const JobRecord &Each : Reply.Jobs) {
      JobRecord &Known = Newest[Each.Submission.Id];
      if (Known.Partition.empty() || olderThan(Known, Each))
        Known = Each;
      if (ended(Each.Progress))
        EndedAt[Each.Submission.Id].insert(From);
    }
  for (const auto &[Id, Record] : Newest) {
    // The end is durable already.
    if (isMajority(Voters, EndedAt[Id]))
      continue;
    // What another partition holds of an own job was never established.
    const auto Own = Jobs.find(Id);
    if (Own != Jobs.end() && (Own->second.Established || !Record.Established))
      continue;
    OwnJob &Added = Jobs.insert_or_assign(Id, OwnJob{}).first->second;
    Added.Submission = Record.Submission;
    Added.Progress = Record.Progress;
    if (!ended(Added.Progress))
      addMissingTasks(Added.Submission, Added.Progress);
    for (std::vector<TaskProgress> &Step : Added.Progress.Steps)
      for (TaskProgress &Task : Step)
        Task.LastRun += RunNumberGap;
    Added.Partition = Partition;
    Added.Version = Record.Version + 1;
    Added.Established = Record.Established;
    Added.TakenOver = true;
    // An ended job is only stored again.
    Added.Running = ended(Record.Progress);
    write(Id, Added, Now);
  }
}

void JobWriter::handle(const std::string &From, const RightsRenewed &Reply,
                       Instant) {
  const std::vector<std::string> Fenced = Reply.Fenced;
  for (const std::string &Partition : Fenced)
    if (Rights.contains(Partition))
      lost(Partition);
  if (Reply.Number != RenewNumber)
    return;
  RenewedBy.insert(From);
  if (isMajority(Voters, RenewedBy))
    RightUntil = std::max(RightUntil, RenewSent + Limits.RightKept);
}

void JobWriter::stalled() {
  RightUntil = {};
  ++RenewNumber;
  RenewedBy.clear();
}

void JobWriter::renew(Instant Now) {
  if (Jobs.empty() || Now - RenewSent < Limits.RenewPeriod)
    return;
  ++RenewNumber;
  RenewSent = Now;
  RenewedBy.clear();
  RenewRights Message{RenewNumber, Voters.Epoch, {}};
  for (const auto &[Partition, Of] : Rights)
    Message.Rights.push_back({Partition, Of});
  for (const std::string &Voter : Voters.Voters)
    send(Voter, Message);
}

void JobWriter::resend(Instant Now) {
  for (auto &[Id, Of] : Jobs) {
    if (Now - Of.Sent < Limits.WriteRetry)
      continue;
    Of.Sent = Now;
    for (const std::string &Each : Copies) {
      const auto At = Of.Acknowledged.find(Each);
      if (At == Of.Acknowledged.end() || At->second < Of.Version)
        writeTo(Each, Id, Of);
    }
  }
}

void JobWriter::tick(Instant Now) {
  renew(Now);
  resend(Now);
  std::vector<std::string> Ready;
  for (const auto &[Partition, Of] : Claims)
    if (Of.Won && Now - *Of.Won >= Limits.TakeoverPause)
      Ready.push_back(Partition);
  for (const std::string &Partition : Ready) {
    const Claim Won = std::move(Claims.at(Partition));
    Claims.erase(Partition);
    takeOver(Partition, Won, Now);
  }
  std::erase_if(Claims, [&](const auto &Each) {
    return !Each.second.Won && Now - Each.second.Started > Limits.ClaimLimit;
  });
}

} // namespace sapphiremoor
