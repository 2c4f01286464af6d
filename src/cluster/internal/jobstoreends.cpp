#include "cluster/jobstoreservice.h"

#include "versionregister/voterset.h"

#include <utility>
#include <vector>

namespace sapphiremoor {

namespace {

constexpr Duration PendingEndRetryDelay = std::chrono::milliseconds(300);

/// Returns the progress of a task, or null if there is none. \p JobState may be
/// const.
template <typename Progress>
auto findTask(Progress &JobState, const TaskId &Task)
    -> decltype(&JobState.Steps[Task.Step][Task.Index]) {
  if (Task.Step >= JobState.Steps.size() ||
      Task.Index >= JobState.Steps[Task.Step].size())
    return nullptr;
  return &JobState.Steps[Task.Step][Task.Index];
}

/// Records the end of a run in the progress of a job that no dispatcher runs
/// yet. Returns false if the task is unknown, if another run has completed it,
/// or if the run did not succeed: the same failure may be reported again, and
/// only the dispatcher recognises repeated reports.
bool countEnd(JobProgress &Progress, const RunEndNotice &Notice) {
  TaskProgress *Task = findTask(Progress, Notice.Task);
  if (Task == nullptr || Notice.Outcome != RunOutcome::Done ||
      (Task->DoneRun != 0 && Task->DoneRun != Notice.RunNumber))
    return false;
  Task->DoneRun = Notice.RunNumber;
  return true;
}

/// Returns true if a later run of the task was started or may have been
/// started.
bool isSuperseded(const JobProgress &Progress, const TaskId &Task,
                  uint64_t Run) {
  const TaskProgress *State = findTask(Progress, Task);
  return State == nullptr || (State->DoneRun != Run && State->LastRun > Run);
}

} // namespace

void JobStoreService::acknowledgeEnd(const EndedRunId &End, bool Superseded) {
  Dispatch.dispatcher().handleEndStored(End, Superseded, Loop.now());
}

void JobStoreService::handleLocalRunEnd(const RunEnded &Effect) {
  if (Effect.Applied && Writer.ownsJob(Effect.Task.Job)) {
    confirmWhenDurable(Effect.Task.Job, LocalEnd{Effect, false});
    return;
  }
  addPendingEnd(Effect);
}

void JobStoreService::addPendingEnd(const RunEnded &Report) {
  PendingEnds[Report.EndId].Report = Report;
}

template <typename EndConfirmation>
bool JobStoreService::applyEnd(const RunEndNotice &Notice,
                               EndConfirmation Pending) {
  const std::string &Job = Notice.Task.Job;
  if (!Writer.ownsJob(Job)) {
    // The writer forgets a job once the job's end is durable on all copies.
    // Which run was counted is then unknown, so the end is reported as
    // superseded.
    const JobRecord *Record = LocalCopy->find(Job);
    const bool JobFinished =
        Record != nullptr && Writer.ownsPartition(Record->Partition);
    Pending.Superseded = true;
    if (JobFinished)
      confirm(Pending);
    return JobFinished;
  }
  const auto Applied = Dispatch.dispatcher().handleFormerRunEnd(
      Notice.Task, Notice.RunNumber, Notice.Outcome, Loop.now());
  if (Applied)
    Dispatch.run();
  else if (!Writer.endDurable(Job))
    return false;
  Pending.Superseded =
      Applied ? *Applied == FormerRunEnd::Superseded
              : isSuperseded(*Writer.find(Job), Notice.Task, Notice.RunNumber);
  confirmWhenDurable(Job, Pending);
  return true;
}

void JobStoreService::applyEarlyEnds(const std::string &Job,
                                     JobProgress &Progress) {
  std::vector<Confirmation> Counted;
  if (const auto Early = EarlyEnds.extract(Job))
    for (const ReportedEnd &End : Early.mapped())
      if (countEnd(Progress, End.Notice))
        Counted.emplace_back(End);
  std::erase_if(PendingEnds, [&](const auto &Entry) {
    const RunEnded &Report = Entry.second.Report;
    if (Report.Task.Job != Job ||
        !countEnd(Progress, {Report.Task, Report.RunNumber, Report.Outcome}))
      return false;
    Counted.emplace_back(LocalEnd{Report, false});
    return true;
  });
  if (Counted.empty())
    return;
  Writer.updateProgress(Job, Progress, Loop.now());
  for (const Confirmation &Pending : Counted)
    confirmWhenDurable(Job, Pending);
}

bool JobStoreService::resolvePendingEnd(PendingEnd &Pending) {
  Pending.NextAttempt = Loop.now() + PendingEndRetryDelay;
  const RunEnded &Report = Pending.Report;
  const JobRecord *Record = LocalCopy->find(Report.Task.Job);
  if (Record == nullptr && Pending.WriterName.empty()) {
    askVotersForJob(Pending);
    if (!isMajority(Configuration.voters(), Pending.VotersWithoutJob))
      return false;
    acknowledgeEnd(Report.EndId, false);
    return true;
  }
  const RunEndNotice Notice{Report.Task, Report.RunNumber, Report.Outcome};
  if (applyEnd(Notice, LocalEnd{Report, false}))
    return true;
  const std::string WriterName =
      Record == nullptr ? std::exchange(Pending.WriterName, {})
                        : LocalCopy->partitionWriter(Record->Partition);
  if (const auto Holder = findLiveWriter(WriterName);
      Holder && *Holder != Bus.self())
    Bus.send(*Holder, JobStoreMessage(Notice));
  return false;
}

void JobStoreService::resolvePendingEnds() {
  const Instant Now = Loop.now();
  std::vector<EndedRunId> DueEnds;
  for (const auto &[Key, Pending] : PendingEnds)
    if (Now >= Pending.NextAttempt)
      DueEnds.push_back(Key);
  // An attempt may add and remove other pending ends.
  for (const EndedRunId &Key : DueEnds)
    if (const auto It = PendingEnds.find(Key);
        It != PendingEnds.end() && resolvePendingEnd(It->second))
      PendingEnds.erase(Key);
}

void JobStoreService::askVotersForJob(PendingEnd &Pending) {
  const std::string &Job = Pending.Report.Task.Job;
  for (const std::string &Voter : Configuration.voters().Voters) {
    if (Voter == describe(Settings.AdvertisedPeer)) {
      if (LocalCopy->isComplete())
        Pending.VotersWithoutJob.insert(Voter);
      continue;
    }
    const MemberInfo *Member = Bus.members().findByAddress(Voter);
    if (Member != nullptr)
      Bus.send(Member->Id, JobStoreMessage(LocateJob{Job}));
  }
}

void JobStoreService::handleJobLocation(const std::string &Address,
                                        const JobLocation &Location) {
  for (auto &[Key, Pending] : PendingEnds) {
    if (Pending.Report.Task.Job != Location.Job)
      continue;
    if (Location.HasJob)
      Pending.WriterName = Location.Writer;
    else
      Pending.VotersWithoutJob.insert(Address);
    Pending.NextAttempt = {};
  }
}

void JobStoreService::handlePeerRunEnd(const VmId &Sender,
                                       const RunEndNotice &Notice) {
  const ReportedEnd End{Sender, Notice, false};
  if (!applyEnd(Notice, End) && isTakeoverPending(Notice.Task.Job))
    EarlyEnds[Notice.Task.Job].insert(End);
}

bool JobStoreService::isTakeoverPending(const std::string &Job) const {
  const JobRecord *Record = LocalCopy->find(Job);
  return Writer.ownsJob(Job) ||
         (Record != nullptr && Writer.ownsOrClaims(Record->Partition));
}

void JobStoreService::handleRunEndStored(const RunEndStored &Message) {
  std::erase_if(PendingEnds, [&](const auto &Entry) {
    const RunEnded &Report = Entry.second.Report;
    if (Report.Task != Message.Task || Report.RunNumber != Message.RunNumber)
      return false;
    acknowledgeEnd(Report.EndId, Message.Superseded);
    return true;
  });
}

} // namespace sapphiremoor
