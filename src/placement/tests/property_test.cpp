#include "fixture.h"

#include "framework/core/random.h"

#include <doctest/doctest.h>

#include <map>
#include <set>

using namespace sapphiremoor;
using namespace sapphiremoor::testing;

namespace {

using TaskKey = std::pair<JobNumber, uint32_t>;

/// Applies random operations to a state and independently tracks which tasks
/// are started, ended and dropped.
class Model {
public:
  explicit Model(uint64_t Seed) : Generator(Seed), State(makeState(true)) {
    setServices(State, {{"quote", true, {}, ms(100)},
                        {"tag", false, ServiceWeight::Messages, ms(50)}});
  }

  void step() {
    Now += Duration{draw(40'000)};
    switch (draw(8)) {
    case 0:
      announce();
      break;
    case 1:
      if (draw(4) == 0)
        withdraw("b" + std::to_string(draw(6)));
      break;
    case 2:
      enqueue();
      break;
    case 3:
      if (draw(4) == 0)
        cancel();
      break;
    case 4:
      if (draw(4) == 0)
        assumeBusySlots(State, Now);
      break;
    default:
      for (uint64_t Count = draw(6); Count > 0 && !ActiveStarts.empty();
           --Count)
        finishOne(static_cast<TaskOutcome>(draw(5)));
      break;
    }
    expireDeadlines();
    startTasks();
  }

  /// Ends all tasks and checks that none is left open.
  void drain() {
    Slots["last"] = 50;
    upsertBackend(State, {"last", "w", "r", {"quote", "tag"}, 50}, Now);
    for (int Step = 0;
         Step < 100'000 && !(OpenTasks.empty() && ActiveStarts.empty());
         ++Step) {
      Now += ms(100);
      startTasks();
      while (!ActiveStarts.empty())
        finishOne(TaskOutcome::Succeeded);
      expireDeadlines();
    }
    CHECK(OpenTasks.empty());
    CHECK(State.QueuedTasks == 0);
    CHECK(State.Jobs.size() == State.FreeJobs.size());
    CHECK(State.ActiveShares == doctest::Approx(0));
  }

private:
  uint64_t draw(uint64_t Bound) { return Generator() % Bound; }

  void announce() {
    const std::string Id = "b" + std::to_string(draw(6));
    const auto Count = static_cast<uint32_t>(1 + draw(4));
    std::vector<std::string> Services{"quote"};
    if (draw(2) == 0)
      Services.emplace_back("tag");
    Slots[Id] = Count;
    upsertBackend(State, {Id, Id, Id.substr(0, 1), Services, Count}, Now);
  }

  void withdraw(const std::string &Id) {
    Slots[Id] = 0;
    removeBackend(State, Id);
  }

  void enqueue() {
    JobSpec Spec{.Team = draw(2) == 0 ? "alpha" : "beta",
                 .Service = draw(3) == 0 ? "tag" : "quote",
                 .TaskCount = static_cast<uint32_t>(1 + draw(9))};
    Spec.SingleRequest = Spec.TaskCount == 1;
    if (draw(3) == 0)
      Spec.Deadline = Now + Duration{draw(2'000'000)};
    const JobNumber Job{++LastJob};
    Specs[Job] = Spec;
    for (uint32_t Index = 0; Index < Spec.TaskCount; ++Index)
      OpenTasks.insert({Job, Index});
    enqueueJob(State, Job, Spec, Now);
  }

  void end(const TaskKey &Task) { REQUIRE(OpenTasks.erase(Task) == 1); }

  void cancel() {
    if (OpenTasks.empty())
      return;
    const JobNumber Job = OpenTasks.begin()->first;
    uint32_t Queued = 0;
    for (uint32_t Index = 0; Index < Specs[Job].TaskCount; ++Index) {
      const TaskKey Task{Job, Index};
      if (!OpenTasks.contains(Task) || RunningStarts[Task] > 0)
        continue;
      end(Task);
      ++Queued;
    }
    REQUIRE(cancelJob(State, Job) == Queued);
  }

  void expireDeadlines() {
    for (const TaskKey &Task : expireTasks(State, Now)) {
      REQUIRE(Specs[Task.first].Deadline <= Now);
      REQUIRE(RunningStarts[Task] == 0);
      end(Task);
    }
  }

  void startTasks() {
    for (const TaskStart &Start : nextStarts(State, Now)) {
      const TaskKey Task{Start.Job, Start.TaskIndex};
      const JobSpec &Spec = Specs[Start.Job];
      REQUIRE(OpenTasks.contains(Task));
      REQUIRE(Spec.Deadline > Now);
      REQUIRE(++RunningByBackend[Start.BackendId] <= Slots[Start.BackendId]);
      const bool MayRepeat = Spec.SingleRequest && Spec.Service == "quote";
      // Any other task is sent only if it cannot have run before.
      REQUIRE((MayRepeat || PossibleRuns[Task] == 0));
      REQUIRE((MayRepeat || !Start.Hedge));
      REQUIRE(RunningStarts[Task] == (Start.Hedge ? 1 : 0));
      ++PossibleRuns[Task];
      ++RunningStarts[Task];
      ActiveStarts.push_back(Start);
    }
  }

  void finishOne(TaskOutcome Outcome) {
    std::swap(ActiveStarts[draw(ActiveStarts.size())], ActiveStarts.back());
    const TaskStart Start = ActiveStarts.back();
    ActiveStarts.pop_back();
    const TaskKey Task{Start.Job, Start.TaskIndex};
    --RunningByBackend[Start.BackendId];
    --RunningStarts[Task];
    if (Outcome == TaskOutcome::NotStarted)
      --PossibleRuns[Task];
    const FinishDecision Decision =
        taskFinished(State, Start, Outcome, Duration{draw(200'000)}, Now);
    if (Decision == FinishDecision::Final)
      end(Task);
    else
      REQUIRE(OpenTasks.contains(Task) ==
              (Decision == FinishDecision::Requeued));
  }

  Random Generator;
  PlacementState State;
  Instant Now{};
  uint64_t LastJob = 0;
  std::map<JobNumber, JobSpec> Specs;
  std::set<TaskKey> OpenTasks;
  std::map<TaskKey, int> RunningStarts;
  std::map<TaskKey, int> PossibleRuns;
  std::map<std::string, uint32_t> Slots;
  std::map<std::string, uint32_t> RunningByBackend;
  std::vector<TaskStart> ActiveStarts;
};

} // namespace

TEST_CASE(
    "each task ends once, reruns only if allowed and never exceeds the slots") {
  for (uint64_t Seed = 1; Seed <= 40; ++Seed) {
    CAPTURE(Seed);
    Model TestModel(Seed);
    for (int Step = 0; Step < 2'000; ++Step)
      TestModel.step();
    TestModel.drain();
  }
}
