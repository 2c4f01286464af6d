// A client's channel is reset while its best-effort job runs on another zone's
// worker, and the client sends the job again.

#include "../kit/deployment.h"

#include <algorithm>
#include <iostream>
#include <thread>

using namespace review;

namespace {

constexpr int64_t RetransmitMs = 1300;
constexpr int64_t DeadlineMs = 1500;
/// Like a `proof-render` that takes longer than it was declared to.
constexpr int64_t EstimateMs = 900;
constexpr int64_t LengthMs = 1425;

nlohmann::json job(int Tasks, int64_t EstimateMs, int64_t LengthMs) {
  return {{"spec", std::to_string(LengthMs)},
          {"best_effort", true},
          {"steps",
           {{{"count", Tasks},
             {"cpu", 32000},
             {"mem_mb", 64},
             {"estimate_ms", EstimateMs}}}}};
}

bool hasStarted(const std::vector<RunHistory> &Runs, const std::string &Id) {
  return std::ranges::any_of(
      Runs, [&Id](const RunHistory &Run) { return Run.Task.starts_with(Id); });
}

/// Returns true if two runs of one task were active at the same time.
bool ranTwiceAtOnce(const std::vector<RunHistory> &Runs, Record &Events) {
  bool Twice = false;
  for (std::size_t First = 0; First < Runs.size(); ++First)
    for (std::size_t Second = First + 1; Second < Runs.size(); ++Second) {
      const RunHistory &A = Runs[First];
      const RunHistory &B = Runs[Second];
      const int64_t EndA = A.EndMs == 0 ? nowMs() : A.EndMs;
      const int64_t EndB = B.EndMs == 0 ? nowMs() : B.EndMs;
      const int64_t Overlap =
          std::min(EndA, EndB) - std::max(A.StartMs, B.StartMs);
      if (A.Task != B.Task || Overlap <= 0)
        continue;
      Twice = true;
      Events.add("BROKEN TWICE: " + A.Task + " ran on " + A.Worker + " and " +
                 B.Worker + " at the same time for " + std::to_string(Overlap) +
                 " ms");
    }
  return Twice;
}

} // namespace

int main(int, char **Arguments) {
  Record Events(Arguments[1]);
  RunLog Runs;
  Deployment System(Events, Runs);
  if (!System.start(4, DeadlineMs))
    return CannotRun;
  // The platform's address, in front of the entry VM of the first zone.
  const Address Platform = System.spareAddress(1);
  Relay Channel(Platform, System.front(0));

  // Fills the four workers of the first zone for a while.
  std::thread Filler([&] {
    System.submit(System.front(0), jobId(0xf1), job(4, 900, 900), DeadlineMs);
  });
  sleepMs(150);
  const std::string Id = jobId(0x71);
  const nlohmann::json Job = job(1, EstimateMs, LengthMs);
  std::thread Trouble([&] {
    const int64_t Limit = nowMs() + DeadlineMs;
    while (withTrouble() && nowMs() < Limit && !hasStarted(Runs.runs(), Id))
      sleepMs(2);
    if (!withTrouble())
      return;
    Events.add("channel of the client reset");
    Channel.resetAll();
  });
  HttpAnswer Answer = System.submit(Platform, Id, Job, DeadlineMs);
  Trouble.join();
  if (Answer.Status == 0 || Answer.Status == 502 || Answer.Status == 504) {
    sleepMs(RetransmitMs);
    Events.add("client sends the job again");
    Answer = System.submit(Platform, Id, Job, DeadlineMs);
  }
  Filler.join();
  sleepMs(2000);
  if (!System.allRunning() || (!withTrouble() && Answer.Status != 200))
    return CannotRun;
  const bool Broken = ranTwiceAtOnce(Runs.runs(), Events);
  std::cout << (Broken ? "rule broken\n" : "rule held\n");
  return Broken ? RuleBroken : RuleHeld;
}
