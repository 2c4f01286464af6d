// A zone is cut off while stored jobs end in it. Their callers there are shown
// that they are done.

#include "../kit/deployment.h"

#include <algorithm>
#include <iostream>
#include <map>
#include <thread>

using namespace review;

namespace {

constexpr uint64_t Jobs = 60;
constexpr int64_t PauseMs = 40;
constexpr int64_t TaskMs = 1500;
constexpr int64_t CutMs = 5500;
constexpr int64_t SettleMs = 8000;
/// A start counts if it comes later than this after the job was shown as done.
constexpr int64_t ShownMs = 1000;
constexpr int64_t ContactMs = 3000;

} // namespace

int main(int, char **Arguments) {
  Record Events(Arguments[1]);
  RunLog Runs;
  Deployment System(Events, Runs, true);
  if (!System.start(4, 1500))
    return CannotRun;
  const nlohmann::json Job = {{"spec", std::to_string(TaskMs)},
                              {"steps",
                               {{{"count", 1},
                                 {"cpu", 2000},
                                 {"mem_mb", 64},
                                 {"estimate_ms", TaskMs}}}}};
  for (uint64_t Number = 1; Number <= Jobs; ++Number) {
    System.submit(System.front(0), jobId(Number), Job, 1500);
    sleepMs(PauseMs);
  }
  const int64_t CutAt = nowMs();
  if (withTrouble())
    System.cutZone(0);
  // The callers in the zone ask for each job as soon as its task has ended.
  std::map<std::string, int64_t> ShownDone;
  while (nowMs() < CutAt + CutMs) {
    for (const RunHistory &Run : Runs.runs()) {
      const std::string Id = Run.Task.substr(0, Run.Task.find('.'));
      if (Run.How != "done" || ShownDone.contains(Id) ||
          nowMs() - Run.EndMs > ShownMs || nowMs() > CutAt + CutMs)
        continue;
      if (System.state(System.front(0), Id) != "done")
        continue;
      ShownDone[Id] = nowMs();
      Events.add("job " + Id + " is shown as done in the first zone");
    }
    sleepMs(5);
  }
  if (withTrouble())
    System.healZone();
  sleepMs(SettleMs);
  bool Broken = false;
  for (const RunHistory &Run : Runs.runs()) {
    const std::string Id = Run.Task.substr(0, Run.Task.find('.'));
    const auto It = ShownDone.find(Id);
    if (It == ShownDone.end() || Run.StartMs < It->second + ShownMs ||
        Run.StartMs < CutAt + ContactMs)
      continue;
    Broken = true;
    Events.add("BROKEN TWICE: " + Run.Task + " was started on " + Run.Worker +
               " " + std::to_string(Run.StartMs - It->second) +
               " ms after its job was shown as done");
  }
  if (!System.allRunning() || ShownDone.empty())
    return CannotRun;
  std::cout << (Broken ? "rule broken\n" : "rule held\n");
  return Broken ? RuleBroken : RuleHeld;
}
