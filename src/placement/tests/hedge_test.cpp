#include "fixture.h"

#include "framework/core/random.h"

#include <doctest/doctest.h>

#include <set>

using namespace sapphiremoor;
using namespace sapphiremoor::testing;

namespace {

/// Returns the hedges that are started within 10 s after the job starts.
std::vector<TaskStart> startHedges(PlacementState &State, const JobSpec &Spec) {
  upsertBackend(State, backendSpec("b1", 4), at(0));
  upsertBackend(State, backendSpec("b2", 4), at(0));
  enqueueJob(State, JobNumber{1}, Spec, at(0));
  (void)nextStarts(State, at(0));
  return nextStarts(State, at(10'000));
}

} // namespace

TEST_CASE(
    "only single requests of idempotent, response-time services are hedged") {
  PlacementState RequestState = makeState(true);
  const auto Hedges = startHedges(RequestState, requestSpec("alpha"));
  REQUIRE(Hedges.size() == 1);
  CHECK(Hedges[0].Hedge);
  PlacementState SubmissionState = makeState(true);
  CHECK(startHedges(SubmissionState, jobSpec("alpha", 1)).empty());
  PlacementState ManyTasksState = makeState(true);
  CHECK(startHedges(ManyTasksState, jobSpec("alpha", 3)).empty());
  PlacementState NotIdempotentState = makeState(false);
  CHECK(startHedges(NotIdempotentState, requestSpec("alpha")).empty());
  PlacementState MessagesState = makeState(true, ServiceWeight::Messages);
  CHECK(startHedges(MessagesState, requestSpec("alpha")).empty());
}

TEST_CASE(
    "a hedge uses another backend server, the first success ends the task") {
  PlacementState State = makeState(true);
  upsertBackend(State, backendSpec("b1", 4), at(0));
  upsertBackend(State, backendSpec("b2", 1), at(0));
  enqueueJob(State, JobNumber{1}, requestSpec("alpha"), at(0));
  const auto FirstStarts = nextStarts(State, at(0));
  REQUIRE(nextTimer(State).has_value());
  const auto HedgeStarts = nextStarts(State, *nextTimer(State));
  REQUIRE(HedgeStarts.size() == 1);
  CHECK(HedgeStarts[0].BackendId != FirstStarts[0].BackendId);
  CHECK(taskFinished(State, FirstStarts[0], TaskOutcome::Failed, ms(400),
                     at(400)) == FinishDecision::Requeued);
  CHECK(taskFinished(State, HedgeStarts[0], TaskOutcome::Succeeded, ms(9),
                     at(410)) == FinishDecision::Final);
  CHECK(State.Jobs.size() == State.FreeJobs.size());
}

TEST_CASE(
    "the slower of two starts keeps its slot and its outcome is ignored") {
  PlacementState State = makeState(true);
  upsertBackend(State, backendSpec("b1", 1), at(0));
  upsertBackend(State, backendSpec("b2", 1), at(0));
  enqueueJob(State, JobNumber{1}, requestSpec("alpha"), at(0));
  const auto FirstStarts = nextStarts(State, at(0));
  const auto HedgeStarts = nextStarts(State, at(5'000));
  REQUIRE(HedgeStarts.size() == 1);
  CHECK(taskFinished(State, HedgeStarts[0], TaskOutcome::Succeeded, ms(9),
                     at(5'009)) == FinishDecision::Final);
  enqueueJob(State, JobNumber{2}, jobSpec("alpha", 2), at(5'010));
  CHECK(nextStarts(State, at(5'010)).size() == 1);
  CHECK(taskFinished(State, FirstStarts[0], TaskOutcome::Succeeded, ms(6'000),
                     at(6'000)) == FinishDecision::AlreadyEnded);
  CHECK(nextStarts(State, at(6'000)).size() == 1);
}

TEST_CASE("hedges wait for the learned 95th percentile") {
  PlacementState State = makeState(true);
  upsertBackend(State, backendSpec("b1", 200), at(0));
  enqueueJob(State, JobNumber{1}, jobSpec("alpha", 128), at(0));
  const auto Starts = nextStarts(State, at(0));
  for (std::size_t Index = 0; Index < Starts.size(); ++Index)
    taskFinished(State, Starts[Index], TaskOutcome::Succeeded,
                 Index % 10 == 0 ? ms(2'000) : ms(50), at(2'000));
  enqueueJob(State, JobNumber{2}, requestSpec("alpha"), at(2'000));
  (void)nextStarts(State, at(2'000));
  REQUIRE(nextTimer(State).has_value());
  CHECK(*nextTimer(State) >= at(4'000));
  CHECK(*nextTimer(State) <= at(4'300));
}

TEST_CASE("the learned mean converges to the actual run time") {
  RunTimes Times(ms(10));
  for (int Sample = 0; Sample < 1'000; ++Sample)
    Times.addSample(ms(300));
  CHECK(Times.mean() >= ms(298));
  CHECK(Times.mean() <= ms(300));
  CHECK(Times.quantile(0.5) >= ms(300));
  CHECK(Times.quantile(0.5) <= ms(340));
}

TEST_CASE("an index set agrees with std::set") {
  Random Generator(5);
  IndexSet Actual;
  std::set<uint32_t> Expected;
  for (int Step = 0; Step < 20'000; ++Step) {
    const auto Index = static_cast<uint32_t>(
        Generator() % (Step % 100 == 0 ? 300'000 : 9'000));
    if (Generator() % 3 == 0) {
      Actual.insert(Index);
      Expected.insert(Index);
    } else {
      Actual.erase(Index);
      Expected.erase(Index);
    }
    REQUIRE(Actual.empty() == Expected.empty());
    if (Expected.empty())
      continue;
    const auto Next = Expected.lower_bound(Index);
    REQUIRE(Actual.findNext(Index) ==
            (Next == Expected.end() ? *Expected.begin() : *Next));
  }
}
