#include "fixture.h"

#include <doctest/doctest.h>

#include <set>

using namespace sapphiremoor;
using namespace sapphiremoor::testing;

TEST_CASE("a slot takes one task at a time and is free after its end") {
  PlacementState State = makeState();
  upsertBackend(State, backend("b1", 1), at(0));
  enqueueJob(State, JobNumber{1}, shape("alpha", 2), at(0));
  const auto First = nextStarts(State, at(0));
  REQUIRE(First.size() == 1);
  CHECK(nextStarts(State, at(0)).empty());
  CHECK(taskFinished(State, First[0], TaskOutcome::Succeeded, ms(9), at(9)) ==
        FinishDecision::Final);
  CHECK(nextStarts(State, at(9)).size() == 1);
}

TEST_CASE("the same end reported twice frees one slot only") {
  PlacementState State = makeState();
  upsertBackend(State, backend("b1", 2), at(0));
  enqueueJob(State, JobNumber{1}, shape("alpha", 9), at(0));
  const auto First = nextStarts(State, at(0));
  REQUIRE(First.size() == 2);
  taskFinished(State, First[0], TaskOutcome::Succeeded, ms(9), at(9));
  CHECK(taskFinished(State, First[0], TaskOutcome::Succeeded, ms(9), at(9)) ==
        FinishDecision::AlreadyEnded);
  CHECK(nextStarts(State, at(9)).size() == 1);
}

TEST_CASE("services share the slots of a backend server") {
  PlacementState State = makeState();
  setServices(State,
              {{"quote", false, {}, ms(100)}, {"tag", false, {}, ms(9)}});
  upsertBackend(State, {"b1", "w1", "r1", {"quote", "tag"}, 3}, at(0));
  JobShape Tags = shape("beta", 5);
  Tags.Service = "tag";
  enqueueJob(State, JobNumber{1}, shape("alpha", 5), at(0));
  enqueueJob(State, JobNumber{2}, Tags, at(0));
  CHECK(nextStarts(State, at(0)).size() == 3);
}

TEST_CASE("the most free slots are taken first, in turn over the racks") {
  PlacementState State = makeState();
  for (const char *Id : {"a1", "a2", "a3"})
    upsertBackend(State, backend(Id, 2, "a"), at(0));
  for (const char *Id : {"c1", "c2", "c3"})
    upsertBackend(State, backend(Id, 2, "c"), at(0));
  enqueueJob(State, JobNumber{1}, shape("alpha", 12), at(0));
  const auto Starts = nextStarts(State, at(0));
  REQUIRE(Starts.size() == 12);
  std::set<std::string> Round;
  for (std::size_t Index = 0; Index < 6; ++Index) {
    Round.insert(Starts[Index].BackendId);
    CHECK(Starts[Index].BackendId[0] == (Index % 2 == 0 ? 'a' : 'c'));
  }
  CHECK(Round.size() == 6);
}

TEST_CASE("a removed backend server gets no work and its tasks still end") {
  PlacementState State = makeState();
  upsertBackend(State, backend("b1", 2), at(0));
  enqueueJob(State, JobNumber{1}, shape("alpha", 3), at(0));
  const auto Starts = nextStarts(State, at(0));
  removeBackend(State, "b1");
  CHECK(taskFinished(State, Starts[0], TaskOutcome::Succeeded, ms(9), at(9)) ==
        FinishDecision::Final);
  CHECK(nextStarts(State, at(9)).empty());
  // It comes back while one task of before is still running.
  upsertBackend(State, backend("b1", 1), at(10));
  CHECK(nextStarts(State, at(10)).empty());
  taskFinished(State, Starts[1], TaskOutcome::Succeeded, ms(20), at(20));
  CHECK(nextStarts(State, at(20)).size() == 1);
}

TEST_CASE("a wave of cancellations drops 10,000 queued tasks and no running") {
  PlacementState State = makeState();
  upsertBackend(State, backend("b1", 4), at(0));
  for (uint64_t Job = 1; Job <= 10; ++Job)
    enqueueJob(State, JobNumber{Job}, shape("alpha", 1'001), at(0));
  enqueueJob(State, JobNumber{11}, shape("alpha", 1), at(0));
  const auto Starts = nextStarts(State, at(0));
  uint32_t Dropped = 0;
  for (uint64_t Job = 1; Job <= 10; ++Job)
    Dropped += cancelJob(State, JobNumber{Job});
  CHECK(Dropped == 10'010 - 4);
  CHECK(State.Queued == 1);
  // Tasks of the first job are still running when the next slot is free.
  CHECK(taskFinished(State, Starts[0], TaskOutcome::Succeeded, ms(9), at(9)) ==
        FinishDecision::Final);
  const auto Next = nextStarts(State, at(9));
  REQUIRE(Next.size() == 1);
  CHECK(Next[0].Job == JobNumber{11});
  CHECK(taskFinished(State, Starts[1], TaskOutcome::Succeeded, ms(9), at(9)) ==
        FinishDecision::Final);
  CHECK(nextStarts(State, at(9)).empty());
}

TEST_CASE("a task refused after its job was cancelled is not queued again") {
  PlacementState State = makeState();
  upsertBackend(State, backend("b1", 1), at(0));
  enqueueJob(State, JobNumber{1}, shape("alpha", 1), at(0));
  const auto Starts = nextStarts(State, at(0));
  cancelJob(State, JobNumber{1});
  CHECK(taskFinished(State, Starts[0], TaskOutcome::NotStarted, ms(1), at(1)) ==
        FinishDecision::Final);
  CHECK(State.Jobs.size() == State.FreeJobs.size());
}

TEST_CASE("a task past its deadline is never started") {
  PlacementState State = makeState();
  JobShape Timed = shape("alpha", 3);
  Timed.Deadline = at(50);
  enqueueJob(State, JobNumber{1}, Timed, at(0));
  CHECK(nextTimer(State) == at(50));
  CHECK(expireTasks(State, at(49)).empty());
  // The backend server appears late, before expireTasks is called.
  upsertBackend(State, backend("b1", 8), at(51));
  CHECK(nextStarts(State, at(51)).empty());
  CHECK(nextTimer(State).has_value());
  CHECK(expireTasks(State, at(51)).size() == 3);
  CHECK_FALSE(nextTimer(State).has_value());
  CHECK(State.Jobs.size() == State.FreeJobs.size());
}

TEST_CASE("impossible jobs are refused as such") {
  PlacementState State = makeState();
  const auto KindOf = [&](const JobShape &Shape) {
    const auto Answer = admit(State, Shape, at(0));
    return isError(Answer) ? errorOf(Answer).Kind : ErrorKind::Internal;
  };
  CHECK(KindOf(shape("alpha", 1)) == ErrorKind::Impossible);
  upsertBackend(State, backend("b1", 8), at(0));
  CHECK_FALSE(isError(admit(State, shape("alpha", 1), at(0))));
  CHECK(KindOf(shape("alpha", 0)) == ErrorKind::Impossible);
  CHECK(KindOf(shape("alpha", 1'601)) == ErrorKind::Impossible);
  JobShape Unknown = shape("alpha", 1);
  Unknown.Service = "none";
  CHECK(KindOf(Unknown) == ErrorKind::Impossible);
  removeBackend(State, "b1");
  CHECK(KindOf(shape("alpha", 1)) == ErrorKind::Impossible);
  CHECK(expectedWait(State, "quote") == Duration::max());
}

TEST_CASE("a full queue refuses the team that filled it, not the others") {
  PlacementState State = makeState();
  State.Limits.QueuedTasks = 1'000;
  upsertBackend(State, backend("b1", 8), at(0));
  enqueueJob(State, JobNumber{1}, shape("alpha", 1'000), at(0));
  const auto Answer = admit(State, shape("alpha", 1), at(0));
  REQUIRE(isError(Answer));
  CHECK(errorOf(Answer).Kind == ErrorKind::Overloaded);
  CHECK_FALSE(isError(admit(State, shape("beta", 500), at(0))));
  CHECK(isError(admit(State, shape("beta", 501), at(0))));
}

TEST_CASE("a deadline that the wait makes impossible is refused at once") {
  PlacementState State = makeState();
  upsertBackend(State, backend("b1", 1), at(0));
  JobShape Timed = shape("beta", 1);
  Timed.Deadline = at(2'000);
  CHECK_FALSE(isError(admit(State, Timed, at(0))));
  // With a free slot a job may try even if its run time may be too long.
  JobShape Hasty = Timed;
  Hasty.Deadline = at(150);
  CHECK_FALSE(isError(admit(State, Hasty, at(0))));
  Hasty.Deadline = at(99);
  CHECK(isError(admit(State, Hasty, at(0))));
  enqueueJob(State, JobNumber{1}, shape("beta", 100), at(0));
  const auto Answer = admit(State, Timed, at(0));
  REQUIRE(isError(Answer));
  CHECK(errorOf(Answer).Kind == ErrorKind::Overloaded);
  CHECK(expectedWait(State, "quote") > ms(5'000));
}
