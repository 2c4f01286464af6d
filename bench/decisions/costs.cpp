#include "costs.h"

#include "framework/core/random.h"
#include "placement/placement.h"

#include <algorithm>
#include <ctime>
#include <string>

namespace sapphiremoor::bench {

namespace {

constexpr uint32_t TeamCount = 43;
constexpr uint32_t JobTasks = 100;
constexpr uint32_t QueueDepth = 10'000;
constexpr uint32_t Rounds = 200'000;
constexpr int Repeats = 7;
constexpr Duration RunTime{300'000};

double secondsSince(std::clock_t Start) {
  return static_cast<double>(std::clock() - Start) / CLOCKS_PER_SEC;
}

void addBackends(PlacementState &State, uint32_t Count) {
  setServices(State, {{"task", false, ServiceWeight::Messages, RunTime}});
  for (uint32_t Index = 0; Index < Count; ++Index) {
    const std::string Number = std::to_string(Index);
    upsertBackend(State,
                  {"b" + Number,
                   "w" + Number,
                   "r" + std::to_string(Index / 8),
                   {"task"},
                   8},
                  Instant{});
  }
}

/// Keeps the queue filled and all slots busy.
class Treadmill {
public:
  explicit Treadmill(uint32_t Workers)
      : Generator(7), Pace(RunTime / (Workers * 8)) {
    addBackends(State, Workers);
    std::vector<TeamSpec> Teams;
    for (uint32_t Team = 0; Team < TeamCount; ++Team)
      Teams.push_back({"team" + std::to_string(Team), 1.0 + Team % 3});
    setTeams(State, Teams);
    fill();
    Running = nextStarts(State, Now);
  }

  double run() {
    const auto Begin = std::clock();
    uint64_t Started = 0;
    for (uint32_t Round = 0; Round < Rounds; ++Round)
      Started += step();
    return secondsSince(Begin) * 1e6 / static_cast<double>(Started);
  }

private:
  uint64_t step() {
    Now += Pace;
    fill();
    TaskStart &Ended = Running[Generator() % Running.size()];
    taskFinished(State, Ended, TaskOutcome::Succeeded,
                 RunTime / 2 + Duration{Generator() % 300'000}, Now);
    auto Next = nextStarts(State, Now);
    const uint64_t Started = Next.size();
    if (!Next.empty())
      Ended = std::move(Next.front());
    return Started;
  }

  void fill() {
    while (State.QueuedTasks < QueueDepth) {
      const JobSpec Shape{.Team = "team" + std::to_string(LastJob % TeamCount),
                          .Service = "task",
                          .TaskCount = JobTasks};
      if (!isError(admit(State, Shape, Now)))
        enqueueJob(State, JobNumber{++LastJob}, Shape, Now);
    }
  }

  PlacementState State;
  Random Generator;
  /// Time between two ends with all slots busy.
  Duration Pace;
  std::vector<TaskStart> Running;
  Instant Now{};
  uint64_t LastJob = 0;
};

} // namespace

DecisionCosts decisionCosts() {
  Treadmill Small(50);
  Treadmill Large(940);
  DecisionCosts Best{Small.run(), Large.run()};
  for (int Repeat = 1; Repeat < Repeats; ++Repeat) {
    Best.Workers50 = std::min(Best.Workers50, Small.run());
    Best.Workers940 = std::min(Best.Workers940, Large.run());
  }
  return Best;
}

double cancelMicroseconds(uint32_t TasksPerJob) {
  constexpr uint32_t Tasks = 10'000;
  double Best = 1e9;
  for (int Repeat = 0; Repeat < Repeats; ++Repeat) {
    PlacementState State;
    setTeams(State, {{"team", 1.0}});
    addBackends(State, 1);
    const JobSpec Shape{
        .Team = "team", .Service = "task", .TaskCount = TasksPerJob};
    const JobSpec Filler{.Team = "team", .Service = "task", .TaskCount = 8};
    enqueueJob(State, JobNumber{0}, Filler, Instant{});
    const auto Busy = nextStarts(State, Instant{});
    for (uint32_t Job = 1; Job <= Tasks / TasksPerJob; ++Job)
      enqueueJob(State, JobNumber{Job}, Shape, Instant{});
    const auto Begin = std::clock();
    for (uint32_t Job = 1; Job <= Tasks / TasksPerJob; ++Job)
      cancelJob(State, JobNumber{Job});
    taskFinished(State, Busy[0], TaskOutcome::Succeeded, RunTime, Instant{});
    (void)nextStarts(State, Instant{});
    Best = std::min(Best, secondsSince(Begin) * 1e6 / Tasks);
  }
  return Best;
}

} // namespace sapphiremoor::bench
