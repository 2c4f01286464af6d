#include "fixture.h"

#include "framework/core/random.h"

#include <doctest/doctest.h>

#include <map>
#include <set>

using namespace sapphiremoor;
using namespace sapphiremoor::testing;

namespace {

using TaskKey = std::pair<JobNumber, uint32_t>;

/// Drives a state with random operations and keeps an independent account of
/// what was started, ended and dropped.
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
      for (uint64_t Count = draw(6); Count > 0 && !Running.empty(); --Count)
        finishOne(static_cast<TaskOutcome>(draw(5)));
      break;
    }
    expire();
    start();
  }

  /// Ends everything and checks that no task is left open.
  void drain() {
    Slots["last"] = 50;
    upsertBackend(State, {"last", "w", "r", {"quote", "tag"}, 50}, Now);
    for (int Step = 0; Step < 100'000 && !(Open.empty() && Running.empty());
         ++Step) {
      Now += ms(100);
      start();
      while (!Running.empty())
        finishOne(TaskOutcome::Succeeded);
      expire();
    }
    CHECK(Open.empty());
    CHECK(State.Queued == 0);
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
    JobShape Shape{.Team = draw(2) == 0 ? "alpha" : "beta",
                   .Service = draw(3) == 0 ? "tag" : "quote",
                   .TaskCount = static_cast<uint32_t>(1 + draw(9))};
    Shape.SingleRequest = Shape.TaskCount == 1;
    if (draw(3) == 0)
      Shape.Deadline = Now + Duration{draw(2'000'000)};
    const JobNumber Job{++LastJob};
    Shapes[Job] = Shape;
    for (uint32_t Index = 0; Index < Shape.TaskCount; ++Index)
      Open.insert({Job, Index});
    enqueueJob(State, Job, Shape, Now);
  }

  void end(const TaskKey &Task) { REQUIRE(Open.erase(Task) == 1); }

  void cancel() {
    if (Open.empty())
      return;
    const JobNumber Job = Open.begin()->first;
    uint32_t Queued = 0;
    for (uint32_t Index = 0; Index < Shapes[Job].TaskCount; ++Index) {
      const TaskKey Task{Job, Index};
      if (!Open.contains(Task) || RunningStarts[Task] > 0)
        continue;
      end(Task);
      ++Queued;
    }
    REQUIRE(cancelJob(State, Job) == Queued);
  }

  void expire() {
    for (const TaskKey &Task : expireTasks(State, Now)) {
      REQUIRE(Shapes[Task.first].Deadline <= Now);
      REQUIRE(RunningStarts[Task] == 0);
      end(Task);
    }
  }

  void start() {
    for (const TaskStart &Start : nextStarts(State, Now)) {
      const TaskKey Task{Start.Job, Start.TaskIndex};
      const JobShape &Shape = Shapes[Start.Job];
      REQUIRE(Open.contains(Task));
      REQUIRE(Shape.Deadline > Now);
      REQUIRE(++RunningOn[Start.BackendId] <= Slots[Start.BackendId]);
      const bool MayRepeat = Shape.SingleRequest && Shape.Service == "quote";
      // Without that, a task is sent only if it never ran before.
      REQUIRE((MayRepeat || MayHaveRun[Task] == 0));
      REQUIRE((MayRepeat || !Start.Hedge));
      REQUIRE(RunningStarts[Task] == (Start.Hedge ? 1 : 0));
      ++MayHaveRun[Task];
      ++RunningStarts[Task];
      Running.push_back(Start);
    }
  }

  void finishOne(TaskOutcome Outcome) {
    std::swap(Running[draw(Running.size())], Running.back());
    const TaskStart Start = Running.back();
    Running.pop_back();
    const TaskKey Task{Start.Job, Start.TaskIndex};
    --RunningOn[Start.BackendId];
    --RunningStarts[Task];
    if (Outcome == TaskOutcome::NotStarted)
      --MayHaveRun[Task];
    const FinishDecision Decision =
        taskFinished(State, Start, Outcome, Duration{draw(200'000)}, Now);
    if (Decision == FinishDecision::Final)
      end(Task);
    else
      REQUIRE(Open.contains(Task) == (Decision == FinishDecision::Requeued));
  }

  Random Generator;
  PlacementState State;
  Instant Now{};
  uint64_t LastJob = 0;
  std::map<JobNumber, JobShape> Shapes;
  std::set<TaskKey> Open;
  std::map<TaskKey, int> RunningStarts;
  std::map<TaskKey, int> MayHaveRun;
  std::map<std::string, uint32_t> Slots;
  std::map<std::string, uint32_t> RunningOn;
  std::vector<TaskStart> Running;
};

} // namespace

TEST_CASE("each task ends once, starts twice only if allowed, slots hold") {
  for (uint64_t Seed = 1; Seed <= 40; ++Seed) {
    CAPTURE(Seed);
    Model Checked(Seed);
    for (int Step = 0; Step < 2'000; ++Step)
      Checked.step();
    Checked.drain();
  }
}
