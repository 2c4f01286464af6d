#include "cluster/jobstoreservice.h"

#include "versionregister/voterset.h"

#include <utility>

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
    whenDurable(
        Effect.Task.Job,
        [this, EndId = Effect.EndId] { acknowledgeEnd(EndId, false); }, Effect);
    return;
  }
  PendingEnds.push_back({Effect, {}, {}, {}});
}

bool JobStoreService::applyEnd(const RunEndNotice &Notice, EndHandler Handler) {
  const std::string &Job = Notice.Task.Job;
  if (!Writer.ownsJob(Job)) {
    // The writer forgets a job once the job's end is durable on all copies.
    // Which run was counted is then unknown, so the end is reported as
    // superseded.
    const JobRecord *Record = LocalCopy->find(Job);
    const bool JobFinished =
        Record != nullptr && Writer.ownsPartition(Record->Partition);
    if (JobFinished)
      Handler(true);
    return JobFinished;
  }
  const auto Applied = Dispatch.dispatcher().handleFormerRunEnd(
      Notice.Task, Notice.RunNumber, Notice.Outcome, Loop.now());
  if (Applied)
    Dispatch.run();
  else if (!Writer.endDurable(Job))
    return false;
  const bool Superseded =
      Applied ? *Applied == FormerRunEnd::Superseded
              : isSuperseded(*Writer.find(Job), Notice.Task, Notice.RunNumber);
  whenDurable(
      Job, [Handler = std::move(Handler), Superseded] { Handler(Superseded); });
  return true;
}

void JobStoreService::applyEarlyEnds(const std::string &Job,
                                     JobProgress &Progress) {
  std::vector<EndHandler> Handlers;
  const auto [Begin, End] = EarlyEnds.equal_range(Job);
  for (auto It = Begin; It != End; ++It)
    if (countEnd(Progress, It->second.first))
      Handlers.push_back(std::move(It->second.second));
  EarlyEnds.erase(Begin, End);
  std::erase_if(PendingEnds, [&](const PendingEnd &Pending) {
    if (Pending.Report.Task.Job != Job ||
        !countEnd(Progress, {Pending.Report.Task, Pending.Report.RunNumber,
                             Pending.Report.Outcome}))
      return false;
    Handlers.push_back([this, EndId = Pending.Report.EndId](bool Superseded) {
      acknowledgeEnd(EndId, Superseded);
    });
    return true;
  });
  if (Handlers.empty())
    return;
  Writer.updateProgress(Job, Progress, Loop.now());
  for (EndHandler &EarlyHandler : Handlers)
    whenDurable(Job, [Handler = std::move(EarlyHandler)] { Handler(false); });
}

bool JobStoreService::resolvePendingEnd(PendingEnd &Pending) {
  const Instant Now = Loop.now();
  if (Now < Pending.NextAttempt)
    return false;
  Pending.NextAttempt = Now + PendingEndRetryDelay;
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
  if (applyEnd(Notice, [this, EndId = Report.EndId](bool Superseded) {
        acknowledgeEnd(EndId, Superseded);
      }))
    return true;
  const std::string WriterName =
      Record == nullptr ? std::exchange(Pending.WriterName, {})
                        : LocalCopy->partitionWriter(Record->Partition);
  if (const auto Holder = findLiveWriter(WriterName);
      Holder && *Holder != Bus.self())
    Bus.send(*Holder, JobStoreMessage(Notice));
  return false;
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
  for (PendingEnd &Pending : PendingEnds) {
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
  const EndHandler Reply = [this, Sender, Task = Notice.Task,
                            Run = Notice.RunNumber](bool Superseded) {
    Bus.send(Sender, JobStoreMessage(RunEndStored{Task, Run, Superseded}));
  };
  if (applyEnd(Notice, Reply))
    return;
  const JobRecord *Record = LocalCopy->find(Notice.Task.Job);
  const bool TakeoverPending =
      Writer.ownsJob(Notice.Task.Job) ||
      (Record != nullptr && Writer.ownsOrClaims(Record->Partition));
  if (TakeoverPending)
    EarlyEnds.emplace(Notice.Task.Job, std::pair(Notice, Reply));
}

void JobStoreService::handleRunEndStored(const RunEndStored &Message) {
  std::erase_if(PendingEnds, [&](const PendingEnd &Pending) {
    if (Pending.Report.Task != Message.Task ||
        Pending.Report.RunNumber != Message.RunNumber)
      return false;
    acknowledgeEnd(Pending.Report.EndId, Message.Superseded);
    return true;
  });
}

} // namespace sapphiremoor
