#include "fixture.h"

#include <doctest/doctest.h>

using namespace sapphiremoor;
using namespace sapphiremoor::testing;

namespace {

/// Ten backend servers of one slot each and a long queue.
PlacementState makeFleet(bool Idempotent = false) {
  PlacementState State = makeState(Idempotent);
  State.Limits.TasksPerJob = 100'000;
  for (int Index = 0; Index < 10; ++Index)
    upsertBackend(State, backend("b" + std::to_string(Index), 1), at(0));
  return State;
}

/// Lets the started tasks end, those on the named server as failures.
void endRound(PlacementState &State, std::vector<TaskStart> &Starts,
              const std::string &Failing, Duration RunTime, Instant Now) {
  for (const TaskStart &Start : Starts) {
    const bool Fails = Start.BackendId == Failing;
    taskFinished(State, Start,
                 Fails ? TaskOutcome::Failed : TaskOutcome::Succeeded, RunTime,
                 Now);
  }
  Starts = nextStarts(State, Now);
}

} // namespace

TEST_CASE("three failures in a row eject a worker, a probe lets it back") {
  PlacementState State = makeFleet();
  enqueueJob(State, JobNumber{1}, shape("alpha", 100'000), at(0));
  auto Starts = nextStarts(State, at(0));
  for (int Round = 1; Round <= 3; ++Round) {
    CHECK(startsOn(Starts, "b3") == 1);
    endRound(State, Starts, "b3", ms(100), at(100 * Round));
  }
  CHECK(startsOn(Starts, "b3") == 0);
  CHECK(nextTimer(State) == at(5'300));
  endRound(State, Starts, "b3", ms(100), at(5'299));
  CHECK(startsOn(Starts, "b3") == 0);
  // No single request comes within the patience, so any task is the probe.
  endRound(State, Starts, "b3", ms(100), at(5'300));
  CHECK(startsOn(Starts, "b3") == 0);
  endRound(State, Starts, "b3", ms(100), at(6'300));
  CHECK(startsOn(Starts, "b3") == 1);
  // The probe fails: ejected for twice as long.
  endRound(State, Starts, "b3", ms(100), at(6'400));
  CHECK(nextTimer(State) == at(16'400));
  // The probe succeeds: in good standing again.
  endRound(State, Starts, "", ms(100), at(16'400));
  endRound(State, Starts, "", ms(100), at(17'400));
  CHECK(startsOn(Starts, "b3") == 1);
  endRound(State, Starts, "", ms(100), at(17'500));
  endRound(State, Starts, "b3", ms(100), at(17'600));
  CHECK(startsOn(Starts, "b3") == 1);
  CHECK_FALSE(nextTimer(State).has_value());
}

TEST_CASE("a probe is one task even if more slots are free") {
  PlacementState State = makeFleet();
  upsertBackend(State, backend("b3", 4), at(0));
  enqueueJob(State, JobNumber{1}, shape("alpha", 100'000), at(0));
  auto Starts = nextStarts(State, at(0));
  CHECK(startsOn(Starts, "b3") == 4);
  endRound(State, Starts, "b3", ms(100), at(100));
  CHECK(startsOn(Starts, "b3") == 0);
  endRound(State, Starts, "b3", ms(100), at(5'100));
  endRound(State, Starts, "b3", ms(100), at(6'100));
  CHECK(startsOn(Starts, "b3") == 1);
}

TEST_CASE("a single request is the probe, at once") {
  PlacementState State = makeFleet();
  enqueueJob(State, JobNumber{1}, shape("alpha", 30), at(0));
  auto Starts = nextStarts(State, at(0));
  for (int Round = 1; Round <= 3; ++Round)
    endRound(State, Starts, "b3", ms(100), at(100 * Round));
  CHECK(Starts.empty());
  enqueueJob(State, JobNumber{2}, shape("alpha", 3), at(5'300));
  CHECK(startsOn(nextStarts(State, at(5'300)), "b3") == 0);
  enqueueJob(State, JobNumber{3}, request("alpha"), at(5'400));
  CHECK(startsOn(nextStarts(State, at(5'400)), "b3") == 1);
}

TEST_CASE("over half of the last 10 failed ejects without 3 in a row") {
  PlacementState State = makeFleet();
  enqueueJob(State, JobNumber{1}, shape("alpha", 100'000), at(0));
  auto Starts = nextStarts(State, at(0));
  int Round = 0;
  while (startsOn(Starts, "b3") == 1 && ++Round < 20)
    endRound(State, Starts, Round % 3 == 0 ? "" : "b3", ms(100),
             at(100 * Round));
  CHECK(Round == 10);
}

TEST_CASE("a bad service version does not eject the fleet") {
  PlacementState State = makeFleet();
  enqueueJob(State, JobNumber{1}, shape("alpha", 100'000), at(0));
  auto Starts = nextStarts(State, at(0));
  for (int Round = 1; Round <= 20; ++Round) {
    finishAll(State, Starts, TaskOutcome::Failed, ms(100), at(100 * Round));
    Starts = nextStarts(State, at(100 * Round));
    CHECK(Starts.size() >= 7);
  }
}

TEST_CASE("no worker is ejected while the whole service fails") {
  PlacementState State = makeFleet();
  // The service is known to fail before a worker has this many in a row.
  State.Limits.FailuresInRow = 8;
  enqueueJob(State, JobNumber{1}, shape("alpha", 100'000), at(0));
  auto Starts = nextStarts(State, at(0));
  for (int Round = 1; Round <= 20; ++Round) {
    finishAll(State, Starts, TaskOutcome::Failed, ms(100), at(100 * Round));
    Starts = nextStarts(State, at(100 * Round));
    CHECK(Starts.size() == 10);
  }
}

TEST_CASE("a worker that fails quickly does not attract work") {
  // With two workers the cap forbids any ejection.
  PlacementState State = makeState();
  State.Limits.TasksPerJob = 100'000;
  upsertBackend(State, backend("good", 1), at(0));
  upsertBackend(State, backend("bad", 1), at(0));
  enqueueJob(State, JobNumber{1}, shape("alpha", 100'000), at(0));
  int OnBad = 0;
  TaskStart OnGood;
  int64_t GoodEnd = -1;
  for (int64_t Ms = 0; Ms < 10'000; ++Ms) {
    if (Ms == GoodEnd)
      taskFinished(State, OnGood, TaskOutcome::Succeeded, ms(100), at(Ms));
    for (const TaskStart &Start : nextStarts(State, at(Ms))) {
      if (Start.BackendId == "bad") {
        ++OnBad;
        taskFinished(State, Start, TaskOutcome::Failed, ms(0), at(Ms));
      } else {
        OnGood = Start;
        GoodEnd = Ms + 100;
      }
    }
  }
  CHECK(OnBad <= 101);
}

TEST_CASE("a slow worker is used last and tried again") {
  PlacementState State = makeFleet();
  enqueueJob(State, JobNumber{1}, shape("alpha", 400), at(0));
  auto Starts = nextStarts(State, at(0));
  for (int Round = 1; Round <= 20; ++Round) {
    for (const TaskStart &Start : Starts)
      taskFinished(State, Start, TaskOutcome::Succeeded,
                   Start.BackendId == "b3" ? ms(1'000) : ms(100),
                   at(100 * Round));
    Starts = nextStarts(State, at(100 * Round));
  }
  finishAll(State, Starts, TaskOutcome::Succeeded, ms(100), at(2'100));
  cancelJob(State, JobNumber{1});
  enqueueJob(State, JobNumber{2}, shape("alpha", 10), at(2'200));
  Starts = nextStarts(State, at(2'200));
  CHECK(Starts.size() == 9);
  CHECK(startsOn(Starts, "b3") == 0);
  endRound(State, Starts, "", ms(100), at(40'000));
  endRound(State, Starts, "", ms(100), at(50'000));
  enqueueJob(State, JobNumber{3}, shape("alpha", 10), at(50'000));
  CHECK(startsOn(nextStarts(State, at(50'000)), "b3") == 1);
}

TEST_CASE("a backend server that refused as busy is not picked at once") {
  PlacementState State = makeState();
  upsertBackend(State, backend("b1", 2), at(0));
  enqueueJob(State, JobNumber{1}, shape("alpha", 2), at(0));
  auto Starts = nextStarts(State, at(0));
  // Both refusals answer starts of the same moment: one backoff, not doubled.
  for (const TaskStart &Start : Starts)
    CHECK(taskFinished(State, Start, TaskOutcome::NotStarted, ms(1), at(1)) ==
          FinishDecision::Requeued);
  // With tasks of 100 ms one of two slots is free after 50 ms.
  CHECK(nextStarts(State, at(50)).empty());
  CHECK(nextTimer(State) == at(51));
  // From then on one start at a time, so that a refusal costs one message.
  Starts = nextStarts(State, at(51));
  REQUIRE(Starts.size() == 1);
  CHECK(nextStarts(State, at(52)).empty());
  taskFinished(State, Starts[0], TaskOutcome::NotStarted, ms(1), at(53));
  CHECK(nextTimer(State) == at(153));
}

TEST_CASE("a dispatcher that takes over fills the slots one by one") {
  PlacementState State = makeState();
  upsertBackend(State, backend("b1", 3), at(0));
  assumeBusySlots(State, at(0));
  enqueueJob(State, JobNumber{1}, shape("alpha", 9), at(0));
  CHECK(nextStarts(State, at(0)).size() == 1);
  CHECK(nextStarts(State, at(9)).empty());
  CHECK(nextStarts(State, at(10)).size() == 1);
  CHECK(nextStarts(State, at(20)).size() == 1);
  CHECK(nextStarts(State, at(30)).empty());
}

TEST_CASE("the retry budget bounds how often a task is queued again") {
  PlacementState State = makeState();
  State.Limits.FirstBackoff = Duration{0};
  State.Limits.LongestBackoff = Duration{0};
  upsertBackend(State, backend("b1", 1), at(0));
  enqueueJob(State, JobNumber{1}, shape("alpha", 1'000), at(0));
  int Requeued = 0;
  for (int Step = 0; Step < 500; ++Step)
    for (const TaskStart &Start : nextStarts(State, at(Step)))
      if (taskFinished(State, Start, TaskOutcome::NotStarted, ms(0),
                       at(Step)) == FinishDecision::Requeued)
        ++Requeued;
  // 100 tokens and a tenth of a token for each start.
  CHECK(Requeued >= 140);
  CHECK(Requeued <= 150);
}

TEST_CASE("a lost task is retried only for a single idempotent request") {
  const auto DecisionFor = [](bool Idempotent, const JobShape &Shape) {
    PlacementState State = makeFleet(Idempotent);
    enqueueJob(State, JobNumber{1}, Shape, at(0));
    return taskFinished(State, nextStarts(State, at(0)).front(),
                        TaskOutcome::Lost, ms(9), at(9));
  };
  CHECK(DecisionFor(true, request("alpha")) == FinishDecision::Requeued);
  CHECK(DecisionFor(false, request("alpha")) == FinishDecision::Final);
  CHECK(DecisionFor(true, shape("alpha", 1)) == FinishDecision::Final);
  CHECK(DecisionFor(true, shape("alpha", 3)) == FinishDecision::Final);
}
