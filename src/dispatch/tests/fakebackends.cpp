#include "dispatch/tests/fakebackends.h"

#include <algorithm>
#include <utility>

namespace sapphiremoor {

namespace {

constexpr Duration Step = std::chrono::milliseconds(1);
constexpr Duration TickPeriod = std::chrono::milliseconds(50);
constexpr Duration OrderTimeout = std::chrono::milliseconds(150);
constexpr Duration StopTime = std::chrono::milliseconds(20);
constexpr int64_t LongestLeaseMs = 1000;

/// Two synced writes and the way of the messages.
constexpr Duration StoreTime = std::chrono::milliseconds(15);

int64_t millisecondsOf(Duration Of) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Of).count();
}

} // namespace

JobSubmission simpleJob(const std::string &Id, uint32_t Tasks,
                        int64_t EstimateMs, int64_t MilliCores) {
  JobSubmission Made;
  Made.Id = Id;
  Made.Policy = {"q", "stamp", 0, 3, 1.6, 1000};
  Made.DeadlineMs = 5000;
  StepRequest Only;
  Only.Count = Tasks;
  Only.EstimateMs = EstimateMs;
  Only.Need = {MilliCores, 10, 0};
  Made.Steps.push_back(Only);
  return Made;
}

Dispatcher &FakeBackends::addDispatcher(const std::string &Name, uint16_t Tag,
                                        const DispatchLimits &Limits) {
  Owners[Name].Decisions = std::make_unique<Dispatcher>(Limits, Tag);
  return dispatcher(Name);
}

void FakeBackends::addBackend(const std::string &Id, const Resources &Capacity,
                              const std::string &Kind) {
  Server &Added = Servers[Id];
  Added.Report = {Id,
                  1,
                  1,
                  "stamp",
                  {"10.0.0.1", 80},
                  "nitra",
                  Capacity,
                  {Kind, "rack-1"},
                  false};
  Added.Booted = Now - std::chrono::seconds(7);
}

void FakeBackends::tell(const std::string &Backend, const std::string &Owner) {
  dispatcher(Owner).backendReported(Servers.at(Backend).Report, Now);
}

void FakeBackends::probe(const std::string &Backend, const std::string &Owner) {
  dispatcher(Owner).probe(Backend, Now);
  collect(Owner);
}

void FakeBackends::give(const std::string &Backend, const std::string &Owner) {
  tell(Backend, Owner);
  dispatcher(Owner).acquire(Backend, NextTerm++, Now);
  collect(Owner);
}

void FakeBackends::submit(const std::string &At, const JobSubmission &Job) {
  Jobs[Job.Id] = Job;
  dispatcher(At).submit(Job, {"entry", NextRequest++}, 0, Now);
  collect(At);
}

void FakeBackends::run(Duration Time) {
  const Instant Until = Now + Time;
  while (Now < Until) {
    Now += Step;
    tickServers();
    while (!Events.empty() && Events.begin()->first <= Now) {
      const auto What = std::move(Events.begin()->second);
      Events.erase(Events.begin());
      What();
    }
    if ((Now.time_since_epoch() % TickPeriod).count() != 0)
      continue;
    for (auto &[Name, Of] : Owners) {
      if (Of.Frozen)
        continue;
      Of.Decisions->storedUntil(
          StoreRights.contains(Name) ? Now + std::chrono::seconds(1) : Now);
      Of.Decisions->tick(Now);
      collect(Name);
    }
  }
}

void FakeBackends::crash(const std::string &Backend, Duration Down) {
  Server &Of = Servers.at(Backend);
  if (Of.Down)
    return;
  Of.Runs.clear();
  Of.Ended.clear();
  Of.HighestEnded.clear();
  Of.NextEnd = 1;
  Of.Token = 0;
  Of.LeaseEndMs = 0;
  Of.Down = true;
  at(Now + Down, [this, &Of] {
    Of.Down = false;
    Of.Booted = Now;
    ++Of.Report.Born;
    Of.Report.Sequence = 1;
    for (auto &[Name, Each] : Owners) {
      Each.Decisions->backendReported(Of.Report, Now);
      collect(Name);
    }
  });
}

void FakeBackends::silence(const std::string &Backend, bool Silent) {
  Servers.at(Backend).Silent = Silent;
}

void FakeBackends::freeze(const std::string &Name, bool Frozen) {
  Owners.at(Name).Frozen = Frozen;
}

std::size_t FakeBackends::activeRuns(const std::string &Backend) const {
  return Servers.at(Backend).Runs.size();
}

std::vector<JobAnswer> FakeBackends::answersTo(const std::string &Job) const {
  std::vector<JobAnswer> Found;
  std::ranges::copy_if(
      Answers, std::back_inserter(Found),
      [&Job](const JobAnswer &Each) { return Each.Job == Job; });
  return Found;
}

void FakeBackends::at(Instant When, std::function<void()> What) {
  Events.emplace(When, std::move(What));
}

Duration FakeBackends::delay() {
  return std::chrono::microseconds(300 + Rng() % 2000);
}

int64_t FakeBackends::clock(const Server &At) const {
  return millisecondsOf(Now - At.Booted);
}

void FakeBackends::collect(const std::string &Name) {
  Owner &Of = Owners.at(Name);
  for (const DispatchEffect &Effect : Of.Decisions->takeEffects()) {
    if (const auto *Start = std::get_if<StartOrder>(&Effect))
      perform(Name, *Start);
    else if (const auto *Stop = std::get_if<StopOrder>(&Effect))
      perform(Name, *Stop);
    else if (const auto *Hold = std::get_if<HoldOrder>(&Effect))
      perform(Name, *Hold);
    else if (const auto *Store = std::get_if<StoreJob>(&Effect))
      perform(Name, *Store);
    else if (const auto *Progress = std::get_if<JobProgressed>(&Effect))
      perform(Name, *Progress);
    else if (const auto *Ended = std::get_if<RunEnded>(&Effect))
      perform(Name, *Ended);
    else if (const auto *Answer = std::get_if<JobAnswer>(&Effect)) {
      Answers.push_back(*Answer);
      if (Answer->Result == JobResult::NotRun && StartedTasks[Answer->Job] > 0)
        Violations.push_back("said not run: " + Answer->Job);
    }
  }
}

void FakeBackends::carry(
    const std::string &Name, const ControlTarget &To,
    const std::function<void(Server &, std::function<void(Told)>)> &Execute,
    const Told &NoAnswer, Duration Timeout) {
  Server &Of = Servers.at(To.Backend);
  const auto Answered = std::make_shared<bool>(false);
  const auto Deliver = [this, Name, Answered](const Told &What) {
    if (!std::exchange(*Answered, true))
      deliver(Name, What);
  };
  std::uniform_real_distribution<double> Share(0, 1);
  const bool Late = Share(Rng) < LateShare;
  const bool Lost = Share(Rng) < LossShare || CutOff.contains(To.Backend);
  const bool AnswerLost = Late || Share(Rng) < LossShare;
  const Duration Way =
      Late ? std::chrono::milliseconds(2000 + Rng() % 10000) : delay();
  at(Now + Way, [=, this, &Of] {
    if (Lost || Of.Down || Of.Silent)
      return;
    Execute(Of, [=, this, &Of](const Told &What) {
      if (!AnswerLost && !Of.Silent && !Of.Down)
        at(Now + delay(), [Deliver, What] { Deliver(What); });
    });
  });
  at(Now + Timeout, [Deliver, NoAnswer] { Deliver(NoAnswer); });
}

void FakeBackends::deliver(const std::string &Name, const Told &What) {
  Owner &Asker = Owners.at(Name);
  if (Asker.Frozen) {
    at(Now + TickPeriod, [this, Name, What] { deliver(Name, What); });
    return;
  }
  What(*Asker.Decisions);
  collect(Name);
}

void FakeBackends::perform(const std::string &Name, const StoreJob &Effect) {
  at(Now + StoreTime, [this, Name, Effect] {
    Stored[Effect.Job.Id] = {};
    Answers.push_back({Effect.From,
                       Effect.Job.Id,
                       JobResult::Accepted,
                       JobReason::None,
                       0,
                       {}});
    dispatcher(Name).runStored(Effect.Job, {}, Now);
    collect(Name);
  });
}

void FakeBackends::perform(const std::string &Name,
                           const JobProgressed &Effect) {
  if (!StoreRights.contains(Name))
    return;
  at(Now + StoreTime, [this, Effect] { Stored[Effect.Job] = Effect.Progress; });
}

void FakeBackends::perform(const std::string &Name, const RunEnded &Effect) {
  // What no dispatcher with the right takes stays open.
  at(Now + StoreTime, [this, Name, Effect] {
    bool Superseded = false;
    bool Taken = Effect.Taken && StoreRights.contains(Name);
    for (auto &[Other, Of] : Owners) {
      if (Taken || !StoreRights.contains(Other))
        continue;
      const auto Meaning =
          Of.Decisions->foreignEnded(Effect.Task, Effect.Run, Effect.How, Now);
      Taken = Meaning.has_value();
      Superseded = Taken && *Meaning == ForeignEnd::Superseded;
      collect(Other);
    }
    if (Taken)
      dispatcher(Name).endStored(Effect.At, Superseded, Now);
    else
      perform(Name, Effect);
    collect(Name);
  });
}

void FakeBackends::handOver(const std::string &Job, const std::string &From,
                            const std::string &To) {
  dispatcher(From).dropStored(Job, Now);
  collect(From);
  dispatcher(To).runStored(Jobs.at(Job), Stored.at(Job), Now);
  collect(To);
}

void FakeBackends::perform(const std::string &Name, const StartOrder &Order) {
  carry(
      Name, Order.To,
      [this, Order](Server &At, const std::function<void(Told)> &Reply) {
        const StartAnswer Answer = start(At, Order);
        Reply([this, Order, Answer](Dispatcher &To) {
          To.startAnswered(Order, Answer, Now);
        });
      },
      [this, Order](Dispatcher &To) { To.startAnswered(Order, {}, Now); },
      OrderTimeout);
}

void FakeBackends::perform(const std::string &Name, const StopOrder &Order) {
  carry(
      Name, Order.To,
      [this, Order](Server &At, const std::function<void(Told)> &Reply) {
        const StopAnswerKind Answer = stop(At, Order);
        Reply([this, Order, Answer](Dispatcher &To) {
          To.stopAnswered(Order, Answer, Now);
        });
      },
      [this, Order](Dispatcher &To) {
        To.stopAnswered(Order, StopAnswerKind::NoAnswer, Now);
      },
      OrderTimeout);
}

void FakeBackends::perform(const std::string &Name, const HoldOrder &Order) {
  const Instant Sent = Now;
  carry(
      Name, Order.To,
      [this, Order, Sent](Server &At, const std::function<void(Told)> &Reply) {
        const bool Obeyed = hold(At, Order);
        const auto Tell = [this, Order, Sent, Reply](const HoldAnswer &Answer) {
          Reply([this, Order, Sent, Answer](Dispatcher &To) {
            if (const auto *List = std::get_if<RunList>(&Answer))
              To.runsListed(Order, *List, Sent, Now);
            else
              To.holdFailed(Order, std::get<HoldFailure>(Answer), Now);
          });
        };
        const bool Wait = Obeyed && Order.WaitMs > 0 && At.Ended.empty();
        const Duration Pause =
            Wait ? std::chrono::milliseconds(1 + Rng() % 60) : Duration(0);
        at(Now + Pause, [this, &At, Order, Tell] { Tell(list(At, Order)); });
      },
      [this, Order](Dispatcher &To) {
        To.holdFailed(Order, HoldFailure::NoAnswer, Now);
      },
      OrderTimeout + std::chrono::milliseconds(Order.WaitMs));
}

StartAnswer FakeBackends::start(Server &At, const StartOrder &Order) {
  const int64_t Clock = clock(At);
  if (Order.To.FencingToken < At.Token)
    return {StartAnswerKind::Fenced, Clock};
  At.Token = Order.To.FencingToken;
  if (Clock > Order.LeaseEndMs)
    return {StartAnswerKind::TooLate, Clock};
  At.LeaseEndMs = std::max(At.LeaseEndMs,
                           std::min(Order.LeaseEndMs, Clock + LongestLeaseMs));
  const auto Found = At.Runs.find(Order.Task);
  if (Found != At.Runs.end() && Found->second.Number == Order.Run)
    return {StartAnswerKind::Started, Clock};
  const auto Highest = At.HighestEnded.find(Order.Task);
  if (Highest != At.HighestEnded.end() && Order.Run <= Highest->second)
    return {StartAnswerKind::OldRun, Clock};
  const JobSubmission &Job = Jobs.at(Order.Task.Job);
  const StepRequest &Shape = Job.Steps[Order.Task.Step];
  if (const auto Kept = Confirmed.find(Order.Task);
      Job.Stored && Kept != Confirmed.end() && Kept->second == RunEnd::Done)
    Violations.push_back("ran again after its end: " + Order.Task.Job);
  for (const auto &[Id, Other] : Servers)
    if (Other.Runs.contains(Order.Task))
      Violations.push_back("two runs of one task of " + Order.Task.Job);
  Resources Used = Shape.Need;
  for (const auto &[Task, Each] : At.Runs)
    Used = Used + Each.Need;
  if (!fits(Used, At.Report.Capacity))
    Violations.push_back("over capacity: " + At.Report.Id);
  const double Slow =
      Slowness.contains(At.Report.Id) ? Slowness.at(At.Report.Id) : 1;
  const double Spread = 0.7 + 0.6 * static_cast<double>(Rng() % 1000) / 1000;
  const auto Work = std::chrono::duration_cast<Duration>(
      std::chrono::milliseconds(Shape.EstimateMs) * Spread * Slow);
  At.Runs[Order.Task] = {Order.Run, Shape.Need, Now, Now + Work, false};
  ++At.Starts;
  ++StartedTasks[Order.Task.Job];
  return {StartAnswerKind::Started, Clock};
}

StopAnswerKind FakeBackends::stop(Server &At, const StopOrder &Order) {
  if (Order.To.FencingToken < At.Token)
    return StopAnswerKind::Fenced;
  At.Token = Order.To.FencingToken;
  uint64_t &Highest = At.HighestEnded[Order.Task];
  const auto Found = At.Runs.find(Order.Task);
  if (Found != At.Runs.end() && Found->second.Number == Order.Run) {
    Found->second.Stopping = true;
    Found->second.Ends = std::min(Found->second.Ends, Now + StopTime);
  }
  Highest = std::max(Highest, Order.Run);
  return StopAnswerKind::Accepted;
}

bool FakeBackends::hold(Server &At, const HoldOrder &Order) {
  if (Order.To.FencingToken < At.Token)
    return false;
  At.Token = Order.To.FencingToken;
  if (Order.LeaseEndMs)
    At.LeaseEndMs = std::max(
        At.LeaseEndMs, std::min(*Order.LeaseEndMs, clock(At) + LongestLeaseMs));
  for (const EndedRun &Each : At.Ended)
    if (Each.Number <= Order.ConfirmedEnds && At.LeaseEndMs >= clock(At))
      Confirmed[Each.Task] = Each.How;
  std::erase_if(At.Ended, [&Order](const EndedRun &Each) {
    return Each.Number <= Order.ConfirmedEnds;
  });
  return true;
}

FakeBackends::HoldAnswer FakeBackends::list(Server &At,
                                            const HoldOrder &Order) {
  if (Order.To.FencingToken < At.Token)
    return HoldFailure::Fenced;
  RunList List;
  List.ClockMs = clock(At);
  List.Born = At.Report.Born;
  for (const auto &[Task, Each] : At.Runs) {
    const double Share = std::chrono::duration<double>(Now - Each.Started) /
                         std::chrono::duration<double>(
                             std::max(Each.Ends - Each.Started, Duration(1)));
    List.Active.push_back(
        {Task, Each.Number, static_cast<int64_t>(100 * std::min(Share, 0.99))});
  }
  List.Ended = At.Ended;
  return List;
}

void FakeBackends::end(Server &At, const TaskId &Task, RunEnd How) {
  const ServerRun Of = At.Runs.at(Task);
  At.Runs.erase(Task);
  uint64_t &Highest = At.HighestEnded[Task];
  Highest = std::max(Highest, Of.Number);
  At.Ended.push_back({At.NextEnd++, Task, Of.Number, How});
}

void FakeBackends::tickServers() {
  for (auto &[Id, Of] : Servers) {
    const bool Expired = clock(Of) > Of.LeaseEndMs;
    std::vector<std::pair<TaskId, RunEnd>> Ends;
    for (const auto &[Task, Each] : Of.Runs) {
      if (Expired)
        Ends.emplace_back(Task, RunEnd::LeaseExpired);
      else if (Now >= Each.Ends)
        Ends.emplace_back(Task, Each.Stopping ? RunEnd::Stopped : RunEnd::Done);
    }
    for (auto &[Task, How] : Ends) {
      const double Fails = FailShare.contains(Id) ? FailShare.at(Id) : 0;
      if (How == RunEnd::Done &&
          std::uniform_real_distribution<double>(0, 1)(Rng) < Fails)
        How = RunEnd::Failed;
      end(Of, Task, How);
    }
  }
}

} // namespace sapphiremoor
