#include "dispatch/dispatcher.h"

#include <algorithm>

namespace sapphiremoor {

using detail::OwnerMode;
using detail::TaskPhase;
using detail::TaskState;

void Dispatcher::submitStored(const JobSubmission &Request,
                              const JobSource &From, uint8_t Redirects,
                              Instant Now) {
  learnUsual(Request);
  const Job Made = detail::makeJob(Request, NextArrival, Now);
  const Duration Wait = expectedWait(Made, Now);
  if (redirect(Request, From, Redirects, Wait))
    return;
  // A stored job cannot be taken back, so only what would be far too late is
  // refused. Without any place at hand the wait is not known.
  const Duration Patience = Limits.StoredPatience * (Made.Objective - Now);
  if (Jobs.size() >= Limits.MostJobs ||
      (Wait != Duration::max() && Wait > Patience)) {
    refuse(Made, From, Wait, Now);
    return;
  }
  Effects.emplace_back(StoreJob{Request, From});
}

void Dispatcher::runStored(const JobSubmission &Request,
                           const JobProgress &Progress, Instant Now) {
  if (Jobs.contains(Request.Id))
    return;
  Job Made = detail::makeJob(Request, NextArrival++, Now);
  detail::applyProgress(Made, Progress);
  const Job &Added = Jobs.emplace(Request.Id, std::move(Made)).first->second;
  if (detail::complete(Added)) {
    endJob(Request.Id, JobResult::Done, JobReason::None, Now);
    return;
  }
  Queue.insert(keyOf(Added));
  schedule(Now);
}

void Dispatcher::dropStored(const std::string &Name, Instant Now) {
  if (!stored(Name))
    return;
  removeJob(Name, Now);
  schedule(Now);
}

void Dispatcher::endStored(const EndReference &End, bool Superseded,
                           Instant Now) {
  const auto Found = Backends.find(End.Backend);
  if (Found == Backends.end() || Found->second.Life != End.Life)
    return;
  Backend &On = Found->second;
  if (Superseded) {
    On.SupersededEnds.insert(End.Number);
    return;
  }
  On.UnstoredEnds.erase(End.Number);
  if (On.UnstoredEnds.empty() && On.Mode == OwnerMode::Owned)
    sendHold(On, Now);
}

std::optional<ForeignEnd> Dispatcher::foreignEnded(const TaskId &Task,
                                                   uint64_t Run, RunEnd How,
                                                   Instant Now) {
  const auto Found = Jobs.find(Task.Job);
  if (Found == Jobs.end() || !Found->second.Request.Stored ||
      Task.Step >= Found->second.Steps.size() ||
      Task.Index >= Found->second.Steps[Task.Step].Tasks.size())
    return std::nullopt;
  detail::StepState &Step = Found->second.Steps[Task.Step];
  TaskState &Of = Step.Tasks[Task.Index];
  if (Of.DoneRun == Run)
    return ForeignEnd::Counted;
  if (Of.LastOrdered > Run || Of.Phase == TaskPhase::Done)
    return ForeignEnd::Superseded;
  Of.LastRun = std::max(Of.LastRun, Run);
  if (How == RunEnd::Failed) {
    if (!Found->second.ForeignFailures.insert({Task, Run}).second)
      return ForeignEnd::Counted;
    ++Of.Failures;
    if (Of.Failures >= Found->second.Request.Policy.Attempts)
      endJob(Task.Job, JobResult::Failed, JobReason::TaskFailed, Now);
    else
      progressed(Found->second);
    return ForeignEnd::Counted;
  }
  if (const auto Live = LiveRuns.find(Task); Live != LiveRuns.end()) {
    Backend &On = Backends.at(Live->second);
    On.Runs.at(Task).Abandoned = true;
    sendStop(On, Task, On.Runs.at(Task), Now);
  }
  if (Of.Phase == TaskPhase::Waiting)
    --Step.Waiting;
  taskDone(Task, Run, Now);
  schedule(Now);
  return ForeignEnd::Counted;
}

bool Dispatcher::stored(const std::string &Name) const {
  const auto Found = Jobs.find(Name);
  return Found != Jobs.end() && Found->second.Request.Stored;
}

void Dispatcher::progressed(const Job &Of) {
  if (Of.Request.Stored)
    Effects.emplace_back(JobProgressed{Of.Request.Id, detail::progressOf(Of)});
}

void Dispatcher::revokeStored(Instant Now) {
  if (Now < StoredLease)
    return;
  for (const auto &[Task, Where] : LiveRuns) {
    Backend &On = Backends.at(Where);
    Run &Of = On.Runs.at(Task);
    if (Of.Phase != detail::RunPhase::Stopping && stored(Task.Job))
      sendStop(On, Task, Of, Now);
  }
}

bool Dispatcher::holdsRevoked(const Backend &On, Instant Now) const {
  return Now >= StoredLease &&
         std::ranges::any_of(On.Runs, [this](const auto &Each) {
           return stored(Each.first.Job);
         });
}

void Dispatcher::checkPlaceable() {
  for (auto &[Name, Of] : Jobs)
    if (Of.Request.Stored)
      Of.Placeable = possibleHere(Of.Request);
}

} // namespace sapphiremoor
