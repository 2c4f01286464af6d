#include "dispatch/dispatcher.h"

#include <algorithm>
#include <utility>

namespace sapphiremoor {

using detail::OwnerMode;
using detail::RunPhase;

namespace {

/// Numbers skipped when an earlier owner's runs of the same task used the next.
constexpr uint64_t RunNumberSkip = 8;

/// Share of the estimate after which the progress of a run tells its speed.
constexpr double ProgressShare = 0.1;

/// Weight of the newest run in the slowness of one backend server, and the
/// slowness from which it gets work last.
constexpr double SlownessWeight = 0.3;
constexpr double SlowRatio = 2.2;

/// Least progress, in percent, that tells the speed of a run well enough.
constexpr int64_t LeastPercent = 8;

/// Weight of the newest run in the pace of a kind of machine. Estimates are
/// rough, so that many runs have to count.
constexpr double PaceWeight = 0.02;

} // namespace

Dispatcher::Backend *Dispatcher::find(const ControlTarget &Target) {
  const auto Found = Backends.find(Target.Backend);
  if (Found == Backends.end() || Found->second.Life != Target.Life)
    return nullptr;
  return &Found->second;
}

ControlTarget Dispatcher::target(const Backend &Of) const {
  return {Of.Report.Id, Of.Life, Of.Report.Address, Of.Token};
}

void Dispatcher::log(const Backend &On, const TaskId &Task, uint64_t Number,
                     const std::string &What) {
  Effects.emplace_back(RunDecided{On.Report.Id, Task, Number, What, {}, 0});
}

void Dispatcher::sendStart(Backend &On, const TaskId &Task, Run &Of,
                           Instant Now) {
  ++Of.Sends;
  const auto Found = Jobs.find(Task.Job);
  On.LeaseGiven = Now;
  Effects.emplace_back(StartOrder{target(On), Task, Of.Number,
                                  Found->second.Spec,
                                  On.Clock.grant(Now, Limits.Lease)});
}

void Dispatcher::sendStop(Backend &On, const TaskId &Task, Run &Of,
                          Instant Now) {
  Of.Phase = RunPhase::Stopping;
  Of.StopSent = Now;
  if (On.Mode != OwnerMode::Owned)
    return;
  Effects.emplace_back(StopOrder{target(On), Task, Of.Number});
}

void Dispatcher::sendHold(Backend &On, Instant Now) {
  if (On.HoldOpen)
    return;
  HoldOrder Order{target(On), {}, On.confirmableEnds(), 0};
  if (On.Mode == OwnerMode::Probing) {
    // Without a token it changes nothing and is refused by an owned one.
    Order.To.FencingToken = 0;
    Order.ConfirmedEnds = 0;
  }
  // While answers are missing the lease is not extended: it has to end, so that
  // what runs there can be started elsewhere.
  if (On.Mode == OwnerMode::Owned && !On.Runs.empty() && On.Clock.known() &&
      !On.Suspect && !holdsRevoked(On, Now)) {
    On.LeaseGiven = Now;
    Order.LeaseEndMs = On.Clock.grant(Now, Limits.Lease);
    Order.WaitMs =
        std::chrono::duration_cast<std::chrono::milliseconds>(Limits.HoldWait)
            .count();
  }
  On.HoldOpen = true;
  On.HoldSent = Now;
  Effects.emplace_back(std::move(Order));
}

Dispatcher::Run Dispatcher::takeRun(Backend &On, const TaskId &Task) {
  const auto Found = On.Runs.find(Task);
  const Run Taken = Found->second;
  On.Used = On.Used - Taken.Need;
  On.Runs.erase(Found);
  LiveRuns.erase(Task);
  return Taken;
}

void Dispatcher::startAnswered(const StartOrder &Order,
                               const StartAnswer &Answer, Instant Now) {
  Backend *On = find(Order.To);
  if (On == nullptr)
    return;
  if (Answer.ClockMs)
    On->Clock.observe(*Answer.ClockMs, Now);
  const auto Found = On->Runs.find(Order.Task);
  if (Found == On->Runs.end() || Found->second.Number != Order.Run)
    return;
  Run &Of = Found->second;
  switch (Answer.Kind) {
  case StartAnswerKind::Started:
    if (Of.Phase == RunPhase::Starting)
      Of.Phase = RunPhase::Active;
    if (!Of.SeenAt)
      Of.SeenAt = Now;
    sendHold(*On, Now);
    return;
  case StartAnswerKind::NoAnswer:
    Of.MaybeSent = true;
    unresolvedStart(*On, Order.Task, Of, Now);
    return;
  default:
    break;
  }
  if (Of.MaybeSent || Of.Phase == RunPhase::Stopping) {
    // An earlier send of this order may have been carried out.
    if (Answer.Kind == StartAnswerKind::Fenced)
      fenced(*On, Now);
    else
      unresolvedStart(*On, Order.Task, Of, Now);
    return;
  }
  rejectedStart(*On, Order.Task, Of, Answer.Kind, Now);
  schedule(Now);
}

void Dispatcher::unresolvedStart(Backend &On, const TaskId &Task, Run &Of,
                                 Instant Now) {
  On.Suspect = true;
  On.NextHold = Now;
  if (Of.Phase != RunPhase::Starting)
    return;
  if (Of.Sends < Limits.StartSends && !Of.Abandoned) {
    sendStart(On, Task, Of, Now);
    return;
  }
  log(On, Task, Of.Number, "unresolved");
  sendStop(On, Task, Of, Now);
}

void Dispatcher::rejectedStart(Backend &On, const TaskId &Task, const Run &Of,
                               StartAnswerKind Kind, Instant Now) {
  const std::string Where = On.Report.Id;
  const uint64_t Number = Of.Number;
  takeRun(On, Task);
  switch (Kind) {
  case StartAnswerKind::Invalid:
    log(On, Task, Number, "invalid");
    taskFailed(Task, Where, Now);
    return;
  case StartAnswerKind::OldRun:
    if (const auto Found = Jobs.find(Task.Job); Found != Jobs.end())
      Found->second.Steps[Task.Step].Tasks[Task.Index].LastRun += RunNumberSkip;
    requeue(Task, {});
    return;
  case StartAnswerKind::Fenced:
    requeue(Task, Where);
    fenced(On, Now);
    return;
  case StartAnswerKind::WrongBackend:
    requeue(Task, Where);
    giveUpBackend(On, "address_reused");
    return;
  case StartAnswerKind::Unhealthy:
    if (recordFailure(On.Health, Limits, Now))
      log(On, Task, Number, "ejected");
    break;
  default:
    // No room, too late or not sent: the list of runs settles what is wrong.
    On.Suspect = true;
    On.NextHold = Now;
    break;
  }
  log(On, Task, Number, "rejected");
  requeue(Task, Where);
}

void Dispatcher::stopAnswered(const StopOrder &Order, StopAnswerKind Answer,
                              Instant Now) {
  Backend *On = find(Order.To);
  if (On == nullptr)
    return;
  if (Answer == StopAnswerKind::Fenced) {
    fenced(*On, Now);
    return;
  }
  const auto Found = On->Runs.find(Order.Task);
  if (Found == On->Runs.end() || Found->second.Number != Order.Run ||
      Answer != StopAnswerKind::Accepted)
    return;
  if (!Found->second.StopAccepted)
    Found->second.StopAccepted = Now;
  sendHold(*On, Now);
}

void Dispatcher::runsListed(const HoldOrder &Order, const RunList &List,
                            Instant Sent, Instant Now) {
  Backend *On = find(Order.To);
  if (On == nullptr)
    return;
  On->HoldOpen = false;
  if (On->Mode == OwnerMode::Probing) {
    probeAnswered(*On, Now);
    return;
  }
  if (List.Born && *List.Born != On->Report.Born) {
    On->Report.Born = *List.Born;
    newLife(*On, Now);
    return;
  }
  On->Suspect = false;
  On->Clock.observe(List.ClockMs, Now);
  for (const EndedRun &Ended : List.Ended) {
    if (Ended.Number <= On->SeenEnds)
      continue;
    On->SeenEnds = Ended.Number;
    runEnded(*On, Ended, Now);
  }
  checkListed(*On, List, Sent, Now);
  stopStrangers(*On, List, Now);
  if (On->Mode == OwnerMode::Acquiring && List.Active.empty())
    becomeOwned(*On);
  if (On->Releasing && On->Runs.empty()) {
    giveUpBackend(*On, "released");
    return;
  }
  schedule(Now);
  On->NextHold = Now + (On->Mode == OwnerMode::Owned ? Limits.IdleHold
                                                     : Limits.TakeoverPoll);
  // Ends that are not confirmed are listed at once again.
  if (!On->UnstoredEnds.empty())
    On->NextHold = Now + Limits.TakeoverPoll;
  else if (On->Mode == OwnerMode::Owned && !On->Runs.empty())
    sendHold(*On, Now);
}

void Dispatcher::holdFailed(const HoldOrder &Order, HoldFailure Failure,
                            Instant Now) {
  Backend *On = find(Order.To);
  if (On == nullptr)
    return;
  On->HoldOpen = false;
  if (On->Mode == OwnerMode::Probing) {
    On->Mode = OwnerMode::Foreign;
    if (Failure == HoldFailure::Fenced)
      probeAnswered(*On, Now);
    return;
  }
  switch (Failure) {
  case HoldFailure::Fenced:
    fenced(*On, Now);
    return;
  case HoldFailure::WrongBackend:
    giveUpBackend(*On, "address_reused");
    schedule(Now);
    return;
  case HoldFailure::NoAnswer:
    On->Suspect = true;
    On->NextHold = Now + Limits.HoldRetry;
    return;
  }
}

void Dispatcher::runEnded(Backend &On, const EndedRun &Ended, Instant Now) {
  const auto Found = On.Runs.find(Ended.Task);
  if (Found == On.Runs.end() || Found->second.Number != Ended.Run) {
    reportEnd(On, Ended, false);
    return;
  }
  const Run Of = takeRun(On, Ended.Task);
  if (Ended.How == RunEnd::Done) {
    learnPace(On, Of, Now);
    recordSuccess(On.Health);
  }
  if (Ended.How == RunEnd::Failed && recordFailure(On.Health, Limits, Now))
    log(On, Ended.Task, Ended.Run, "ejected");
  if (Ended.How != RunEnd::Done)
    log(On, Ended.Task, Ended.Run,
        Ended.How == RunEnd::Failed ? "failed" : "interrupted");
  if (Of.Abandoned) {
    if (Of.Stored)
      reportEnd(On, Ended, false);
    return;
  }
  if (Ended.How == RunEnd::Done)
    taskDone(Ended.Task, Ended.Run, Now);
  else if (Ended.How == RunEnd::Failed)
    taskFailed(Ended.Task, On.Report.Id, Now);
  else
    requeue(Ended.Task, On.Report.Id);
  if (Of.Stored)
    reportEnd(On, Ended, true);
}

void Dispatcher::reportEnd(Backend &On, const EndedRun &Ended, bool Taken) {
  if (Ended.How != RunEnd::Done && Ended.How != RunEnd::Failed)
    return;
  On.UnstoredEnds.insert(Ended.Number);
  Effects.emplace_back(RunEnded{{On.Report.Id, On.Life, Ended.Number},
                                Ended.Task,
                                Ended.Run,
                                Ended.How,
                                Taken});
}

void Dispatcher::runGone(Backend &On, const TaskId &Task, LateOrders Late) {
  const Run Of = takeRun(On, Task);
  log(On, Task, Of.Number, "gone");
  if (Late == LateOrders::Possible && Of.MaybeSent)
    UnresolvedStarts[Task] = {On.Report.Id, Of.Ordered};
  if (!Of.Abandoned)
    requeue(Task, On.Report.Id);
}

void Dispatcher::allRunsGone(Backend &On, LateOrders Late) {
  while (!On.Runs.empty())
    runGone(On, TaskId(On.Runs.begin()->first), Late);
}

bool Dispatcher::mayStartLate(const TaskId &Task, Instant Deadline,
                              Instant Now) const {
  const auto Found = UnresolvedStarts.find(Task);
  if (Found == UnresolvedStarts.end())
    return false;
  const Instant Ordered = Found->second.Ordered;
  return Now < Ordered + Limits.LatestLate &&
         Deadline > Ordered + Limits.EarliestLate;
}

bool Dispatcher::mayStartLate(const std::string &Job, Instant Now) const {
  const auto First = UnresolvedStarts.lower_bound({Job, 0, 0});
  return std::any_of(First, UnresolvedStarts.end(), [&](const auto &Each) {
    return Each.first.Job == Job &&
           Now < Each.second.Ordered + Limits.LatestLate;
  });
}

void Dispatcher::checkListed(Backend &On, const RunList &List, Instant Sent,
                             Instant Now) {
  std::set<TaskId> Listed;
  for (const ActiveRun &Seen : List.Active) {
    const auto Found = On.Runs.find(Seen.Task);
    if (Found == On.Runs.end() || Found->second.Number != Seen.Run)
      continue;
    Listed.insert(Seen.Task);
    if (Found->second.Phase == RunPhase::Starting)
      Found->second.Phase = RunPhase::Active;
    if (!Found->second.SeenAt)
      Found->second.SeenAt = Now;
    checkProgress(On, Seen, Now);
  }
  // A run that was there before the list was asked for, or that a stop had made
  // impossible by then, and is not listed, is gone.
  std::vector<TaskId> Gone;
  for (const auto &[Task, Of] : On.Runs) {
    const bool WasThere = Of.SeenAt && *Of.SeenAt <= Sent;
    const bool Prevented = Of.StopAccepted && *Of.StopAccepted <= Sent;
    if (!Listed.contains(Task) && (WasThere || Prevented))
      Gone.push_back(Task);
  }
  for (const TaskId &Task : Gone)
    runGone(On, Task, LateOrders::Excluded);
}

bool Dispatcher::hopeless(const Job &Of, Duration Age, int64_t Percent,
                          Instant Now) const {
  if (Age < Limits.ProgressAge || Percent < LeastPercent)
    return false;
  // The percentage may be rounded down.
  const double Done = static_cast<double>(Percent) + 1;
  const auto Left = Age * ((100.0 - Done) / Done);
  return Now + Left > Of.Deadline + Limits.Overhead;
}

void Dispatcher::checkProgress(Backend &On, const ActiveRun &Seen,
                               Instant Now) {
  Run &Of = On.Runs.at(Seen.Task);
  const auto Found = Jobs.find(Seen.Task.Job);
  if (Of.Phase != RunPhase::Active || Found == Jobs.end())
    return;
  detail::TaskState &Task =
      Found->second.Steps[Seen.Task.Step].Tasks[Seen.Task.Index];
  const Duration Age = Now - *Of.SeenAt;
  if (hopeless(Found->second, Age, Seen.Percent, Now)) {
    Effects.emplace_back(RunDecided{On.Report.Id, Seen.Task, Seen.Run,
                                    "too_slow", Age, Seen.Percent});
    endJob(Seen.Task.Job, JobResult::GivenUp, JobReason::DeadlinePassed, Now);
    return;
  }
  const auto Estimate = std::chrono::duration<double, std::micro>(Of.Estimate);
  const auto Patience = Limits.StragglerSlack + ProgressShare * Estimate;
  if (Task.Restarted || Age < Patience)
    return;
  const double Done = std::max<double>(static_cast<double>(Seen.Percent), 1);
  if (Age * 100.0 / Done <
      Limits.StragglerFactor * Estimate + Limits.StragglerSlack)
    return;
  Effects.emplace_back(RunDecided{On.Report.Id, Seen.Task, Seen.Run,
                                  "straggler", Age, Seen.Percent});
  Task.Restarted = true;
  recordFailure(On.Health, Limits, Now);
  sendStop(On, Seen.Task, Of, Now);
}

void Dispatcher::stopStrangers(Backend &On, const RunList &List, Instant) {
  for (const ActiveRun &Seen : List.Active) {
    const auto Found = On.Runs.find(Seen.Task);
    if (Found != On.Runs.end() && Found->second.Number == Seen.Run)
      continue;
    log(On, Seen.Task, Seen.Run, "stranger");
    Effects.emplace_back(StopOrder{target(On), Seen.Task, Seen.Run});
  }
}

void Dispatcher::confirmSuperseded(Backend &On, Instant Now) {
  if (On.SupersededEnds.empty() || !On.Runs.empty() ||
      Now < std::max(On.LeaseGiven, On.AcquireSince) + Limits.LeaseOver)
    return;
  for (const uint64_t Number : std::exchange(On.SupersededEnds, {}))
    On.UnstoredEnds.erase(Number);
  On.NextHold = Now;
}

double Dispatcher::paceOf(const Backend &Of) const {
  if (Of.Report.Labels.empty())
    return 1;
  const auto Found = KindPaces.find(Of.Report.Labels.front());
  return Found == KindPaces.end() ? 1 : Found->second;
}

bool Dispatcher::slow(const Backend &Of) const {
  return Of.Slowness > SlowRatio;
}

void Dispatcher::learnPace(Backend &Of, const Run &Ended, Instant Now) {
  if (Ended.Estimate <= Duration::zero() || !Ended.SeenAt ||
      Of.Report.Labels.empty())
    return;
  const double Ratio = std::chrono::duration<double>(Now - *Ended.SeenAt) /
                       std::chrono::duration<double>(Ended.Estimate);
  double &Pace =
      KindPaces.try_emplace(Of.Report.Labels.front(), 1).first->second;
  Of.Slowness +=
      SlownessWeight * (std::clamp(Ratio / Pace, 0.25, 8.0) - Of.Slowness);
  Pace += PaceWeight * (std::clamp(Ratio, 0.25, 4.0) - Pace);
}

} // namespace sapphiremoor
