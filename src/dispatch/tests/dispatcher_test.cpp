#include "dispatch/tests/fakebackends.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace sapphiremoor;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Resources Small{4000, 1000, 0};

JobResult resultOf(const FakeBackends &World, const std::string &Job) {
  const auto Answers = World.answersTo(Job);
  REQUIRE(Answers.size() == 1);
  return Answers.front().Result;
}

/// One dispatcher with \p Count backend servers that it owns.
void prepare(FakeBackends &World, int Count) {
  World.addDispatcher("d1", 1);
  for (int Number = 0; Number < Count; ++Number) {
    const std::string Id = "b" + std::to_string(Number);
    World.addBackend(Id, Small);
    World.give(Id, "d1");
  }
  World.run(milliseconds(50));
}

} // namespace

// Guards against an answer before all tasks are done.
TEST_CASE("a job is answered once all its tasks are done") {
  FakeBackends World(1);
  prepare(World, 2);
  World.submit("d1", simpleJob("j1", 6, 100));
  World.run(milliseconds(40));
  CHECK(World.answersTo("j1").empty());
  CHECK(World.activeRuns("b0") + World.activeRuns("b1") == 6);
  World.run(milliseconds(400));
  CHECK(resultOf(World, "j1") == JobResult::Done);
  CHECK(World.Violations.empty());
}

// Guards against a later step that starts before the one it needs.
TEST_CASE("a step waits for the steps that it depends on") {
  FakeBackends World(2);
  prepare(World, 2);
  JobSubmission Job = simpleJob("j1", 2, 100);
  Job.Steps.push_back(Job.Steps.front());
  Job.Steps.back().DependsOn = {0};
  World.submit("d1", Job);
  World.run(milliseconds(40));
  CHECK(World.starts("b0") + World.starts("b1") == 2);
  World.run(milliseconds(600));
  CHECK(World.starts("b0") + World.starts("b1") == 4);
  CHECK(resultOf(World, "j1") == JobResult::Done);
}

// Guards against a repeated request that runs a job a second time.
TEST_CASE(
    "a repeated job joins the first one and is answered from its outcome") {
  FakeBackends World(3);
  prepare(World, 1);
  World.submit("d1", simpleJob("j1", 1, 100));
  World.submit("d1", simpleJob("j1", 1, 100));
  World.run(milliseconds(300));
  World.submit("d1", simpleJob("j1", 1, 100));
  World.run(milliseconds(300));
  CHECK(World.answersTo("j1").size() == 3);
  CHECK(World.starts("b0") == 1);
}

// Guards against jobs that wait for a machine that will never be there.
TEST_CASE("a task larger than any backend server fails at once, others go on") {
  FakeBackends World(4);
  prepare(World, 1);
  World.submit("d1", simpleJob("large", 1, 100, 5000));
  World.submit("d1", simpleJob("small", 1, 100));
  CHECK(resultOf(World, "large") == JobResult::Failed);
  World.run(milliseconds(300));
  CHECK(resultOf(World, "small") == JobResult::Done);
}

// Guards against a burst that makes every job late: what cannot start in time
// is refused at once, and what is admitted is served.
TEST_CASE("a burst beyond the capacity is refused at once") {
  FakeBackends World(5);
  prepare(World, 1);
  for (int Number = 0; Number < 200; ++Number)
    World.submit("d1", simpleJob("j" + std::to_string(Number), 1, 200));
  const std::size_t RefusedAtOnce = World.answers().size();
  CHECK(RefusedAtOnce > 150);
  World.run(seconds(4));
  CHECK(World.answers().size() == 200);
  const auto Done =
      std::ranges::count(World.answers(), JobResult::Done, &JobAnswer::Result);
  CHECK(static_cast<std::size_t>(Done) >= 200 - RefusedAtOnce - 2);
  for (const JobAnswer &Each : World.answers())
    if (Each.Result == JobResult::NotRun)
      CHECK(Each.RetryAfterMs > 0);
  CHECK(World.Violations.empty());
}

// Guards against urgent jobs that wait behind less urgent ones.
TEST_CASE("an urgent job starts before less urgent ones that came first") {
  FakeBackends World(6);
  prepare(World, 1);
  for (int Number = 0; Number < 12; ++Number) {
    JobSubmission Job = simpleJob("low" + std::to_string(Number), 1, 200);
    Job.Policy.Priority = 2;
    World.submit("d1", Job);
  }
  JobSubmission Urgent = simpleJob("urgent", 1, 50);
  World.submit("d1", Urgent);
  World.run(milliseconds(420));
  CHECK(World.answersTo("urgent").size() == 1);
  CHECK(World.answers().size() < 13);
}

// Guards against a backend server that fails everything and, being always free,
// draws all jobs.
TEST_CASE("a backend server that fails everything is ejected") {
  FakeBackends World(7);
  prepare(World, 2);
  World.FailShare["b0"] = 1;
  for (int Number = 0; Number < 40; ++Number) {
    World.submit("d1", simpleJob("j" + std::to_string(Number), 1, 50));
    World.run(milliseconds(25));
  }
  World.run(seconds(1));
  const auto Done =
      std::ranges::count(World.answers(), JobResult::Done, &JobAnswer::Result);
  CHECK(Done == 40);
  CHECK(World.starts("b0") < 12);
}

// Guards against tasks that stand still on a backend server until the deadline.
TEST_CASE("tasks that stand still are started elsewhere") {
  FakeBackends World(8);
  prepare(World, 2);
  World.Slowness["b0"] = 1000;
  World.submit("d1", simpleJob("j1", 4, 100));
  World.run(seconds(2));
  CHECK(resultOf(World, "j1") == JobResult::Done);
  CHECK(World.Violations.empty());
}

// Guards against a second run while a silent backend server may still run the
// first, and against waiting for it for ever.
TEST_CASE("runs on a silent backend server are repeated after their lease") {
  FakeBackends World(9);
  prepare(World, 2);
  World.submit("d1", simpleJob("j1", 6, 1000));
  World.run(milliseconds(100));
  World.silence("b0", true);
  World.run(seconds(4));
  CHECK(resultOf(World, "j1") == JobResult::Done);
  CHECK(World.Violations.empty());
}

// Guards against a new owner that starts work beside what the old one left.
TEST_CASE("a new owner stops what the former one left, which then gives up") {
  FakeBackends World(10);
  prepare(World, 1);
  World.submit("d1", simpleJob("old", 4, 2000));
  World.run(milliseconds(100));
  World.freeze("d1", true);
  World.addDispatcher("d2", 2);
  World.give("b0", "d2");
  World.run(milliseconds(200));
  CHECK(World.dispatcher("d2").owns("b0"));
  World.submit("d2", simpleJob("new", 4, 100));
  World.run(milliseconds(500));
  CHECK(resultOf(World, "new") == JobResult::Done);
  World.freeze("d1", false);
  World.run(seconds(2));
  CHECK_FALSE(World.dispatcher("d1").owns("b0"));
  CHECK(World.Violations.empty());
}

// Guards against a late attempt that fences an owner behind a healed partition.
TEST_CASE("a probe neither takes a backend server nor waits for an answer") {
  FakeBackends World(15);
  prepare(World, 1);
  World.submit("d1", simpleJob("j1", 2, 300));
  World.addDispatcher("d2", 2);
  World.tell("b0", "d2");
  World.probe("b0", "d2");
  World.run(milliseconds(50));
  World.probe("b0", "d2");
  World.run(milliseconds(50));
  CHECK(World.dispatcher("d2").reachableFor("b0", World.Now) > Duration(0));
  CHECK_FALSE(World.dispatcher("d2").involved("b0"));
  CHECK(World.dispatcher("d1").owns("b0"));
  World.silence("b0", true);
  World.run(seconds(2));
  World.probe("b0", "d2");
  World.run(milliseconds(400));
  CHECK(World.dispatcher("d2").reachableFor("b0", World.Now) == Duration(0));
}

// Guards against an attempt to take a silent backend server that never ends.
TEST_CASE("an attempt to take a silent backend server ends") {
  FakeBackends World(16);
  World.addDispatcher("d1", 1);
  World.addBackend("b0", Small);
  World.silence("b0", true);
  World.give("b0", "d1");
  World.run(seconds(2));
  CHECK_FALSE(World.dispatcher("d1").involved("b0"));
}

// Guards against "not run" for a job that had started before a broken link.
TEST_CASE("a job that is resumed and not known is given up, not started") {
  FakeBackends World(17);
  prepare(World, 1);
  World.submit("d1", simpleJob("j1", 1, 500));
  World.run(milliseconds(50));
  World.dispatcher("d1").sourceLost("entry", World.Now);
  World.run(milliseconds(100));
  World.dispatcher("d1").resume("j1", {"entry", 9});
  World.run(milliseconds(100));
  CHECK(resultOf(World, "j1") == JobResult::GivenUp);
  CHECK(World.starts("b0") == 1);
}

// Guards against a task that uses up its attempts on one bad backend server.
TEST_CASE("a failed task waits for a sound backend server") {
  FakeBackends World(18);
  prepare(World, 2);
  World.FailShare["b0"] = 1;
  World.Slowness["b1"] = 1.5;
  JobSubmission Busy = simpleJob("busy", 4, 300);
  World.submit("d1", Busy);
  JobSubmission Job = simpleJob("j1", 1, 50);
  Job.Policy.Attempts = 2;
  World.submit("d1", Job);
  World.run(seconds(3));
  CHECK(resultOf(World, "j1") == JobResult::Done);
}

// Guards against callers that hang after their VM has been lost.
TEST_CASE("jobs of a lost entry VM are stopped") {
  FakeBackends World(11);
  prepare(World, 1);
  World.submit("d1", simpleJob("j1", 2, 2000));
  World.run(milliseconds(100));
  CHECK(World.activeRuns("b0") == 2);
  World.dispatcher("d1").sourceLost("entry", World.Now);
  World.run(milliseconds(300));
  CHECK(World.activeRuns("b0") == 0);
  CHECK(World.dispatcher("d1").openJobs() == 0);
}

// Guards against work that goes on although it cannot be in time.
TEST_CASE("a run whose progress shows that it will be late is given up early") {
  FakeBackends World(12);
  prepare(World, 1);
  World.Slowness["b0"] = 3.5;
  JobSubmission Job = simpleJob("j1", 1, 1000);
  Job.DeadlineMs = 1800;
  World.submit("d1", Job);
  World.run(milliseconds(1000));
  CHECK(resultOf(World, "j1") == JobResult::GivenUp);
}

// Guards against new work for a backend server that is leaving.
TEST_CASE("a draining backend server gets no new tasks") {
  FakeBackends World(13);
  prepare(World, 2);
  BackendReport Leaving{
      "b0", 1, 2, "stamp", {"10.0.0.1", 80}, "nitra", Small, {"a", "rack-1"},
      true};
  World.dispatcher("d1").backendReported(Leaving, World.Now);
  World.submit("d1", simpleJob("j1", 4, 50));
  World.run(milliseconds(300));
  CHECK(World.starts("b0") == 0);
  CHECK(resultOf(World, "j1") == JobResult::Done);
}

// Guards against a late report of an earlier life that hides the current one.
TEST_CASE("reports of an earlier life or an earlier moment change nothing") {
  Dispatcher Decisions({}, 1);
  const BackendReport Now{"b0",    5,     2,     "stamp", {"10.0.0.1", 80},
                          "nitra", Small, {"a"}, true};
  BackendReport Earlier = Now;
  Earlier.Sequence = 1;
  Earlier.Draining = false;
  BackendReport FormerLife = Earlier;
  FormerLife.Born = 4;
  FormerLife.Sequence = 99;
  CHECK(Decisions.backendReported(Now, {}));
  CHECK_FALSE(Decisions.backendReported(Earlier, {}));
  CHECK_FALSE(Decisions.backendReported(FormerLife, {}));
}

// Guards against wide jobs that overfill one data centre while another is idle.
TEST_CASE("a job that cannot start at once goes to a peer that can start it") {
  FakeBackends World(14);
  prepare(World, 1);
  World.dispatcher("d1").peerLoad("d2", DispatchLoad{20, 0, 0});
  World.submit("d1", simpleJob("fits", 4, 100));
  World.submit("d1", simpleJob("moves", 4, 100));
  const auto Moved = World.answersTo("moves");
  REQUIRE(Moved.size() == 1);
  CHECK(Moved.front().Reason == JobReason::Redirected);
  CHECK(Moved.front().Target == "d2");
}

// Guards against two runs of a task when a start order without an answer is
// carried out in the next life of a backend server that cannot be fenced.
TEST_CASE("a task waits while a lost start may still come to life") {
  for (uint64_t Seed = 1; Seed <= 60; ++Seed) {
    CAPTURE(Seed);
    FakeBackends World(Seed);
    prepare(World, 2);
    World.LateShare = 1;
    JobSubmission Job = simpleJob("j1", 1, 2000);
    Job.DeadlineMs = 20000;
    Job.Policy.SlackMs = 20000;
    World.submit("d1", Job);
    World.LateShare = 0;
    const std::string First = World.dispatcher("d1").placeOf({"j1", 0, 0});
    World.CutOff.insert(First);
    World.crash(First, milliseconds(300));
    World.run(seconds(19));
    for (const std::string &Each : World.Violations)
      FAIL_CHECK(Each);
    CHECK(resultOf(World, "j1") == JobResult::Done);
  }
}

// Guards against a repeated request that starts a task beside a run of the
// first one.
TEST_CASE("a repeated job is given up while a lost start may come to life") {
  FakeBackends World(3);
  prepare(World, 2);
  World.LateShare = 1;
  JobSubmission Job = simpleJob("j1", 1, 400);
  Job.DeadlineMs = 1500;
  World.submit("d1", Job);
  World.LateShare = 0;
  const std::string First = World.dispatcher("d1").placeOf({"j1", 0, 0});
  World.CutOff.insert(First);
  World.crash(First, milliseconds(300));
  World.dispatcher("d1").sourceLost("entry", World.Now);
  World.run(milliseconds(4500));
  World.submit("d1", Job);
  World.run(milliseconds(10));
  CHECK(resultOf(World, "j1") == JobResult::GivenUp);
  World.run(seconds(12));
  CHECK(World.Violations.empty());
}

// Guards against two runs of one task and against overfilled backend servers
// under lost and late orders, crashes and changes of ownership.
TEST_CASE("random faults never break capacity or run a task twice at a time") {
  for (uint64_t Seed = 1; Seed <= 200; ++Seed) {
    CAPTURE(Seed);
    FakeBackends World(Seed);
    World.addDispatcher("d1", 1);
    World.addDispatcher("d2", 2);
    for (int Number = 0; Number < 4; ++Number) {
      const std::string Id = "b" + std::to_string(Number);
      World.addBackend(Id, Small, Number % 2 == 0 ? "a" : "b");
      World.give(Id, "d1");
    }
    World.run(milliseconds(50));
    World.LateShare = Seed % 3 == 0 ? 0.1 : 0;
    World.LossShare = 0.01 * static_cast<double>(Seed % 8);
    Random Rng(Seed);
    int Jobs = 0;
    for (int Round = 0; Round < 120; ++Round) {
      const std::string Backend = "b" + std::to_string(Rng() % 4);
      World.submit(Rng() % 4 == 0 ? "d2" : "d1",
                   simpleJob("j" + std::to_string(Jobs++),
                             1 + static_cast<uint32_t>(Rng() % 4),
                             30 + static_cast<int64_t>(Rng() % 300),
                             700 + static_cast<int64_t>(Rng() % 1500)));
      switch (Rng() % 24) {
      case 0:
        World.give(Backend, "d2");
        break;
      case 1:
        World.give(Backend, "d1");
        break;
      case 2:
        World.silence(Backend, true);
        break;
      case 3:
        World.silence(Backend, false);
        break;
      case 4:
        World.crash(Backend, milliseconds(100 + Rng() % 1000));
        break;
      default:
        break;
      }
      World.run(milliseconds(Rng() % 80));
    }
    for (int Number = 0; Number < 4; ++Number)
      World.silence("b" + std::to_string(Number), false);
    World.LossShare = 0;
    World.LateShare = 0;
    World.run(seconds(14));
    for (const std::string &Each : World.Violations)
      FAIL_CHECK(Each);
    CHECK(World.answers().size() == static_cast<std::size_t>(Jobs));
    for (int Number = 0; Number < 4; ++Number)
      CHECK(World.activeRuns("b" + std::to_string(Number)) == 0);
  }
}
