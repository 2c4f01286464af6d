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

/// Slots that serve tasks in the order of their arrival.
class SlotPool {
public:
  explicit SlotPool(uint32_t Slots) {
    for (uint32_t Slot = 0; Slot < Slots; ++Slot)
      FreeAt.push(Duration{0});
  }

  /// Returns the end of a task that arrives not before the last one.
  Duration serve(Duration Arrival, Duration RunTime) {
    const Duration End = std::max(Arrival, FreeAt.top()) + RunTime;
    FreeAt.pop();
    FreeAt.push(End);
    return End;
  }

private:
  MinQueue<Duration> FreeAt;
};

/// One VM's view of the workers.
struct VmView {
  std::array<uint32_t, WorkerCount> Outstanding{};
  MinQueue<std::pair<Duration, uint32_t>> Answers;
  uint32_t Next = 0;
};

uint32_t chooseWorker(VmView &View, Choice Kind, Random &Generator) {
  if (Kind == Choice::Random)
    return static_cast<uint32_t>(Generator() % WorkerCount);
  const uint32_t Next = View.Next++ % WorkerCount;
  if (Kind == Choice::RoundRobin)
    return Next;
  uint32_t Best = Next;
  for (uint32_t Step = 1; Step < WorkerCount; ++Step) {
    const uint32_t Worker = (Next + Step) % WorkerCount;
    if (View.Outstanding[Worker] < View.Outstanding[Best])
      Best = Worker;
  }
  return Best;
}

} // namespace

RunOutcome runIdeal(const Trace &Jobs, uint32_t Slots) {
  SlotPool Pool(Slots);
  RunOutcome Outcome;
  for (const TraceJob &Job : Jobs) {
    Duration End{0};
    for (const Duration RunTime : Job.RunTimes)
      End = std::max(End, Pool.serve(Job.Arrival, RunTime));
    Outcome.Jobs.push_back({JobEnd::Complete, End - Job.Arrival});
  }
  return Outcome;
}

RunOutcome runBaseline(const Trace &Jobs, Choice Kind, uint64_t Seed,
                       uint32_t Stragglers, Duration FaultsAt) {
  Random Generator(Seed);
  std::vector<SlotPool> Workers(WorkerCount, SlotPool(SlotsPerWorker));
  std::array<VmView, VmCount> Views;
  RunOutcome Outcome;
  for (const TraceJob &Job : Jobs) {
    VmView &View = Views[Generator() % VmCount];
    const Duration AtVm = Job.Arrival + Hop;
    while (!View.Answers.empty() && View.Answers.top().first <= AtVm) {
      --View.Outstanding[View.Answers.top().second];
      View.Answers.pop();
    }
    Duration Last{0};
    for (const Duration RunTime : Job.RunTimes) {
      const uint32_t Worker = chooseWorker(View, Kind, Generator);
      const bool Slow = Worker < Stragglers && AtVm >= FaultsAt;
      const Duration Taken = Slow ? RunTime * StragglerSlowness : RunTime;
      const Duration Answer = Workers[Worker].serve(AtVm + Hop, Taken) + Hop;
      ++View.Outstanding[Worker];
      View.Answers.emplace(Answer, Worker);
      Last = std::max(Last, Answer);
    }
    Outcome.Jobs.push_back({JobEnd::Complete, Last + Hop - Job.Arrival});
  }
  return Outcome;
}

} // namespace sapphiremoor::bench
