#include "dispatch/dispatcher.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace sapphiremoor {

using detail::hasLabel;
using detail::OwnerMode;
using detail::RunPhase;
using detail::TaskPhase;
using detail::TaskState;

namespace {

/// Places counted on one backend server for one shape of task.
constexpr int64_t MostPlaces = 64;

/// Differences of the pace below this are noise of the estimates.
constexpr double PaceStep = 0.15;

int64_t placesFor(const Resources &Need, const Resources &Room) {
  int64_t Places = MostPlaces;
  const auto Bound = [&Places](int64_t Each, int64_t Free) {
    if (Each > 0)
      Places = std::min(Places, std::max<int64_t>(Free, 0) / Each);
  };
  Bound(Need.MilliCores, Room.MilliCores);
  Bound(Need.MemoryMb, Room.MemoryMb);
  Bound(Need.Accelerators, Room.Accelerators);
  return Places;
}

} // namespace

bool Dispatcher::usable(const Backend &Of, Instant Now) {
  return Of.Mode == OwnerMode::Owned && !Of.Suspect && !Of.Releasing &&
         !Of.Report.Draining && Of.SupersededEnds.empty() &&
         Now >= Of.Health.EjectedUntil;
}

PlaceForecast Dispatcher::places(const std::string &Service,
                                 const Resources &Need, Instant Now) const {
  std::vector<Duration> FreeAfter;
  for (const auto &[Id, Of] : Backends) {
    if (!usable(Of, Now) || Of.Report.Service != Service)
      continue;
    if (Of.Health.OnProbation) {
      if (Of.Runs.empty())
        FreeAfter.push_back(Duration::zero());
      continue;
    }
    FreeAfter.insert(FreeAfter.end(),
                     static_cast<std::size_t>(placesFor(Need, Of.room())),
                     Duration::zero());
    for (const auto &[Task, Each] : Of.Runs) {
      const auto Length =
          std::chrono::duration_cast<Duration>(paceOf(Of) * Each.Estimate);
      const Duration Left = Length - (Now - Each.Ordered);
      FreeAfter.push_back(std::max(Left, Each.Estimate / 5));
    }
  }
  return PlaceForecast(std::move(FreeAfter));
}

Duration Dispatcher::takePlaces(PlaceForecast &Places, const Job &Of) {
  Duration Wait{0};
  for (std::size_t Step = 0; Step < Of.Steps.size(); ++Step)
    if (Of.Steps[Step].Waiting > 0 && detail::ready(Of, Step))
      Wait =
          std::max(Wait, Places.take(Of.Steps[Step].Waiting,
                                     std::chrono::milliseconds(
                                         Of.Request.Steps[Step].EstimateMs)));
  return Wait;
}

Duration Dispatcher::expectedWait(const Job &Of, Instant Now) const {
  const std::string &Service = Of.Request.Policy.Service;
  PlaceForecast Places = places(Service, Of.Request.Steps.front().Need, Now);
  const QueueKey Own = keyOf(Of);
  for (const QueueKey &Key : Queue) {
    if (Key > Own)
      break;
    const Job &Ahead = Jobs.at(Key.Job);
    if (Ahead.Placeable && Ahead.Request.Policy.Service == Service)
      takePlaces(Places, Ahead);
  }
  return takePlaces(Places, Of);
}

std::optional<std::string> Dispatcher::betterPeer(std::size_t Tasks,
                                                  Duration Wait) {
  const auto Roomiest = std::ranges::max_element(
      Peers, {}, [](const auto &Each) { return Each.second.FreePlaces; });
  if (Roomiest != Peers.end() && Roomiest->second.FreePlaces >= Tasks) {
    Roomiest->second.FreePlaces -= static_cast<uint32_t>(Tasks);
    return Roomiest->first;
  }
  const auto Soonest = std::ranges::min_element(
      Peers, {}, [](const auto &Each) { return Each.second.WaitMs; });
  if (Soonest == Peers.end())
    return std::nullopt;
  const Duration There = std::chrono::milliseconds(Soonest->second.WaitMs);
  // The load of a peer is some tenths of a second old, so a small difference
  // proves nothing.
  if (There * 2 + Limits.Overhead >= Wait)
    return std::nullopt;
  Soonest->second.WaitMs += 1 + static_cast<int64_t>(Tasks);
  return Soonest->first;
}

void Dispatcher::peerLoad(const std::string &Vm,
                          std::optional<DispatchLoad> Load) {
  if (Load)
    Peers[Vm] = *Load;
  else
    Peers.erase(Vm);
}

DispatchLoad Dispatcher::load(Instant Now) const {
  DispatchLoad Told;
  if (UsualService.empty()) {
    const auto Owned = std::ranges::count_if(Backends, [](const auto &Each) {
      return Each.second.Mode == OwnerMode::Owned;
    });
    Told.FreePlaces = static_cast<uint32_t>(Owned);
    return Told;
  }
  PlaceForecast Places = places(UsualService, UsualNeed, Now);
  for (const QueueKey &Key : Queue) {
    const Job &Of = Jobs.at(Key.Job);
    if (!Of.Placeable)
      continue;
    for (const detail::StepState &Step : Of.Steps)
      Told.WaitingTasks += static_cast<uint32_t>(Step.Waiting);
    takePlaces(Places, Of);
  }
  Told.FreePlaces = static_cast<uint32_t>(Places.freeNow());
  constexpr Duration LongestWait = std::chrono::hours(1);
  const Duration Wait = std::min(Places.take(1, UsualLength), LongestWait);
  Told.WaitMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(Wait).count();
  return Told;
}

void Dispatcher::schedule(Instant Now) {
  std::vector<Resources> TooLarge;
  std::vector<std::string> Order;
  std::ranges::transform(Queue, std::back_inserter(Order), &QueueKey::Job);
  for (const std::string &Name : Order) {
    const bool Full = placeTasks(Jobs.at(Name), TooLarge, Now);
    // Smaller tasks of later jobs fill room that is of no use to those ahead.
    constexpr std::size_t ShapesTried = 12;
    if (Full && TooLarge.size() >= ShapesTried)
      return;
  }
}

bool Dispatcher::placeTasks(Job &Of, std::vector<Resources> &TooLarge,
                            Instant Now) {
  if (Of.Request.Stored && Now >= StoredLease)
    return false;
  for (std::size_t Step = 0; Step < Of.Steps.size(); ++Step) {
    detail::StepState &State = Of.Steps[Step];
    if (State.Waiting == 0 || !detail::ready(Of, Step))
      continue;
    const StepRequest &Shape = Of.Request.Steps[Step];
    const bool Special =
        !Shape.RequiredLabel.empty() || Shape.MaxPerBackend > 0;
    const bool Hopeless =
        !Special && std::ranges::any_of(TooLarge, [&](const Resources &Each) {
          return fits(Each, Shape.Need);
        });
    if (Hopeless)
      return true;
    for (std::size_t Index = 0; Index < State.Tasks.size(); ++Index) {
      const TaskState &Task = State.Tasks[Index];
      if (Task.Phase != TaskPhase::Waiting)
        continue;
      const TaskId Id{Of.Request.Id, static_cast<uint32_t>(Step),
                      static_cast<uint32_t>(Index)};
      if (LiveRuns.contains(Id) || mayStartLate(Id, Of.Deadline, Now))
        continue;
      Backend *On = choose(Of, Step, Task, Now);
      if (On == nullptr) {
        if (!Special)
          TooLarge.push_back(Shape.Need);
        return true;
      }
      start(*On, Of, Step, Index, Now);
    }
  }
  return false;
}

bool Dispatcher::eligible(const Backend &Of, const Job &For, std::size_t Step,
                          Instant Now) const {
  const StepRequest &Shape = For.Request.Steps[Step];
  if (!usable(Of, Now) || !Of.Clock.known() ||
      Of.Report.Service != For.Request.Policy.Service ||
      !fits(Shape.Need, Of.room()) || !mayPlace(Of.Health, Of.Runs.size(), Now))
    return false;
  if (!Shape.RequiredLabel.empty() && !hasLabel(Of.Report, Shape.RequiredLabel))
    return false;
  if (Shape.MaxPerBackend == 0)
    return true;
  const auto Beside = std::ranges::count_if(Of.Runs, [&](const auto &Each) {
    return Each.first.Job == For.Request.Id && Each.first.Step == Step;
  });
  return static_cast<uint32_t>(Beside) < Shape.MaxPerBackend;
}

Dispatcher::Backend *Dispatcher::choose(const Job &Of, std::size_t Step,
                                        const TaskState &Task, Instant Now) {
  const StepRequest &Shape = Of.Request.Steps[Step];
  // A task that failed before is not tried where runs fail, as long as there is
  // another place: its attempts are few.
  const bool Alternatives =
      std::ranges::any_of(Backends, [&](const auto &Other) {
        return usable(Other.second, Now) &&
               Other.second.Health.FailuresInRow == 0 &&
               Other.second.Report.Service == Of.Request.Policy.Service &&
               fits(Shape.Need, Other.second.Report.Capacity);
      });
  Backend *Best = nullptr;
  std::tuple<bool, bool, bool, double, int64_t> BestRank;
  for (auto &[Id, Each] : Backends) {
    if (!eligible(Each, Of, Step, Now) ||
        (Task.Failures > 0 && Alternatives && Each.Health.FailuresInRow > 0))
      continue;
    const bool FarFromData =
        !Shape.DataRack.empty() && !hasLabel(Each.Report, Shape.DataRack);
    const double Pace = std::round(paceOf(Each) / PaceStep);
    const std::tuple Rank(Id == Task.Avoid, FarFromData,
                          Each.Health.FailuresInRow > 0 || slow(Each), Pace,
                          (Each.room() - Shape.Need).MilliCores);
    if (Best != nullptr && Rank >= BestRank)
      continue;
    Best = &Each;
    BestRank = Rank;
  }
  return Best;
}

void Dispatcher::start(Backend &On, Job &Of, std::size_t Step,
                       std::size_t Index, Instant Now) {
  TaskState &Task = Of.Steps[Step].Tasks[Index];
  const TaskId Id{Of.Request.Id, static_cast<uint32_t>(Step),
                  static_cast<uint32_t>(Index)};
  Task.Phase = TaskPhase::Placed;
  --Of.Steps[Step].Waiting;
  Queue.erase(keyOf(Of));
  Of.Started = true;
  if (anyWaiting(Of))
    Queue.insert(keyOf(Of));
  Run Added;
  Added.Number = ++Task.LastRun;
  Task.LastOrdered = Added.Number;
  Added.Need = Of.Request.Steps[Step].Need;
  Added.Estimate = std::chrono::milliseconds(Of.Request.Steps[Step].EstimateMs);
  Added.Ordered = Now;
  Added.Stored = Of.Request.Stored;
  On.Used = On.Used + Added.Need;
  LiveRuns[Id] = On.Report.Id;
  sendStart(On, Id, On.Runs[Id] = Added, Now);
}

} // namespace sapphiremoor
