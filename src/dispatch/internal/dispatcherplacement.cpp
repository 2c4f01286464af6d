#include "dispatch/dispatcher.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace sapphiremoor {

using detail::hasLabel;
using detail::OwnershipMode;
using detail::RunPhase;
using detail::TaskPhase;
using detail::TaskState;

namespace {

/// Upper bound of the slots counted on one backend server for one task shape.
constexpr int64_t MaxSlotsPerBackend = 64;

/// Run-time ratios are compared in steps of this size; smaller differences are
/// noise in the estimates.
constexpr double RunTimeRatioStep = 0.15;

int64_t countSlots(const Resources &Demand, const Resources &Available) {
  int64_t Slots = MaxSlotsPerBackend;
  const auto LimitBy = [&Slots](int64_t PerTask, int64_t FreeAmount) {
    if (PerTask > 0)
      Slots = std::min(Slots, std::max<int64_t>(FreeAmount, 0) / PerTask);
  };
  LimitBy(Demand.MilliCores, Available.MilliCores);
  LimitBy(Demand.MemoryMb, Available.MemoryMb);
  LimitBy(Demand.Accelerators, Available.Accelerators);
  return Slots;
}

} // namespace

bool Dispatcher::isUsable(const BackendState &Backend, Instant Now) {
  return Backend.Mode == OwnershipMode::Owned && !Backend.Suspect &&
         !Backend.ReportOutdated && !Backend.Releasing &&
         !Backend.Report.Draining && !Backend.Ends.holdsSuperseded() &&
         Now >= Backend.Health.EjectedUntil;
}

SlotForecast Dispatcher::forecastSlots(const std::string &Service,
                                       const Resources &Demand,
                                       Instant Now) const {
  std::vector<Duration> SlotFreeAfter;
  for (const auto &[Id, Backend] : Backends) {
    if (!isUsable(Backend, Now) || Backend.Report.Service != Service)
      continue;
    if (Backend.Health.OnProbation) {
      if (Backend.Runs.empty())
        SlotFreeAfter.push_back(Duration::zero());
      continue;
    }
    SlotFreeAfter.insert(
        SlotFreeAfter.end(),
        static_cast<std::size_t>(countSlots(Demand, Backend.available())),
        Duration::zero());
    for (const auto &[Task, Run] : Backend.Runs) {
      const auto RunTime = std::chrono::duration_cast<Duration>(
          runTimeRatio(Backend) * Run.Estimate);
      const Duration TimeLeft = RunTime - (Now - Run.FirstSentAt);
      SlotFreeAfter.push_back(std::max(TimeLeft, Run.Estimate / 5));
    }
  }
  return SlotForecast(std::move(SlotFreeAfter));
}

Duration Dispatcher::reserveSlots(SlotForecast &Slots, const JobState &Job) {
  Duration Wait{0};
  for (std::size_t Step = 0; Step < Job.Steps.size(); ++Step)
    if (Job.Steps[Step].Waiting > 0 && detail::isReady(Job, Step))
      Wait = std::max(Wait,
                      Slots.reserve(Job.Steps[Step].Waiting,
                                    std::chrono::milliseconds(
                                        Job.Request.Steps[Step].EstimateMs)));
  return Wait;
}

Duration Dispatcher::expectedWait(const JobState &Job, Instant Now) const {
  const std::string &Service = Job.Request.Policy.Service;
  SlotForecast Slots =
      forecastSlots(Service, Job.Request.Steps.front().Demand, Now);
  const QueueKey OwnKey = queueKey(Job);
  for (const QueueKey &Key : Queue) {
    if (Key > OwnKey)
      break;
    const JobState &JobAhead = Jobs.at(Key.JobId);
    if (JobAhead.FeasibleLocally && JobAhead.Request.Policy.Service == Service)
      reserveSlots(Slots, JobAhead);
  }
  return reserveSlots(Slots, Job);
}

std::optional<std::string> Dispatcher::findFasterPeer(std::size_t TaskCount,
                                                      Duration Wait) {
  const auto MostFreePeer = std::ranges::max_element(
      PeerLoads, {}, [](const auto &Entry) { return Entry.second.FreeSlots; });
  if (MostFreePeer != PeerLoads.end() &&
      MostFreePeer->second.FreeSlots >= TaskCount) {
    MostFreePeer->second.FreeSlots -= static_cast<uint32_t>(TaskCount);
    return MostFreePeer->first;
  }
  const auto ShortestWaitPeer = std::ranges::min_element(
      PeerLoads, {}, [](const auto &Entry) { return Entry.second.WaitMs; });
  if (ShortestWaitPeer == PeerLoads.end())
    return std::nullopt;
  const Duration PeerWait =
      std::chrono::milliseconds(ShortestWaitPeer->second.WaitMs);
  // The load report of a peer is some tenths of a second old, so a small
  // difference is not significant.
  if (PeerWait * 2 + Limits.Overhead >= Wait)
    return std::nullopt;
  ShortestWaitPeer->second.WaitMs += 1 + static_cast<int64_t>(TaskCount);
  return ShortestWaitPeer->first;
}

void Dispatcher::updatePeerLoad(const std::string &Vm,
                                std::optional<DispatchLoad> Load) {
  if (Load)
    PeerLoads[Vm] = *Load;
  else
    PeerLoads.erase(Vm);
}

DispatchLoad Dispatcher::load(Instant Now) const {
  DispatchLoad Load;
  if (LatestService.empty()) {
    const auto OwnedCount =
        std::ranges::count_if(Backends, [](const auto &Entry) {
          return Entry.second.Mode == OwnershipMode::Owned;
        });
    Load.FreeSlots = static_cast<uint32_t>(OwnedCount);
    return Load;
  }
  SlotForecast Slots = forecastSlots(LatestService, TypicalDemand, Now);
  for (const QueueKey &Key : Queue) {
    const JobState &Job = Jobs.at(Key.JobId);
    if (!Job.FeasibleLocally)
      continue;
    for (const detail::StepState &Step : Job.Steps)
      Load.WaitingTasks += static_cast<uint32_t>(Step.Waiting);
    reserveSlots(Slots, Job);
  }
  Load.FreeSlots = static_cast<uint32_t>(Slots.freeNow());
  constexpr Duration MaxWait = std::chrono::hours(1);
  const Duration Wait = std::min(Slots.reserve(1, TypicalLength), MaxWait);
  Load.WaitMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(Wait).count();
  return Load;
}

void Dispatcher::schedule(Instant Now) {
  std::vector<Resources> UnplaceableDemands;
  std::vector<std::string> JobOrder;
  std::ranges::transform(Queue, std::back_inserter(JobOrder), &QueueKey::JobId);
  for (const std::string &JobId : JobOrder) {
    const bool Blocked = placeTasks(Jobs.at(JobId), UnplaceableDemands, Now);
    // Smaller tasks of later jobs use resources that do not suffice for the
    // jobs ahead of them.
    constexpr std::size_t MaxShapesTried = 12;
    if (Blocked && UnplaceableDemands.size() >= MaxShapesTried)
      return;
  }
}

bool Dispatcher::placeTasks(JobState &Job,
                            std::vector<Resources> &UnplaceableDemands,
                            Instant Now) {
  if (Job.Request.Stored && Now >= StoredLeaseEnd)
    return false;
  for (std::size_t Step = 0; Step < Job.Steps.size(); ++Step) {
    detail::StepState &State = Job.Steps[Step];
    if (State.Waiting == 0 || !detail::isReady(Job, Step))
      continue;
    const StepRequest &Request = Job.Request.Steps[Step];
    const bool Constrained =
        !Request.RequiredLabel.empty() || Request.MaxPerBackend > 0;
    const bool CannotFit =
        !Constrained &&
        std::ranges::any_of(UnplaceableDemands, [&](const Resources &Demand) {
          return fits(Demand, Request.Demand);
        });
    if (CannotFit)
      return true;
    for (std::size_t Index = 0; Index < State.Tasks.size(); ++Index) {
      const TaskState &Task = State.Tasks[Index];
      if (Task.Phase != TaskPhase::Waiting)
        continue;
      const TaskId Id{Job.Request.Id, static_cast<uint32_t>(Step),
                      static_cast<uint32_t>(Index)};
      if (RunLocations.contains(Id) || mayStartLate(Id, Job.Deadline, Now))
        continue;
      BackendState *Backend = chooseBackend(Job, Step, Task, Now);
      if (Backend == nullptr) {
        if (!Constrained)
          UnplaceableDemands.push_back(Request.Demand);
        return true;
      }
      // Waits for the backend server that suits the tasks best.
      if (Backend->StartingRuns >= Limits.MaxStartingRuns)
        break;
      startTask(*Backend, Job, Step, Index, Now);
    }
  }
  return false;
}

bool Dispatcher::isEligible(const BackendState &Backend, const JobState &Job,
                            std::size_t Step, Instant Now) const {
  const StepRequest &Request = Job.Request.Steps[Step];
  if (!isUsable(Backend, Now) || !Backend.Clock.hasReading() ||
      Backend.Report.Service != Job.Request.Policy.Service ||
      !fits(Request.Demand, Backend.available()) ||
      !mayPlace(Backend.Health, Backend.Runs.size(), Now))
    return false;
  if (!Request.RequiredLabel.empty() &&
      !hasLabel(Backend.Report, Request.RequiredLabel))
    return false;
  if (Request.MaxPerBackend == 0)
    return true;
  const auto SameStepRuns =
      std::ranges::count_if(Backend.Runs, [&](const auto &Entry) {
        return Entry.first.Job == Job.Request.Id && Entry.first.Step == Step;
      });
  return static_cast<uint32_t>(SameStepRuns) < Request.MaxPerBackend;
}

Dispatcher::BackendState *Dispatcher::chooseBackend(const JobState &Job,
                                                    std::size_t Step,
                                                    const TaskState &Task,
                                                    Instant Now) {
  const StepRequest &Request = Job.Request.Steps[Step];
  // A task has few attempts, so one that failed before is not placed on a
  // backend server with recent failures while there is an alternative.
  const bool HasAlternative =
      std::ranges::any_of(Backends, [&](const auto &Entry) {
        return isUsable(Entry.second, Now) &&
               Entry.second.Health.FailuresInRow == 0 &&
               Entry.second.Report.Service == Job.Request.Policy.Service &&
               fits(Request.Demand, Entry.second.Report.Capacity);
      });
  BackendState *BestBackend = nullptr;
  std::tuple<bool, bool, bool, double, int64_t> BestRank;
  for (auto &[Id, Backend] : Backends) {
    if (!isEligible(Backend, Job, Step, Now) ||
        (Task.Failures > 0 && HasAlternative &&
         Backend.Health.FailuresInRow > 0))
      continue;
    const bool FarFromData = !Request.DataRack.empty() &&
                             !hasLabel(Backend.Report, Request.DataRack);
    const double RatioStep =
        std::round(runTimeRatio(Backend) / RunTimeRatioStep);
    const std::tuple Rank(Id == Task.AvoidBackend, FarFromData,
                          Backend.Health.FailuresInRow > 0 || isSlow(Backend),
                          RatioStep,
                          (Backend.available() - Request.Demand).MilliCores);
    if (BestBackend != nullptr && Rank >= BestRank)
      continue;
    BestBackend = &Backend;
    BestRank = Rank;
  }
  return BestBackend;
}

void Dispatcher::startTask(BackendState &Backend, JobState &Job,
                           std::size_t Step, std::size_t Index, Instant Now) {
  TaskState &Task = Job.Steps[Step].Tasks[Index];
  const TaskId Id{Job.Request.Id, static_cast<uint32_t>(Step),
                  static_cast<uint32_t>(Index)};
  Task.Phase = TaskPhase::Placed;
  --Job.Steps[Step].Waiting;
  Queue.erase(queueKey(Job));
  Job.Started = true;
  if (hasWaitingTasks(Job))
    Queue.insert(queueKey(Job));
  RunState NewRun;
  NewRun.Number = ++Task.LastRun;
  Task.LastStartedRun = NewRun.Number;
  NewRun.Demand = Job.Request.Steps[Step].Demand;
  NewRun.Estimate =
      std::chrono::milliseconds(Job.Request.Steps[Step].EstimateMs);
  NewRun.FirstSentAt = Now;
  NewRun.Stored = Job.Request.Stored;
  Backend.Used = Backend.Used + NewRun.Demand;
  ++Backend.StartingRuns;
  RunLocations[Id] = Backend.Report.Id;
  sendStart(Backend, Id, Backend.Runs[Id] = NewRun, Now);
}

} // namespace sapphiremoor
