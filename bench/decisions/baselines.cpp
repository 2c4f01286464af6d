#include "baselines.h"

#include "framework/core/random.h"

#include <algorithm>
#include <array>
#include <functional>
#include <queue>
#include <utility>

namespace sapphiremoor::bench {

namespace {

constexpr uint32_t VmCount = 3;

template <typename T>
using MinQueue = std::priority_queue<T, std::vector<T>, std::greater<>>;

/// Slots that run tasks in the order of their arrival.
class SlotPool {
public:
  explicit SlotPool(uint32_t Slots) {
    for (uint32_t Slot = 0; Slot < Slots; ++Slot)
      SlotFreeTimes.push(Duration{0});
  }

  /// Returns the time at which a task ends. Calls must be ordered by arrival.
  Duration serve(Duration Arrival, Duration RunTime) {
    const Duration End = std::max(Arrival, SlotFreeTimes.top()) + RunTime;
    SlotFreeTimes.pop();
    SlotFreeTimes.push(End);
    return End;
  }

private:
  MinQueue<Duration> SlotFreeTimes;
};

/// What one VM knows about the workers.
struct VmView {
  std::array<uint32_t, WorkerCount> Outstanding{};
  MinQueue<std::pair<Duration, uint32_t>> Answers;
  uint32_t NextWorker = 0;
};

uint32_t chooseWorker(VmView &View, WorkerSelection Kind, Random &Generator) {
  if (Kind == WorkerSelection::Random)
    return static_cast<uint32_t>(Generator() % WorkerCount);
  const uint32_t FirstWorker = View.NextWorker++ % WorkerCount;
  if (Kind == WorkerSelection::RoundRobin)
    return FirstWorker;
  uint32_t Best = FirstWorker;
  for (uint32_t Offset = 1; Offset < WorkerCount; ++Offset) {
    const uint32_t Worker = (FirstWorker + Offset) % WorkerCount;
    if (View.Outstanding[Worker] < View.Outstanding[Best])
      Best = Worker;
  }
  return Best;
}

} // namespace

SimulationOutcome simulateIdealQueue(const Trace &Jobs, uint32_t Slots) {
  SlotPool Pool(Slots);
  SimulationOutcome Outcome;
  for (const TraceJob &Job : Jobs) {
    Duration End{0};
    for (const Duration RunTime : Job.RunTimes)
      End = std::max(End, Pool.serve(Job.Arrival, RunTime));
    Outcome.Jobs.push_back({JobStatus::Complete, End - Job.Arrival});
  }
  return Outcome;
}

SimulationOutcome simulateBaseline(const Trace &Jobs, WorkerSelection Kind,
                                   uint64_t Seed, uint32_t Stragglers,
                                   Duration FaultStart) {
  Random Generator(Seed);
  std::vector<SlotPool> Workers(WorkerCount, SlotPool(SlotsPerWorker));
  std::array<VmView, VmCount> Views;
  SimulationOutcome Outcome;
  for (const TraceJob &Job : Jobs) {
    VmView &View = Views[Generator() % VmCount];
    const Duration VmArrival = Job.Arrival + OneWayDelay;
    while (!View.Answers.empty() && View.Answers.top().first <= VmArrival) {
      --View.Outstanding[View.Answers.top().second];
      View.Answers.pop();
    }
    Duration LastAnswer{0};
    for (const Duration RunTime : Job.RunTimes) {
      const uint32_t Worker = chooseWorker(View, Kind, Generator);
      const bool Slow = Worker < Stragglers && VmArrival >= FaultStart;
      const Duration ActualRunTime =
          Slow ? RunTime * StragglerSlowdown : RunTime;
      const Duration Answer =
          Workers[Worker].serve(VmArrival + OneWayDelay, ActualRunTime) +
          OneWayDelay;
      ++View.Outstanding[Worker];
      View.Answers.emplace(Answer, Worker);
      LastAnswer = std::max(LastAnswer, Answer);
    }
    Outcome.Jobs.push_back(
        {JobStatus::Complete, LastAnswer + OneWayDelay - Job.Arrival});
  }
  return Outcome;
}

} // namespace sapphiremoor::bench
