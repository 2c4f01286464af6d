#include "fixture.h"

#include <doctest/doctest.h>

using namespace sapphiremoor;
using namespace sapphiremoor::testing;

namespace {

/// Returns a state with ten backend servers of one slot each that accepts long
/// jobs.
PlacementState makeFleet(bool Idempotent = false) {
  PlacementState State = makeState(Idempotent);
  State.Limits.MaxTasksPerJob = 100'000;
  for (int Index = 0; Index < 10; ++Index)
    upsertBackend(State, backendSpec("b" + std::to_string(Index), 1), at(0));
  return State;
}

/// Ends the running tasks, with a failure on the backend server \p Failing, and
/// starts the next ones.
void finishRound(PlacementState &State, std::vector<TaskStart> &Starts,
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

TEST_CASE(
    "three consecutive failures eject a backend server, a probe restores it") {
  PlacementState State = makeFleet();
  enqueueJob(State, JobNumber{1}, jobSpec("alpha", 100'000), at(0));
  auto Starts = nextStarts(State, at(0));
  for (int Round = 1; Round <= 3; ++Round) {
    CHECK(countStarts(Starts, "b3") == 1);
    finishRound(State, Starts, "b3", ms(100), at(100 * Round));
  }
  CHECK(countStarts(Starts, "b3") == 0);
  CHECK(nextTimer(State) == at(5'300));
  finishRound(State, Starts, "b3", ms(100), at(5'299));
  CHECK(countStarts(Starts, "b3") == 0);
  // No single request arrives within ProbeRequestWait, so any task is the
  // probe.
  finishRound(State, Starts, "b3", ms(100), at(5'300));
  CHECK(countStarts(Starts, "b3") == 0);
  finishRound(State, Starts, "b3", ms(100), at(6'300));
  CHECK(countStarts(Starts, "b3") == 1);
  // The probe fails, which doubles the ejection time.
  finishRound(State, Starts, "b3", ms(100), at(6'400));
  CHECK(nextTimer(State) == at(16'400));
  // The probe succeeds, which makes the backend server healthy again.
  finishRound(State, Starts, "", ms(100), at(16'400));
  finishRound(State, Starts, "", ms(100), at(17'400));
  CHECK(countStarts(Starts, "b3") == 1);
  finishRound(State, Starts, "", ms(100), at(17'500));
  finishRound(State, Starts, "b3", ms(100), at(17'600));
  CHECK(countStarts(Starts, "b3") == 1);
  CHECK_FALSE(nextTimer(State).has_value());
}

TEST_CASE("a probe is one task even if more slots are free") {
  PlacementState State = makeFleet();
  upsertBackend(State, backendSpec("b3", 4), at(0));
  enqueueJob(State, JobNumber{1}, jobSpec("alpha", 100'000), at(0));
  auto Starts = nextStarts(State, at(0));
  CHECK(countStarts(Starts, "b3") == 4);
  finishRound(State, Starts, "b3", ms(100), at(100));
  CHECK(countStarts(Starts, "b3") == 0);
  finishRound(State, Starts, "b3", ms(100), at(5'100));
  finishRound(State, Starts, "b3", ms(100), at(6'100));
  CHECK(countStarts(Starts, "b3") == 1);
}

TEST_CASE("a single request becomes the probe without waiting") {
  PlacementState State = makeFleet();
  enqueueJob(State, JobNumber{1}, jobSpec("alpha", 30), at(0));
  auto Starts = nextStarts(State, at(0));
  for (int Round = 1; Round <= 3; ++Round)
    finishRound(State, Starts, "b3", ms(100), at(100 * Round));
  CHECK(Starts.empty());
  enqueueJob(State, JobNumber{2}, jobSpec("alpha", 3), at(5'300));
  CHECK(countStarts(nextStarts(State, at(5'300)), "b3") == 0);
  enqueueJob(State, JobNumber{3}, requestSpec("alpha"), at(5'400));
  CHECK(countStarts(nextStarts(State, at(5'400)), "b3") == 1);
}

TEST_CASE("more than 5 failures in 10 tasks eject without 3 in a row") {
  PlacementState State = makeFleet();
  enqueueJob(State, JobNumber{1}, jobSpec("alpha", 100'000), at(0));
  auto Starts = nextStarts(State, at(0));
  int Round = 0;
  while (countStarts(Starts, "b3") == 1 && ++Round < 20)
    finishRound(State, Starts, Round % 3 == 0 ? "" : "b3", ms(100),
                at(100 * Round));
  CHECK(Round == 10);
}

TEST_CASE(
    "a service that fails everywhere does not eject most backend servers") {
  PlacementState State = makeFleet();
  enqueueJob(State, JobNumber{1}, jobSpec("alpha", 100'000), at(0));
  auto Starts = nextStarts(State, at(0));
  for (int Round = 1; Round <= 20; ++Round) {
    finishAll(State, Starts, TaskOutcome::Failed, ms(100), at(100 * Round));
    Starts = nextStarts(State, at(100 * Round));
    CHECK(Starts.size() >= 7);
  }
}

TEST_CASE("no backend server is ejected while the whole service fails") {
  PlacementState State = makeFleet();
  // The service exceeds its failure threshold before any backend server has
  // this many consecutive failures.
  State.Limits.EjectionFailures = 8;
  enqueueJob(State, JobNumber{1}, jobSpec("alpha", 100'000), at(0));
  auto Starts = nextStarts(State, at(0));
  for (int Round = 1; Round <= 20; ++Round) {
    finishAll(State, Starts, TaskOutcome::Failed, ms(100), at(100 * Round));
    Starts = nextStarts(State, at(100 * Round));
    CHECK(Starts.size() == 10);
  }
}

TEST_CASE("a backend server that fails quickly does not attract tasks") {
  // With two backend servers MaxEjectedShare forbids any ejection.
  PlacementState State = makeState();
  State.Limits.MaxTasksPerJob = 100'000;
  upsertBackend(State, backendSpec("good", 1), at(0));
  upsertBackend(State, backendSpec("bad", 1), at(0));
  enqueueJob(State, JobNumber{1}, jobSpec("alpha", 100'000), at(0));
  int BadStarts = 0;
  TaskStart GoodStart;
  int64_t GoodEndMs = -1;
  for (int64_t Ms = 0; Ms < 10'000; ++Ms) {
    if (Ms == GoodEndMs)
      taskFinished(State, GoodStart, TaskOutcome::Succeeded, ms(100), at(Ms));
    for (const TaskStart &Start : nextStarts(State, at(Ms))) {
      if (Start.BackendId == "bad") {
        ++BadStarts;
        taskFinished(State, Start, TaskOutcome::Failed, ms(0), at(Ms));
      } else {
        GoodStart = Start;
        GoodEndMs = Ms + 100;
      }
    }
  }
  CHECK(BadStarts <= 101);
}

TEST_CASE("a slow backend server is used last and probed later") {
  PlacementState State = makeFleet();
  enqueueJob(State, JobNumber{1}, jobSpec("alpha", 400), at(0));
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
  enqueueJob(State, JobNumber{2}, jobSpec("alpha", 10), at(2'200));
  Starts = nextStarts(State, at(2'200));
  CHECK(Starts.size() == 9);
  CHECK(countStarts(Starts, "b3") == 0);
  finishRound(State, Starts, "", ms(100), at(40'000));
  finishRound(State, Starts, "", ms(100), at(50'000));
  enqueueJob(State, JobNumber{3}, jobSpec("alpha", 10), at(50'000));
  CHECK(countStarts(nextStarts(State, at(50'000)), "b3") == 1);
}

TEST_CASE("a backend server that refused as busy is backed off") {
  PlacementState State = makeState();
  upsertBackend(State, backendSpec("b1", 2), at(0));
  enqueueJob(State, JobNumber{1}, jobSpec("alpha", 2), at(0));
  auto Starts = nextStarts(State, at(0));
  // Both refusals belong to starts of the same time, so the backoff is not
  // doubled.
  for (const TaskStart &Start : Starts)
    CHECK(taskFinished(State, Start, TaskOutcome::NotStarted, ms(1), at(1)) ==
          FinishDecision::Requeued);
  // With tasks of 100 ms, one of the two slots becomes free after 50 ms on
  // average.
  CHECK(nextStarts(State, at(50)).empty());
  CHECK(nextTimer(State) == at(51));
  // After that, one start at a time is sent, so that a refusal costs one
  // message.
  Starts = nextStarts(State, at(51));
  REQUIRE(Starts.size() == 1);
  CHECK(nextStarts(State, at(52)).empty());
  taskFinished(State, Starts[0], TaskOutcome::NotStarted, ms(1), at(53));
  CHECK(nextTimer(State) == at(153));
}

TEST_CASE("a dispatcher that takes over starts tasks one by one") {
  PlacementState State = makeState();
  upsertBackend(State, backendSpec("b1", 3), at(0));
  assumeBusySlots(State, at(0));
  enqueueJob(State, JobNumber{1}, jobSpec("alpha", 9), at(0));
  CHECK(nextStarts(State, at(0)).size() == 1);
  CHECK(nextStarts(State, at(9)).empty());
  CHECK(nextStarts(State, at(10)).size() == 1);
  CHECK(nextStarts(State, at(20)).size() == 1);
  CHECK(nextStarts(State, at(30)).empty());
}

TEST_CASE("the retry budget bounds how often a task is queued again") {
  PlacementState State = makeState();
  State.Limits.InitialBackoff = Duration{0};
  State.Limits.MaxBackoff = Duration{0};
  upsertBackend(State, backendSpec("b1", 1), at(0));
  enqueueJob(State, JobNumber{1}, jobSpec("alpha", 1'000), at(0));
  int Requeued = 0;
  for (int Step = 0; Step < 500; ++Step)
    for (const TaskStart &Start : nextStarts(State, at(Step)))
      if (taskFinished(State, Start, TaskOutcome::NotStarted, ms(0),
                       at(Step)) == FinishDecision::Requeued)
        ++Requeued;
  // The budget is 100 tokens plus a tenth of a token for each start.
  CHECK(Requeued >= 140);
  CHECK(Requeued <= 150);
}

TEST_CASE("a lost task is retried only for a single idempotent request") {
  const auto DecideFinish = [](bool Idempotent, const JobSpec &Spec) {
    PlacementState State = makeFleet(Idempotent);
    enqueueJob(State, JobNumber{1}, Spec, at(0));
    return taskFinished(State, nextStarts(State, at(0)).front(),
                        TaskOutcome::Lost, ms(9), at(9));
  };
  CHECK(DecideFinish(true, requestSpec("alpha")) == FinishDecision::Requeued);
  CHECK(DecideFinish(false, requestSpec("alpha")) == FinishDecision::Final);
  CHECK(DecideFinish(true, jobSpec("alpha", 1)) == FinishDecision::Final);
  CHECK(DecideFinish(true, jobSpec("alpha", 3)) == FinishDecision::Final);
}
