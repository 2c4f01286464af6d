#include "dispatch/tests/fakebackends.h"

#include <doctest/doctest.h>

using namespace sapphiremoor;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Resources Small{4000, 100, 0};

/// A job of two steps that has to be stored.
JobSubmission storedJob(const std::string &Id, uint32_t Tasks,
                        int64_t EstimateMs) {
  JobSubmission Made = simpleJob(Id, Tasks, EstimateMs);
  Made.Stored = true;
  Made.Steps.push_back(Made.Steps.front());
  Made.Steps.back().DependsOn = {0};
  return Made;
}

/// Two dispatchers; the first one owns \p Count backend servers and has the
/// right to run stored jobs.
void prepare(FakeBackends &World, int Count) {
  World.addDispatcher("d1", 1);
  World.addDispatcher("d2", 2);
  World.StoreRights.insert("d1");
  for (int Number = 0; Number < Count; ++Number) {
    const std::string Id = "b" + std::to_string(Number);
    World.addBackend(Id, Small);
    World.give(Id, "d1");
  }
  World.run(milliseconds(100));
}

} // namespace

// Guards against a task that starts before its job is stored, and against a
// caller of a stored job that has to wait for its end.
TEST_CASE("a stored job is acknowledged, then run to its end") {
  FakeBackends World(1);
  prepare(World, 2);
  World.submit("d1", storedJob("j1", 3, 100));
  CHECK(World.starts("b0") + World.starts("b1") == 0);
  World.run(milliseconds(40));
  REQUIRE(World.answersTo("j1").size() == 1);
  CHECK(World.answersTo("j1").front().Result == JobResult::Accepted);
  CHECK(World.dispatcher("d1").status("j1") == JobStatus::Running);
  World.run(seconds(1));
  CHECK(World.Stored.at("j1").Outcome == StoredOutcome::Done);
  CHECK(World.Violations.empty());
}

// Guards against an end that the backend server forgets before it is stored.
TEST_CASE("an end is confirmed only once it is stored") {
  FakeBackends World(2);
  prepare(World, 1);
  World.submit("d1", storedJob("j1", 1, 100));
  World.run(milliseconds(60));
  // From here on nothing can be stored.
  World.StoreRights.clear();
  World.run(seconds(2));
  CHECK(World.Confirmed.empty());
}

// Guards against runs that go on after another VM may have got the right.
TEST_CASE("runs of stored jobs are stopped when the right is over") {
  FakeBackends World(3);
  prepare(World, 1);
  World.submit("d1", storedJob("j1", 2, 4000));
  World.run(milliseconds(200));
  CHECK(World.activeRuns("b0") == 2);
  World.StoreRights.clear();
  World.run(milliseconds(300));
  CHECK(World.activeRuns("b0") == 0);
  World.StoreRights.insert("d1");
  World.run(milliseconds(300));
  CHECK(World.activeRuns("b0") == 2);
  CHECK(World.Violations.empty());
}

// Guards against tasks that run a second time after a takeover of their job.
TEST_CASE("a job that is handed over goes on where it was") {
  for (uint64_t Seed = 1; Seed <= 30; ++Seed) {
    CAPTURE(Seed);
    FakeBackends World(Seed);
    prepare(World, 1);
    World.addBackend("b9", Small);
    World.give("b9", "d2");
    World.submit("d1", storedJob("j1", 4, 120));
    World.run(milliseconds(80 + 10 * static_cast<int>(Seed)));
    World.StoreRights.clear();
    World.run(seconds(3));
    World.StoreRights.insert("d2");
    World.run(milliseconds(60));
    if (World.Stored.at("j1").Outcome != StoredOutcome::Open)
      continue;
    World.handOver("j1", "d1", "d2");
    World.run(seconds(6));
    CHECK(World.Stored.at("j1").Outcome == StoredOutcome::Done);
    for (const std::string &Each : World.Violations)
      FAIL_CHECK(Each);
  }
}

// Guards against a stored job that nobody can run and that makes others look
// late.
TEST_CASE("a stored job that fits nowhere holds nobody up") {
  FakeBackends World(4);
  prepare(World, 1);
  JobSubmission Huge = storedJob("huge", 40, 1000);
  for (StepRequest &Each : Huge.Steps)
    Each.Need = {64000, 10, 0};
  World.submit("d1", Huge);
  World.run(milliseconds(200));
  World.submit("d1", simpleJob("j1", 4, 100));
  World.run(milliseconds(400));
  REQUIRE(World.answersTo("j1").size() == 1);
  CHECK(World.answersTo("j1").front().Result == JobResult::Done);
}

// Guards against a cancelled job whose tasks start later.
TEST_CASE("a cancelled stored job ends for good") {
  FakeBackends World(5);
  prepare(World, 1);
  World.submit("d1", storedJob("j1", 8, 500));
  World.run(milliseconds(100));
  CHECK(World.dispatcher("d1").cancel("j1", World.Now));
  World.run(milliseconds(200));
  CHECK(World.Stored.at("j1").Outcome == StoredOutcome::Cancelled);
  CHECK(World.activeRuns("b0") == 0);
  const std::size_t Starts = World.starts("b0");
  World.run(seconds(2));
  CHECK(World.starts("b0") == Starts);
}

// Guards against more starts than the queue allows failures.
TEST_CASE("a stored job fails after its attempts") {
  FakeBackends World(6);
  prepare(World, 2);
  World.FailShare["b0"] = 1;
  World.FailShare["b1"] = 1;
  JobSubmission Job = storedJob("j1", 1, 50);
  Job.Policy.Attempts = 2;
  World.submit("d1", Job);
  World.run(seconds(6));
  CHECK(World.Stored.at("j1").Outcome == StoredOutcome::Failed);
  CHECK(World.starts("b0") + World.starts("b1") == 2);
}
