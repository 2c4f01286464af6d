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

/// A placement state whose queue is kept filled and whose slots are all busy.
class SaturatedPlacement {
public:
  explicit SaturatedPlacement(uint32_t Workers)
      : Generator(7), EndInterval(RunTime / (Workers * 8)) {
    addBackends(State, Workers);
    std::vector<TeamSpec> Teams;
    for (uint32_t Team = 0; Team < TeamCount; ++Team)
      Teams.push_back({"team" + std::to_string(Team), 1.0 + Team % 3});
    setTeams(State, Teams);
    fillQueue();
    Running = nextStarts(State, Now);
  }

  double run() {
    const auto Begin = std::clock();
    uint64_t Started = 0;
    for (uint32_t Round = 0; Round < Rounds; ++Round)
      Started += endOneTask();
    return secondsSince(Begin) * 1e6 / static_cast<double>(Started);
  }

private:
  uint64_t endOneTask() {
    Now += EndInterval;
    fillQueue();
    TaskStart &EndedTask = Running[Generator() % Running.size()];
    taskFinished(State, EndedTask, TaskOutcome::Succeeded,
                 RunTime / 2 + Duration{Generator() % 300'000}, Now);
    auto NextTasks = nextStarts(State, Now);
    const uint64_t Started = NextTasks.size();
    if (!NextTasks.empty())
      EndedTask = std::move(NextTasks.front());
    return Started;
  }

  void fillQueue() {
    while (State.QueuedTasks < QueueDepth) {
      const JobSpec Spec{.Team = "team" + std::to_string(LastJob % TeamCount),
                         .Service = "task",
                         .TaskCount = JobTasks};
      if (!isError(admit(State, Spec, Now)))
        enqueueJob(State, JobNumber{++LastJob}, Spec, Now);
    }
  }

  PlacementState State;
  Random Generator;
  /// Time between the ends of two tasks while all slots are busy.
  Duration EndInterval;
  std::vector<TaskStart> Running;
  Instant Now{};
  uint64_t LastJob = 0;
};

} // namespace

DecisionCosts measureDecisionCosts() {
  SaturatedPlacement Small(50);
  SaturatedPlacement Large(940);
  DecisionCosts Best{Small.run(), Large.run()};
  for (int Repeat = 1; Repeat < Repeats; ++Repeat) {
    Best.Workers50Us = std::min(Best.Workers50Us, Small.run());
    Best.Workers940Us = std::min(Best.Workers940Us, Large.run());
  }
  return Best;
}

double measureCancelMicroseconds(uint32_t TasksPerJob) {
  constexpr uint32_t Tasks = 10'000;
  double Best = 1e9;
  for (int Repeat = 0; Repeat < Repeats; ++Repeat) {
    PlacementState State;
    setTeams(State, {{"team", 1.0}});
    addBackends(State, 1);
    const JobSpec Spec{
        .Team = "team", .Service = "task", .TaskCount = TasksPerJob};
    const JobSpec FillerSpec{.Team = "team", .Service = "task", .TaskCount = 8};
    enqueueJob(State, JobNumber{0}, FillerSpec, Instant{});
    const auto RunningTasks = nextStarts(State, Instant{});
    for (uint32_t Job = 1; Job <= Tasks / TasksPerJob; ++Job)
      enqueueJob(State, JobNumber{Job}, Spec, Instant{});
    const auto Begin = std::clock();
    for (uint32_t Job = 1; Job <= Tasks / TasksPerJob; ++Job)
      cancelJob(State, JobNumber{Job});
    taskFinished(State, RunningTasks[0], TaskOutcome::Succeeded, RunTime,
                 Instant{});
    (void)nextStarts(State, Instant{});
    Best = std::min(Best, secondsSince(Begin) * 1e6 / Tasks);
  }
  return Best;
}

} // namespace sapphiremoor::bench
