#include "jobstore/jobcopy.h"

#include "versionregister/voterset.h"

#include <algorithm>
#include <utility>

namespace sapphiremoor {

namespace {

/// Time for which callers can ask for ended jobs, with a margin.
constexpr Duration EndedKept = std::chrono::seconds(130);

constexpr Duration ForgetPeriod = std::chrono::seconds(1);

constexpr std::size_t JobsPerPage = 200;
constexpr Duration PageRetry = std::chrono::milliseconds(400);

bool ended(const JobRecord &Of) {
  return Of.Progress.Outcome != StoredOutcome::Open;
}

/// Of an ended job only its name and its outcome are needed.
void shorten(JobRecord &Of) {
  if (!ended(Of))
    return;
  Of.Submission.Policy = {};
  Of.Submission.Spec.clear();
  Of.Submission.Steps.clear();
  Of.Progress.Steps.clear();
}

void applyOne(CopyState &State, const PromiseEntry &Entry) {
  Ballot &Promised = State.Promises[Entry.Right.Partition];
  Promised = std::max(Promised, Entry.Right.Of);
}

void applyOne(CopyState &State, const JobEntry &Entry) {
  applyOne(State, PromiseEntry{Entry.Under});
  JobRecord &Of = State.Jobs[Entry.Write.Id];
  if (Entry.Write.Submission)
    Of.Submission = *Entry.Write.Submission;
  Of.Progress = Entry.Write.Progress;
  Of.Version = Entry.Write.Version;
  Of.Established = Entry.Write.Established ||
                   (Of.Established && Of.Partition == Entry.Under.Partition);
  Of.Partition = Entry.Under.Partition;
  Of.Of = Entry.Under.Of;
  shorten(Of);
}

void applyOne(CopyState &State, const RebuiltEntry &Entry) {
  State.Rebuilt[Entry.Other.Vm] = Entry.Other.Copy;
}

void applyOne(CopyState &State, const StandingEntry &Entry) {
  State.Standing = Entry;
}

} // namespace

void applyEntry(CopyState &State, const CopyEntry &Entry) {
  std::visit([&State](const auto &Each) { applyOne(State, Each); }, Entry);
}

JobCopy::JobCopy(const CopyStart &Start)
    : Self(Start.Self), Fresh(Start.Fresh), State(Start.Stored) {
  if (State.Standing.Copy != 0)
    return;
  State.Standing.Copy = Fresh;
  if (Start.FirstStart)
    standing(true);
}

void JobCopy::voters(const VoterSet &Now) {
  Voters = Now;
  if (Now.Epoch <= State.Standing.Epoch)
    return;
  // What happened while this VM may have been no voter is not in its copy.
  const bool Continuous =
      State.Standing.Epoch == 0 || Now.Epoch == State.Standing.Epoch + 1;
  State.Standing.Epoch = Now.Epoch;
  State.Standing.LeastEpoch = std::max(State.Standing.LeastEpoch, Now.Epoch);
  standing(isVoter(Now, Self) && State.Standing.Whole && Continuous);
}

void JobCopy::standing(bool Whole) {
  if (!Whole && std::exchange(State.Standing.Whole, false)) {
    State.Standing.Copy = Fresh;
    Rebuild = {};
  }
  State.Standing.Whole = Whole;
  append(State.Standing);
}

void JobCopy::received(const std::string &From, const JobStoreMessage &Message,
                       Instant Now) {
  std::visit([&](const auto &Each) { handle(From, Each, Now); }, Message);
}

void JobCopy::stored(uint64_t Number) {
  LastDurable = std::max(LastDurable, Number);
  const auto End = AfterAppend.upper_bound(Number);
  for (auto Each = AfterAppend.begin(); Each != End; ++Each)
    Effects.emplace_back(Each->second);
  AfterAppend.erase(AfterAppend.begin(), End);
}

std::vector<CopyEffect> JobCopy::takeEffects() {
  return std::exchange(Effects, {});
}

const JobRecord *JobCopy::find(const std::string &Id) const {
  const auto Found = State.Jobs.find(Id);
  return Found == State.Jobs.end() ? nullptr : &Found->second;
}

Ballot JobCopy::promised(const std::string &Partition) const {
  const auto Found = State.Promises.find(Partition);
  return Found == State.Promises.end() ? Ballot{} : Found->second;
}

bool JobCopy::rebuilding() const {
  return !State.Standing.Whole && isVoter(Voters, Self);
}

void JobCopy::append(CopyEntry Entry) {
  Effects.emplace_back(AppendEntry{++LastAppend, std::move(Entry)});
}

void JobCopy::sendDurable(const std::string &To, JobStoreMessage Message) {
  if (LastAppend == LastDurable)
    Effects.emplace_back(SendToCopy{To, std::move(Message)});
  else
    AfterAppend.emplace(LastAppend, SendToCopy{To, std::move(Message)});
}

std::vector<CopyName> JobCopy::copyNames() const {
  std::vector<CopyName> Names{{Self, State.Standing.Copy}};
  for (const auto &[Vm, Copy] : State.Rebuilt)
    Names.push_back({Vm, Copy});
  return Names;
}

bool JobCopy::obsolete(uint64_t Epoch) {
  if (Epoch < State.Standing.LeastEpoch)
    return true;
  if (Epoch > State.Standing.LeastEpoch) {
    State.Standing.LeastEpoch = Epoch;
    append(State.Standing);
  }
  return false;
}

void JobCopy::handle(const std::string &From, const WriteJobs &Request,
                     Instant Now) {
  if (obsolete(Request.Epoch))
    return;
  JobsWritten Reply{Request.Under,
                    promised(Request.Under.Partition),
                    copyNames(),
                    {},
                    {},
                    {}};
  if (Reply.Promised <= Request.Under.Of) {
    Reply.Promised = Request.Under.Of;
    for (const JobWrite &Each : Request.Jobs)
      writeOne(Request.Under, Each, Reply, Now);
  }
  // A VM that is no voter answers too, so that its copy gets all writes; only
  // voters are counted.
  if (!rebuilding())
    sendDurable(From, std::move(Reply));
}

void JobCopy::writeOne(const PartitionRight &Under, const JobWrite &Write,
                       JobsWritten &Reply, Instant Now) {
  const JobRecord *Known = find(Write.Id);
  const bool Other = Known != nullptr && Known->Partition != Under.Partition;
  if (Other && (Known->Established || !Write.Established)) {
    Reply.Held.push_back({Write.Id, Known->Partition, Known->Established});
    return;
  }
  if ((Known == nullptr || Other) && !Write.Submission) {
    Reply.Incomplete.push_back(Write.Id);
    return;
  }
  const bool Older = Known == nullptr || Other || Known->Of < Under.Of ||
                     (Known->Of == Under.Of && Known->Version < Write.Version);
  if (Older) {
    const JobEntry Entry{Under, Write};
    applyEntry(State, Entry);
    append(Entry);
    if (Write.Progress.Outcome != StoredOutcome::Open)
      EndedSince.emplace(Write.Id, Now);
  }
  Reply.Stored.push_back({Write.Id, find(Write.Id)->Version});
}

void JobCopy::handle(const std::string &From, const RenewRights &Request,
                     Instant) {
  if (obsolete(Request.Epoch) || !State.Standing.Whole)
    return;
  RightsRenewed Reply{Request.Number, {}};
  for (const PartitionRight &Each : Request.Rights)
    if (promised(Each.Partition) > Each.Of)
      Reply.Fenced.push_back(Each.Partition);
  // It tells of promises only, and too many are told rather than too few: no
  // need to wait for a slow disk, which would end the right of the writer.
  Effects.emplace_back(SendToCopy{From, std::move(Reply)});
}

void JobCopy::handle(const std::string &From, const ClaimPartition &Request,
                     Instant) {
  if (obsolete(Request.Epoch) || !State.Standing.Whole)
    return;
  const PartitionRight &Right = Request.Right;
  PartitionClaimed Reply{Right, promised(Right.Partition), copyNames(), {}};
  if (Reply.Promised <= Right.Of) {
    Reply.Promised = Right.Of;
    applyEntry(State, PromiseEntry{Right});
    append(PromiseEntry{Right});
    for (const auto &[Id, Each] : State.Jobs)
      if (Each.Partition == Right.Partition)
        Reply.Jobs.push_back(Each);
  }
  sendDurable(From, std::move(Reply));
}

void JobCopy::handle(const std::string &From, const FetchCopy &Request,
                     Instant) {
  if (obsolete(Request.Epoch) || !State.Standing.Whole)
    return;
  if (State.Rebuilt[From] != Request.Copy) {
    const RebuiltEntry Entry{{From, Request.Copy}};
    applyEntry(State, Entry);
    append(Entry);
  }
  CopyPage Page{Request.After, {}, {}, false};
  auto Each = State.Jobs.upper_bound(Request.After);
  for (; Each != State.Jobs.end() && Page.Jobs.size() < JobsPerPage; ++Each)
    Page.Jobs.push_back(Each->second);
  Page.Last = Each == State.Jobs.end();
  for (const auto &[Partition, Of] : State.Promises)
    Page.Promises.push_back({Partition, Of});
  sendDurable(From, std::move(Page));
}

void JobCopy::handle(const std::string &From, const CopyPage &Page,
                     Instant Now) {
  const auto Asked = Rebuild.After.find(From);
  if (State.Standing.Whole || Asked == Rebuild.After.end() ||
      Asked->second != Page.After)
    return;
  for (const PartitionRight &Each : Page.Promises) {
    applyEntry(State, PromiseEntry{Each});
    append(PromiseEntry{Each});
  }
  for (const JobRecord &Each : Page.Jobs) {
    const std::string &Id = Each.Submission.Id;
    const JobRecord *Known = find(Id);
    if (Known == nullptr || olderThan(*Known, Each)) {
      const JobEntry Entry{
          {Each.Partition, Each.Of},
          {Id, Each.Version, Each.Established, Each.Submission, Each.Progress}};
      applyEntry(State, Entry);
      append(Entry);
      if (ended(Each))
        EndedSince.emplace(Id, Now);
    }
    Asked->second = Id;
  }
  if (Page.Last)
    Rebuild.Complete.insert(From);
  considerWhole();
  NextAsk = Now;
  if (!State.Standing.Whole)
    askPages(Now);
}

void JobCopy::considerWhole() {
  if (isMajority(Voters, Rebuild.Complete))
    standing(true);
}

void JobCopy::askPages(Instant Now) {
  if (Now < NextAsk)
    return;
  NextAsk = Now + PageRetry;
  for (const std::string &Each : Voters.Voters)
    if (Each != Self && !Rebuild.Complete.contains(Each))
      Effects.emplace_back(
          SendToCopy{Each, FetchCopy{Rebuild.After[Each], Voters.Epoch,
                                     State.Standing.Copy}});
}

void JobCopy::tick(Instant Now) {
  if (rebuilding())
    askPages(Now);
  if (Now < NextForget)
    return;
  NextForget = Now + ForgetPeriod;
  if (!std::exchange(Scanned, true))
    for (const auto &[Id, Each] : State.Jobs)
      if (ended(Each))
        EndedSince.emplace(Id, Now);
  std::erase_if(EndedSince, [&](const auto &Each) {
    if (Now - Each.second < EndedKept)
      return false;
    State.Jobs.erase(Each.first);
    return true;
  });
}

} // namespace sapphiremoor
