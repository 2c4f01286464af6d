#include "fixture.h"

#include <doctest/doctest.h>

#include <map>

using namespace sapphiremoor;
using namespace sapphiremoor::testing;

namespace {

/// Ends all running tasks after 100 ms in each round, and counts the starts by
/// job.
std::map<JobNumber, int> runRounds(PlacementState &State, int Rounds,
                                   int64_t FromMs) {
  std::map<JobNumber, int> StartCounts;
  std::vector<TaskStart> Running;
  for (int Round = 0; Round < Rounds; ++Round) {
    const Instant Now = at(FromMs + 100 * Round);
    finishAll(State, Running, TaskOutcome::Succeeded, ms(100), Now);
    Running = nextStarts(State, Now);
    for (const TaskStart &Start : Running)
      ++StartCounts[Start.Job];
  }
  finishAll(State, Running, TaskOutcome::Succeeded, ms(100),
            at(FromMs + 100 * Rounds));
  return StartCounts;
}

} // namespace

TEST_CASE(
    "two teams that flood the queue get slots in proportion to their shares") {
  PlacementState State = makeState();
  State.Limits.MaxTasksPerJob = 100'000;
  setTeams(State, {{"alpha", 3.0}, {"beta", 1.0}});
  upsertBackend(State, backendSpec("b1", 8), at(0));
  enqueueJob(State, JobNumber{1}, jobSpec("alpha", 30'000), at(0));
  enqueueJob(State, JobNumber{2}, jobSpec("beta", 20'000), at(0));
  // Both teams first use their saved quota, which lasts less than 100 s.
  runRounds(State, 1'000, 0);
  auto StartCounts = runRounds(State, 2'000, 100'000);
  CHECK(StartCounts[JobNumber{1}] == doctest::Approx(12'000).epsilon(0.03));
  CHECK(StartCounts[JobNumber{2}] == doctest::Approx(4'000).epsilon(0.03));
}

TEST_CASE("a team that sends 10 times its quota does not delay another") {
  PlacementState State = makeState();
  upsertBackend(State, backendSpec("b1", 8), at(0));
  for (uint64_t Job = 1; Job <= 10; ++Job)
    enqueueJob(State, JobNumber{Job}, jobSpec("alpha", 800), at(0));
  // The flooding team uses all slots while the other team is idle.
  CHECK(runRounds(State, 50, 0)[JobNumber{1}] == 400);
  // The other team gets the next slots that become free.
  enqueueJob(State, JobNumber{99}, jobSpec("beta", 16), at(5'000));
  auto StartCounts = runRounds(State, 2, 5'000);
  CHECK(StartCounts[JobNumber{99}] == 16);
  // The flooding team uses all slots again.
  CHECK(runRounds(State, 10, 5'200)[JobNumber{1}] == 80);
}

TEST_CASE("a team queue within a service is served in order of arrival") {
  PlacementState State = makeState();
  upsertBackend(State, backendSpec("b1", 2), at(0));
  for (uint64_t Job = 1; Job <= 3; ++Job)
    enqueueJob(State, JobNumber{Job}, jobSpec("alpha", 2), at(0));
  for (uint64_t Job = 1; Job <= 3; ++Job) {
    auto Starts = nextStarts(State, at(0));
    REQUIRE(Starts.size() == 2);
    CHECK(Starts[0].Job == JobNumber{Job});
    CHECK(Starts[0].TaskIndex == 0);
    CHECK(Starts[1].TaskIndex == 1);
    finishAll(State, Starts, TaskOutcome::Succeeded, ms(1), at(0));
  }
}

TEST_CASE("one service of a team does not starve its other service") {
  PlacementState State = makeState();
  setServices(State,
              {{"quote", false, {}, ms(100)}, {"tag", false, {}, ms(9)}});
  upsertBackend(State, {"b1", "w1", "r1", {"quote", "tag"}, 2}, at(0));
  enqueueJob(State, JobNumber{1}, jobSpec("alpha", 4), at(0));
  JobSpec TagJob = jobSpec("alpha", 1);
  TagJob.Service = "tag";
  enqueueJob(State, JobNumber{2}, TagJob, at(0));
  enqueueJob(State, JobNumber{3}, jobSpec("alpha", 1'000), at(0));
  CHECK(runRounds(State, 3, 0)[JobNumber{2}] == 1);
}
