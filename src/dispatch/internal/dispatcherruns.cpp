#include "dispatch/dispatcher.h"
#include "dispatch/internal/listedruns.h"

#include <algorithm>
#include <utility>

namespace sapphiremoor {

using detail::ListedState;
using detail::OwnershipMode;
using detail::RunPhase;

namespace {

/// Amount by which the run number is advanced after runs of a former owner have
/// already used the next one.
constexpr uint64_t RunNumberSkip = 8;

/// Share of its estimate for which a run must have been active before its
/// progress is used to detect a straggler.
constexpr double MinProgressShare = 0.1;

/// Weight of the newest run in the moving average of a backend server's
/// slowdown, and the slowdown above which the backend server is chosen last.
constexpr double SlowdownWeight = 0.3;
constexpr double SlowdownThreshold = 2.2;

/// Lowest progress, in percent, from which a run time is extrapolated.
constexpr int64_t MinProgressPercent = 8;

/// Weight of the newest run in the moving average of the run-time ratio of a
/// kind of machine. It is small because estimates are rough, so that many runs
/// have to count.
constexpr double RunTimeRatioWeight = 0.02;

} // namespace

Dispatcher::BackendState *Dispatcher::find(const ControlTarget &Target) {
  const auto BackendIt = Backends.find(Target.BackendId);
  if (BackendIt == Backends.end() ||
      BackendIt->second.Incarnation != Target.Incarnation)
    return nullptr;
  return &BackendIt->second;
}

ControlTarget Dispatcher::controlTarget(const BackendState &Backend) const {
  return {Backend.Report.Id, Backend.Incarnation, Backend.Report.Address,
          Backend.Token};
}

void Dispatcher::log(const BackendState &Backend, const TaskId &Task,
                     uint64_t RunNumber, const std::string &Decision,
                     Duration Age, int64_t Percent) {
  Effects.emplace_back(RunDecision{Backend.Report.Id, Task, RunNumber, Decision,
                                   Age, Percent, Backend.assumption()});
}

void Dispatcher::sendStart(BackendState &Backend, const TaskId &Task,
                           RunState &Run, Instant Now) {
  ++Run.SendCount;
  const auto JobIt = Jobs.find(Task.Job);
  Backend.LeaseExtendedAt = Now;
  Effects.emplace_back(
      StartOrder{controlTarget(Backend), Task, Run.Number, JobIt->second.Spec,
                 Backend.Clock.grant(Now, Limits.LeaseDuration)});
}

void Dispatcher::sendStop(BackendState &Backend, const TaskId &Task,
                          RunState &Run, Instant Now) {
  Backend.setPhase(Run, RunPhase::Stopping);
  Run.StopSentAt = Now;
  if (Backend.Mode != OwnershipMode::Owned)
    return;
  Effects.emplace_back(StopOrder{controlTarget(Backend), Task, Run.Number});
}

void Dispatcher::sendPoll(BackendState &Backend, Instant Now) {
  if (Backend.PollInFlight)
    return;
  PollOrder Order{controlTarget(Backend), {}, Backend.acknowledgeableUpTo(), 0};
  if (Backend.Mode == OwnershipMode::Probing) {
    // A poll without a token changes nothing. A backend server that has an
    // owner refuses it, which shows just as well that it is reachable.
    Order.Target.FencingToken = 0;
    Order.AcknowledgedUpTo = 0;
  }
  // The lease of a backend server that does not answer is not extended. It has
  // to expire before its runs can be started elsewhere.
  if (Backend.Mode == OwnershipMode::Owned && !Backend.Runs.empty() &&
      Backend.Clock.hasReading() && !Backend.Suspect &&
      !Backend.needsLeaseExpiry() && !hasRevokedRuns(Backend, Now)) {
    Backend.LeaseExtendedAt = Now;
    Order.LeaseEndMs = Backend.Clock.grant(Now, Limits.LeaseDuration);
    Order.WaitMs =
        std::chrono::duration_cast<std::chrono::milliseconds>(Limits.PollWait)
            .count();
  }
  Backend.PollInFlight = true;
  Backend.PollSentAt = Now;
  Effects.emplace_back(std::move(Order));
}

Dispatcher::RunState Dispatcher::removeRun(BackendState &Backend,
                                           const TaskId &Task) {
  const auto RunIt = Backend.Runs.find(Task);
  const RunState RemovedRun = RunIt->second;
  Backend.Used = Backend.Used - RemovedRun.Demand;
  Backend.StartingRuns -= RemovedRun.Phase == RunPhase::Starting ? 1 : 0;
  Backend.Runs.erase(RunIt);
  RunLocations.erase(Task);
  return RemovedRun;
}

void Dispatcher::handleStartAnswer(const StartOrder &Order,
                                   const StartAnswer &Answer, Instant Now) {
  BackendState *Backend = find(Order.Target);
  if (Backend == nullptr)
    return;
  if (Answer.ClockMs)
    Backend->Clock.observe(*Answer.ClockMs, Now);
  const auto RunIt = Backend->Runs.find(Order.Task);
  if (RunIt == Backend->Runs.end() || RunIt->second.Number != Order.RunNumber)
    return;
  RunState &Run = RunIt->second;
  switch (Answer.Kind) {
  case StartAnswerKind::Started:
    if (Run.Phase == RunPhase::Starting)
      Backend->setPhase(Run, RunPhase::Active);
    if (!Run.SeenAt)
      Run.SeenAt = Now;
    sendPoll(*Backend, Now);
    // Tasks may have waited for this answer.
    if (Backend->StartingRuns + 1 == Limits.MaxStartingRuns)
      schedule(Now);
    return;
  case StartAnswerKind::NoAnswer:
    Run.MaybeDelivered = true;
    handleUnresolvedStart(*Backend, Order.Task, Run, Now);
    return;
  default:
    break;
  }
  if (Run.MaybeDelivered || Run.Phase == RunPhase::Stopping) {
    // An earlier copy of this order may have been carried out.
    if (Answer.Kind == StartAnswerKind::Fenced)
      handleFenced(*Backend, Order.Target, Now);
    else
      handleUnresolvedStart(*Backend, Order.Task, Run, Now);
    return;
  }
  handleRejectedStart(*Backend, Order, Run, Answer.Kind, Now);
  schedule(Now);
}

void Dispatcher::handleUnresolvedStart(BackendState &Backend,
                                       const TaskId &Task, RunState &Run,
                                       Instant Now) {
  Backend.Suspect = true;
  Backend.NextPollAt = Now;
  if (Run.Phase != RunPhase::Starting)
    return;
  if (Run.SendCount < Limits.MaxStartSends && !Run.Abandoned) {
    sendStart(Backend, Task, Run, Now);
    return;
  }
  log(Backend, Task, Run.Number, "unresolved");
  sendStop(Backend, Task, Run, Now);
}

void Dispatcher::handleRejectedStart(BackendState &Backend,
                                     const StartOrder &Order,
                                     const RunState &Run, StartAnswerKind Kind,
                                     Instant Now) {
  const TaskId &Task = Order.Task;
  const std::string BackendId = Backend.Report.Id;
  const uint64_t RunNumber = Run.Number;
  removeRun(Backend, Task);
  switch (Kind) {
  case StartAnswerKind::Invalid:
    log(Backend, Task, RunNumber, "invalid");
    failTask(Task, RunNumber, BackendId, Now);
    return;
  case StartAnswerKind::OldRun:
    if (const auto JobIt = Jobs.find(Task.Job); JobIt != Jobs.end())
      JobIt->second.Steps[Task.Step].Tasks[Task.Index].LastRun += RunNumberSkip;
    requeue(Task, {});
    return;
  case StartAnswerKind::Fenced:
    requeue(Task, BackendId);
    handleFenced(Backend, Order.Target, Now);
    return;
  case StartAnswerKind::WrongBackend:
    requeue(Task, BackendId);
    relinquish(Backend, "address_reused");
    return;
  case StartAnswerKind::Unhealthy:
    if (recordFailure(Backend.Health, Limits, Now))
      log(Backend, Task, RunNumber, "ejected");
    break;
  default:
    // Too few resources, too late or not sent: the next run list shows the
    // cause.
    Backend.Suspect = true;
    Backend.NextPollAt = Now;
    break;
  }
  log(Backend, Task, RunNumber, "rejected");
  requeue(Task, BackendId);
}

void Dispatcher::handleStopAnswer(const StopOrder &Order, StopAnswerKind Answer,
                                  Instant Now) {
  BackendState *Backend = find(Order.Target);
  if (Backend == nullptr)
    return;
  if (Answer == StopAnswerKind::Fenced) {
    handleFenced(*Backend, Order.Target, Now);
    return;
  }
  const auto RunIt = Backend->Runs.find(Order.Task);
  if (RunIt == Backend->Runs.end() || RunIt->second.Number != Order.RunNumber ||
      Answer != StopAnswerKind::Accepted)
    return;
  if (!RunIt->second.StopAcceptedAt)
    RunIt->second.StopAcceptedAt = Now;
  sendPoll(*Backend, Now);
}

void Dispatcher::handleRunList(const PollOrder &Order, const RunList &List,
                               Instant SentAt, Instant Now) {
  BackendState *Backend = find(Order.Target);
  if (Backend == nullptr)
    return;
  Backend->PollInFlight = false;
  if (Backend->Mode == OwnershipMode::Probing) {
    recordProbeAnswer(*Backend, Now);
    return;
  }
  if (Order.Target.FencingToken != Backend->Token) {
    // Another owner may have taken the backend server since the list was made.
    sendPoll(*Backend, Now);
    return;
  }
  if (List.StartTimeMs && *List.StartTimeMs != Backend->Report.StartTimeMs) {
    Backend->Report.StartTimeMs = *List.StartTimeMs;
    // The numbers of the reports start anew with the incarnation.
    Backend->Report.Sequence = 0;
    Backend->ReportOutdated = true;
    handleRestart(*Backend, Now);
    return;
  }
  Backend->LifeConfirmed = true;
  Backend->Suspect = SentAt < Backend->SuspectedAt;
  Backend->RaisesInRow = 0;
  Backend->Clock.observe(List.ClockMs, Now);
  handleListedEnds(*Backend, List, Now);
  reconcileRuns(*Backend, List, SentAt, Now);
  stopUnknownRuns(*Backend, List, Now);
  // The runs that are left may be among those that a cut list leaves out.
  if (Backend->Mode == OwnershipMode::Acquiring && List.Active.empty() &&
      (Backend->Runs.empty() || List.EndsComplete))
    completeAcquire(*Backend);
  if (Backend->Releasing && Backend->Runs.empty()) {
    relinquish(*Backend, "released");
    schedule(Now);
    return;
  }
  schedule(Now);
  scheduleNextPoll(*Backend, List, Now);
}

void Dispatcher::scheduleNextPoll(BackendState &Backend, const RunList &List,
                                  Instant Now) {
  const bool Owned = Backend.Mode == OwnershipMode::Owned;
  // Unacknowledged ends make the backend server answer a poll at once, so poll
  // at an interval.
  if (!Owned || Backend.Ends.holdsAny()) {
    Backend.NextPollAt = Now + Limits.TakeoverPollInterval;
    return;
  }
  Backend.NextPollAt = Now + Limits.IdlePollInterval;
  // An acknowledgement makes room for the ends that a cut list leaves out.
  if (Backend.Suspect || !Backend.Runs.empty() || !List.EndsComplete)
    sendPoll(Backend, Now);
}

void Dispatcher::handlePollFailure(const PollOrder &Order, PollFailure Failure,
                                   Instant Now) {
  BackendState *Backend = find(Order.Target);
  if (Backend == nullptr)
    return;
  Backend->PollInFlight = false;
  if (Backend->Mode == OwnershipMode::Probing) {
    Backend->Mode = OwnershipMode::NotOwned;
    if (Failure == PollFailure::Fenced)
      recordProbeAnswer(*Backend, Now);
    return;
  }
  switch (Failure) {
  case PollFailure::Fenced:
    handleFenced(*Backend, Order.Target, Now);
    return;
  case PollFailure::WrongBackend:
    relinquish(*Backend, "address_reused");
    schedule(Now);
    return;
  case PollFailure::NoAnswer:
    Backend->Suspect = true;
    Backend->NextPollAt = Now + Limits.PollRetryDelay;
    return;
  }
}

void Dispatcher::handleListedEnds(BackendState &Backend, const RunList &List,
                                  Instant Now) {
  std::vector<EndedRun> ReportedAgain;
  for (const EndedRun &Ended : List.Ended) {
    if (Backend.Ends.recordListed(Ended.EndNumber)) {
      handleRunEnd(Backend, Ended, Now);
    } else if (Backend.Ends.wasReportedBefore(Ended.EndNumber,
                                              Now - Limits.EndReportInterval)) {
      emitRunEnded(Backend, Ended, false, Now);
      ReportedAgain.push_back(Ended);
    }
  }
  Backend.Ends.releaseForgotten(List);
  if (!ReportedAgain.empty())
    Effects.emplace_back(EndsReportedAgain{
        Backend.Report.Id, ReportedAgain.size(), ReportedAgain.front()});
}

void Dispatcher::handleRunEnd(BackendState &Backend, const EndedRun &Ended,
                              Instant Now) {
  const auto RunIt = Backend.Runs.find(Ended.Task);
  if (RunIt == Backend.Runs.end() || RunIt->second.Number != Ended.RunNumber) {
    emitRunEnded(Backend, Ended, false, Now);
    return;
  }
  const RunState EndedState = removeRun(Backend, Ended.Task);
  if (Ended.Outcome == RunOutcome::Done) {
    updateRunTimeRatio(Backend, EndedState, Now);
    recordSuccess(Backend.Health);
  }
  if (Ended.Outcome == RunOutcome::Failed &&
      recordFailure(Backend.Health, Limits, Now))
    log(Backend, Ended.Task, Ended.RunNumber, "ejected");
  if (Ended.Outcome != RunOutcome::Done)
    log(Backend, Ended.Task, Ended.RunNumber,
        Ended.Outcome == RunOutcome::Failed ? "failed" : "interrupted");
  if (EndedState.Abandoned) {
    if (EndedState.Stored)
      emitRunEnded(Backend, Ended, false, Now);
    return;
  }
  if (Ended.Outcome == RunOutcome::Done)
    completeTask(Ended.Task, Ended.RunNumber, Now);
  else if (Ended.Outcome == RunOutcome::Failed)
    failTask(Ended.Task, Ended.RunNumber, Backend.Report.Id, Now);
  else
    requeue(Ended.Task, Backend.Report.Id);
  if (EndedState.Stored)
    emitRunEnded(Backend, Ended, true, Now);
}

void Dispatcher::emitRunEnded(BackendState &Backend, const EndedRun &Ended,
                              bool Applied, Instant Now) {
  if (Ended.Outcome != RunOutcome::Done && Ended.Outcome != RunOutcome::Failed)
    return;
  Backend.Ends.hold(Ended.EndNumber, Now);
  Effects.emplace_back(
      RunEnded{{Backend.Report.Id, Backend.Life, Ended.EndNumber},
               Ended.Task,
               Ended.RunNumber,
               Ended.Outcome,
               Applied});
}

void Dispatcher::dropRun(BackendState &Backend, const TaskId &Task,
                         LateOrders Late) {
  const RunState Run = removeRun(Backend, Task);
  log(Backend, Task, Run.Number, "gone");
  if (Late == LateOrders::Possible && Run.MaybeDelivered)
    UnresolvedStarts[Task] = {Backend.Report.Id, Run.FirstSentAt};
  if (!Run.Abandoned)
    requeue(Task, Backend.Report.Id);
}

void Dispatcher::dropAllRuns(BackendState &Backend, LateOrders Late) {
  while (!Backend.Runs.empty())
    dropRun(Backend, TaskId(Backend.Runs.begin()->first), Late);
}

bool Dispatcher::mayStartLate(const TaskId &Task, Instant Deadline,
                              Instant Now) const {
  const auto It = UnresolvedStarts.find(Task);
  if (It == UnresolvedStarts.end())
    return false;
  const Instant FirstSentAt = It->second.FirstSentAt;
  return Now < FirstSentAt + Limits.LateStartWindowEnd &&
         Deadline > FirstSentAt + Limits.LateStartWindowBegin;
}

bool Dispatcher::mayStartLate(const std::string &JobId, Instant Now) const {
  const auto FirstIt = UnresolvedStarts.lower_bound({JobId, 0, 0});
  return std::any_of(FirstIt, UnresolvedStarts.end(), [&](const auto &Entry) {
    return Entry.first.Job == JobId &&
           Now < Entry.second.FirstSentAt + Limits.LateStartWindowEnd;
  });
}

void Dispatcher::reconcileRuns(BackendState &Backend, const RunList &List,
                               Instant SentAt, Instant Now) {
  for (const ActiveRun &Active : List.Active) {
    const auto RunIt = Backend.Runs.find(Active.Task);
    if (RunIt == Backend.Runs.end() || RunIt->second.Number != Active.RunNumber)
      continue;
    RunIt->second.Listed = true;
    if (RunIt->second.Phase == RunPhase::Starting)
      Backend.setPhase(RunIt->second, RunPhase::Active);
    if (!RunIt->second.SeenAt)
      RunIt->second.SeenAt = Now;
    checkProgress(Backend, Active, Now);
  }
  const detail::ListedRuns Listed(List);
  // A run that does not exist is gone if it was active before the list was
  // requested, or if a stop accepted before then has ruled it out.
  std::vector<TaskId> GoneTasks;
  for (auto &[Task, Run] : Backend.Runs) {
    const bool SeenBefore = Run.SeenAt && *Run.SeenAt <= SentAt;
    const bool StoppedBefore =
        Run.StopAcceptedAt && *Run.StopAcceptedAt <= SentAt;
    const bool NotActive = SeenBefore || StoppedBefore;
    const ListedState State = Listed.state(Task, Run.Number);
    Run.EndLeftOut = NotActive && State == ListedState::Unknown;
    // An end that was handled before the run was put into the books belongs to
    // an earlier run with its number, so that this one was never started.
    if (NotActive &&
        (State == ListedState::Absent || State == ListedState::Ended))
      GoneTasks.push_back(Task);
  }
  for (const TaskId &Task : GoneTasks)
    dropRun(Backend, Task, LateOrders::Excluded);
}

bool Dispatcher::willMissDeadline(const JobState &Job, Duration Age,
                                  int64_t Percent, Instant Now) const {
  if (Age < Limits.MinProgressAge || Percent < MinProgressPercent)
    return false;
  // The percentage may be rounded down.
  const double DonePercent = static_cast<double>(Percent) + 1;
  const auto TimeLeft = Age * ((100.0 - DonePercent) / DonePercent);
  return Now + TimeLeft > Job.Deadline + Limits.Overhead;
}

void Dispatcher::checkProgress(BackendState &Backend, const ActiveRun &Active,
                               Instant Now) {
  RunState &Run = Backend.Runs.at(Active.Task);
  const auto JobIt = Jobs.find(Active.Task.Job);
  if (Run.Phase != RunPhase::Active || JobIt == Jobs.end())
    return;
  detail::TaskState &Task =
      JobIt->second.Steps[Active.Task.Step].Tasks[Active.Task.Index];
  const Duration Age = Now - *Run.SeenAt;
  if (willMissDeadline(JobIt->second, Age, Active.Percent, Now)) {
    log(Backend, Active.Task, Active.RunNumber, "too_slow", Age,
        Active.Percent);
    endJob(Active.Task.Job, JobResult::GivenUp, JobReason::DeadlinePassed, Now);
    return;
  }
  const auto Estimate = std::chrono::duration<double, std::micro>(Run.Estimate);
  const auto MinAge = Limits.StragglerSlack + MinProgressShare * Estimate;
  if (Task.RestartedAsStraggler || Age < MinAge)
    return;
  const double DonePercent =
      std::max<double>(static_cast<double>(Active.Percent), 1);
  if (Age * 100.0 / DonePercent <
      Limits.StragglerFactor * Estimate + Limits.StragglerSlack)
    return;
  log(Backend, Active.Task, Active.RunNumber, "straggler", Age, Active.Percent);
  Task.RestartedAsStraggler = true;
  recordFailure(Backend.Health, Limits, Now);
  sendStop(Backend, Active.Task, Run, Now);
}

void Dispatcher::stopUnknownRuns(BackendState &Backend, const RunList &List,
                                 Instant) {
  for (const ActiveRun &Active : List.Active) {
    const auto RunIt = Backend.Runs.find(Active.Task);
    if (RunIt != Backend.Runs.end() && RunIt->second.Number == Active.RunNumber)
      continue;
    // During a takeover, the runs of the former owner are listed. Afterwards,
    // such a run shows that this dispatcher does not know all runs.
    const bool Owned = Backend.Mode == OwnershipMode::Owned;
    log(Backend, Active.Task, Active.RunNumber,
        Owned ? "unexpected" : "stranger");
    Effects.emplace_back(
        StopOrder{controlTarget(Backend), Active.Task, Active.RunNumber});
  }
}

void Dispatcher::acknowledgeSupersededEnds(BackendState &Backend, Instant Now) {
  if (!Backend.needsLeaseExpiry() ||
      Now < std::max(Backend.LeaseExtendedAt, Backend.AcquireStartedAt) +
                Limits.LeaseExpiryBound)
    return;
  Backend.Ends.releaseSuperseded();
  Backend.NextPollAt = Now;
}

double Dispatcher::runTimeRatio(const BackendState &Backend) const {
  if (Backend.Report.Labels.empty())
    return 1;
  const auto It = RunTimeRatios.find(Backend.Report.Labels.front());
  return It == RunTimeRatios.end() ? 1 : It->second;
}

bool Dispatcher::isSlow(const BackendState &Backend) const {
  return Backend.Slowdown > SlowdownThreshold;
}

void Dispatcher::updateRunTimeRatio(BackendState &Backend,
                                    const RunState &EndedState, Instant Now) {
  if (EndedState.Estimate <= Duration::zero() || !EndedState.SeenAt ||
      Backend.Report.Labels.empty())
    return;
  const double Ratio = std::chrono::duration<double>(Now - *EndedState.SeenAt) /
                       std::chrono::duration<double>(EndedState.Estimate);
  double &KindRatio =
      RunTimeRatios.try_emplace(Backend.Report.Labels.front(), 1).first->second;
  Backend.Slowdown +=
      SlowdownWeight *
      (std::clamp(Ratio / KindRatio, 0.25, 8.0) - Backend.Slowdown);
  KindRatio += RunTimeRatioWeight * (std::clamp(Ratio, 0.25, 4.0) - KindRatio);
}

} // namespace sapphiremoor
