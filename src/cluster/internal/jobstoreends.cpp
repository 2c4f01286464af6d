#include "cluster/jobstoreservice.h"

#include "versionregister/voterset.h"

#include <utility>

namespace sapphiremoor {

namespace {

constexpr Duration ForeignEndRetry = std::chrono::milliseconds(300);

/// Returns the progress of a task, or null. \p Of may be constant.
template <typename Progress>
auto taskIn(Progress &Of, const TaskId &Task)
    -> decltype(&Of.Steps[Task.Step][Task.Index]) {
  if (Task.Step >= Of.Steps.size() || Task.Index >= Of.Steps[Task.Step].size())
    return nullptr;
  return &Of.Steps[Task.Step][Task.Index];
}

/// Counts an end in a state that nobody runs yet. Returns false if the task is
/// not known, another run has settled it, or the run failed: the same failure
/// may be told again, and only the dispatcher tells failures apart.
bool countEnd(JobProgress &Of, const RunEndNotice &News) {
  TaskProgress *Task = taskIn(Of, News.Task);
  if (Task == nullptr || News.End != RunOutcome::Done ||
      (Task->DoneRun != 0 && Task->DoneRun != News.Run))
    return false;
  Task->DoneRun = News.Run;
  return true;
}

/// Returns true if a later run of the task was started, or may have been.
bool supersededBy(const JobProgress &Of, const TaskId &Task, uint64_t Run) {
  const TaskProgress *Known = taskIn(Of, Task);
  return Known == nullptr || (Known->DoneRun != Run && Known->LastRun > Run);
}

} // namespace

void JobStoreService::confirm(const EndedRunId &End, bool Superseded) {
  Dispatch.dispatcher().handleEndStored(End, Superseded, Loop.now());
}

void JobStoreService::runEnded(const RunEnded &Effect) {
  if (Effect.Applied && Writer.ownsJob(Effect.Task.Job)) {
    whenStored(
        Effect.Task.Job, [this, At = Effect.EndId] { confirm(At, false); },
        Effect);
    return;
  }
  OpenEnds.push_back({Effect, {}, {}, {}});
}

bool JobStoreService::takeEnd(const RunEndNotice &News, EndHandler Handler) {
  const std::string &Job = News.Task.Job;
  if (!Writer.ownsJob(Job)) {
    // The writer forgets a job once its end is durable everywhere. Which run
    // was counted is not known any more.
    const JobRecord *Known = Copy->find(Job);
    const bool Over =
        Known != nullptr && Writer.ownsPartition(Known->Partition);
    if (Over)
      Handler(true);
    return Over;
  }
  const auto Taken = Dispatch.dispatcher().handleFormerRunEnd(
      News.Task, News.Run, News.End, Loop.now());
  if (Taken)
    Dispatch.run();
  else if (!Writer.endDurable(Job))
    return false;
  const bool Superseded =
      Taken ? *Taken == FormerRunEnd::Superseded
            : supersededBy(*Writer.find(Job), News.Task, News.Run);
  whenStored(
      Job, [Handler = std::move(Handler), Superseded] { Handler(Superseded); });
  return true;
}

void JobStoreService::takeEarlyEnds(const std::string &Job,
                                    JobProgress &Progress) {
  std::vector<EndHandler> Handlers;
  const auto [Begin, End] = EarlyEnds.equal_range(Job);
  for (auto Each = Begin; Each != End; ++Each)
    if (countEnd(Progress, Each->second.first))
      Handlers.push_back(std::move(Each->second.second));
  EarlyEnds.erase(Begin, End);
  std::erase_if(OpenEnds, [&](const OpenEnd &Each) {
    if (Each.Of.Task.Job != Job ||
        !countEnd(Progress, {Each.Of.Task, Each.Of.RunNumber, Each.Of.Outcome}))
      return false;
    Handlers.push_back([this, At = Each.Of.EndId](bool Superseded) {
      confirm(At, Superseded);
    });
    return true;
  });
  if (Handlers.empty())
    return;
  Writer.updateProgress(Job, Progress, Loop.now());
  for (EndHandler &Each : Handlers)
    whenStored(Job, [Handler = std::move(Each)] { Handler(false); });
}

bool JobStoreService::settle(OpenEnd &Each) {
  const Instant Now = Loop.now();
  if (Now < Each.NextTry)
    return false;
  Each.NextTry = Now + ForeignEndRetry;
  const RunEnded &Of = Each.Of;
  const JobRecord *Known = Copy->find(Of.Task.Job);
  if (Known == nullptr && Each.Writer.empty()) {
    askForJob(Each);
    if (!isMajority(Configuration.voters(), Each.LackedBy))
      return false;
    confirm(Of.EndId, false);
    return true;
  }
  const RunEndNotice News{Of.Task, Of.RunNumber, Of.Outcome};
  if (takeEnd(News, [this, At = Of.EndId](bool Superseded) {
        confirm(At, Superseded);
      }))
    return true;
  const std::string Writer = Known == nullptr ? std::exchange(Each.Writer, {})
                                              : writerOf(Known->Partition);
  if (const auto Vm = liveVm(Writer); Vm && *Vm != Bus.self().Name)
    Bus.send(*Vm, JobStoreMessage(News));
  return false;
}

JobLocation JobStoreService::whereabouts(const std::string &Job) const {
  const JobRecord *Known = Copy->find(Job);
  if (Known == nullptr)
    return {Job, false, {}};
  return {Job, true, writerOf(Known->Partition)};
}

void JobStoreService::askForJob(OpenEnd &Each) {
  const std::string &Job = Each.Of.Task.Job;
  for (const std::string &Voter : Configuration.voters().Voters) {
    if (Voter == describe(Of.Advertised)) {
      if (!Copy->rebuilding())
        Each.LackedBy.insert(Voter);
      continue;
    }
    const MemberInfo *Member = Bus.members().findByAddress(Voter);
    if (Member != nullptr && Bus.linked(Member->Id.Name))
      Bus.send(Member->Id.Name, JobStoreMessage(LocateJob{Job}));
  }
}

void JobStoreService::whereaboutsTold(const std::string &Address,
                                      const JobLocation &Told) {
  for (OpenEnd &Each : OpenEnds) {
    if (Each.Of.Task.Job != Told.Job)
      continue;
    if (Told.Known)
      Each.Writer = Told.Writer;
    else
      Each.LackedBy.insert(Address);
    Each.NextTry = {};
  }
}

void JobStoreService::endTold(const VmId &From, const RunEndNotice &News) {
  const EndHandler Reply = [this, To = From.Name, Task = News.Task,
                            Run = News.Run](bool Superseded) {
    Bus.send(To, JobStoreMessage(RunEndStored{Task, Run, Superseded}));
  };
  if (takeEnd(News, Reply))
    return;
  const JobRecord *Known = Copy->find(News.Task.Job);
  const bool Coming =
      Writer.ownsJob(News.Task.Job) ||
      (Known != nullptr && Writer.ownsOrClaims(Known->Partition));
  if (Coming)
    EarlyEnds.emplace(News.Task.Job, std::pair(News, Reply));
}

void JobStoreService::endStored(const RunEndStored &Stored) {
  std::erase_if(OpenEnds, [&](const OpenEnd &Each) {
    if (Each.Of.Task != Stored.Task || Each.Of.RunNumber != Stored.Run)
      return false;
    confirm(Each.Of.EndId, Stored.Superseded);
    return true;
  });
}

} // namespace sapphiremoor
