#include "fixture.h"

#include <doctest/doctest.h>

#include <set>

using namespace sapphiremoor;
using namespace sapphiremoor::testing;

TEST_CASE("a slot takes one task at a time and is free after its end") {
  PlacementState State = makeState();
  upsertBackend(State, backendSpec("b1", 1), at(0));
  enqueueJob(State, JobNumber{1}, jobSpec("alpha", 2), at(0));
  const auto FirstStarts = nextStarts(State, at(0));
  REQUIRE(FirstStarts.size() == 1);
  CHECK(nextStarts(State, at(0)).empty());
  CHECK(taskFinished(State, FirstStarts[0], TaskOutcome::Succeeded, ms(9),
                     at(9)) == FinishDecision::Final);
  CHECK(nextStarts(State, at(9)).size() == 1);
}

TEST_CASE("an end reported twice frees only one slot") {
  PlacementState State = makeState();
  upsertBackend(State, backendSpec("b1", 2), at(0));
  enqueueJob(State, JobNumber{1}, jobSpec("alpha", 9), at(0));
  const auto FirstStarts = nextStarts(State, at(0));
  REQUIRE(FirstStarts.size() == 2);
  taskFinished(State, FirstStarts[0], TaskOutcome::Succeeded, ms(9), at(9));
  CHECK(taskFinished(State, FirstStarts[0], TaskOutcome::Succeeded, ms(9),
                     at(9)) == FinishDecision::AlreadyEnded);
  CHECK(nextStarts(State, at(9)).size() == 1);
}

TEST_CASE("services share the slots of a backend server") {
  PlacementState State = makeState();
  setServices(State,
              {{"quote", false, {}, ms(100)}, {"tag", false, {}, ms(9)}});
  upsertBackend(State, {"b1", "w1", "r1", {"quote", "tag"}, 3}, at(0));
  JobSpec TagJob = jobSpec("beta", 5);
  TagJob.Service = "tag";
  enqueueJob(State, JobNumber{1}, jobSpec("alpha", 5), at(0));
  enqueueJob(State, JobNumber{2}, TagJob, at(0));
  CHECK(nextStarts(State, at(0)).size() == 3);
}

TEST_CASE(
    "backend servers with most free slots are used first, alternating racks") {
  PlacementState State = makeState();
  for (const char *Id : {"a1", "a2", "a3"})
    upsertBackend(State, backendSpec(Id, 2, "a"), at(0));
  for (const char *Id : {"c1", "c2", "c3"})
    upsertBackend(State, backendSpec(Id, 2, "c"), at(0));
  enqueueJob(State, JobNumber{1}, jobSpec("alpha", 12), at(0));
  const auto Starts = nextStarts(State, at(0));
  REQUIRE(Starts.size() == 12);
  std::set<std::string> StartedOn;
  for (std::size_t Index = 0; Index < 6; ++Index) {
    StartedOn.insert(Starts[Index].BackendId);
    CHECK(Starts[Index].BackendId[0] == (Index % 2 == 0 ? 'a' : 'c'));
  }
  CHECK(StartedOn.size() == 6);
}

TEST_CASE(
    "a removed backend server gets no tasks and its running ones still end") {
  PlacementState State = makeState();
  upsertBackend(State, backendSpec("b1", 2), at(0));
  enqueueJob(State, JobNumber{1}, jobSpec("alpha", 3), at(0));
  const auto Starts = nextStarts(State, at(0));
  removeBackend(State, "b1");
  CHECK(taskFinished(State, Starts[0], TaskOutcome::Succeeded, ms(9), at(9)) ==
        FinishDecision::Final);
  CHECK(nextStarts(State, at(9)).empty());
  // The backend server returns while one of its earlier tasks is still running.
  upsertBackend(State, backendSpec("b1", 1), at(10));
  CHECK(nextStarts(State, at(10)).empty());
  taskFinished(State, Starts[1], TaskOutcome::Succeeded, ms(20), at(20));
  CHECK(nextStarts(State, at(20)).size() == 1);
}

TEST_CASE("mass cancellation drops 10,000 queued tasks and no running ones") {
  PlacementState State = makeState();
  upsertBackend(State, backendSpec("b1", 4), at(0));
  for (uint64_t Job = 1; Job <= 10; ++Job)
    enqueueJob(State, JobNumber{Job}, jobSpec("alpha", 1'001), at(0));
  enqueueJob(State, JobNumber{11}, jobSpec("alpha", 1), at(0));
  const auto Starts = nextStarts(State, at(0));
  uint32_t Dropped = 0;
  for (uint64_t Job = 1; Job <= 10; ++Job)
    Dropped += cancelJob(State, JobNumber{Job});
  CHECK(Dropped == 10'010 - 4);
  CHECK(State.QueuedTasks == 1);
  // Tasks of cancelled jobs are still running when the next slot becomes free.
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
  upsertBackend(State, backendSpec("b1", 1), at(0));
  enqueueJob(State, JobNumber{1}, jobSpec("alpha", 1), at(0));
  const auto Starts = nextStarts(State, at(0));
  cancelJob(State, JobNumber{1});
  CHECK(taskFinished(State, Starts[0], TaskOutcome::NotStarted, ms(1), at(1)) ==
        FinishDecision::Final);
  CHECK(State.Jobs.size() == State.FreeJobs.size());
}

TEST_CASE("a task past its deadline is never started") {
  PlacementState State = makeState();
  JobSpec TimedJob = jobSpec("alpha", 3);
  TimedJob.Deadline = at(50);
  enqueueJob(State, JobNumber{1}, TimedJob, at(0));
  CHECK(nextTimer(State) == at(50));
  CHECK(expireTasks(State, at(49)).empty());
  // The backend server appears after the deadline, before expireTasks() is
  // called.
  upsertBackend(State, backendSpec("b1", 8), at(51));
  CHECK(nextStarts(State, at(51)).empty());
  CHECK(nextTimer(State).has_value());
  CHECK(expireTasks(State, at(51)).size() == 3);
  CHECK_FALSE(nextTimer(State).has_value());
  CHECK(State.Jobs.size() == State.FreeJobs.size());
}

TEST_CASE("jobs that can never run are refused as impossible") {
  PlacementState State = makeState();
  const auto RefusalKind = [&](const JobSpec &Spec) {
    const auto Admission = admit(State, Spec, at(0));
    return isError(Admission) ? errorOf(Admission).Kind : ErrorKind::Internal;
  };
  CHECK(RefusalKind(jobSpec("alpha", 1)) == ErrorKind::Impossible);
  upsertBackend(State, backendSpec("b1", 8), at(0));
  CHECK_FALSE(isError(admit(State, jobSpec("alpha", 1), at(0))));
  CHECK(RefusalKind(jobSpec("alpha", 0)) == ErrorKind::Impossible);
  CHECK(RefusalKind(jobSpec("alpha", 1'601)) == ErrorKind::Impossible);
  JobSpec UnknownJob = jobSpec("alpha", 1);
  UnknownJob.Service = "none";
  CHECK(RefusalKind(UnknownJob) == ErrorKind::Impossible);
  removeBackend(State, "b1");
  CHECK(RefusalKind(jobSpec("alpha", 1)) == ErrorKind::Impossible);
  CHECK(expectedWait(State, "quote") == Duration::max());
}

TEST_CASE("a full queue refuses the team that filled it, not the others") {
  PlacementState State = makeState();
  State.Limits.MaxQueuedTasks = 1'000;
  upsertBackend(State, backendSpec("b1", 8), at(0));
  enqueueJob(State, JobNumber{1}, jobSpec("alpha", 1'000), at(0));
  const auto Admission = admit(State, jobSpec("alpha", 1), at(0));
  REQUIRE(isError(Admission));
  CHECK(errorOf(Admission).Kind == ErrorKind::Overloaded);
  CHECK_FALSE(isError(admit(State, jobSpec("beta", 500), at(0))));
  CHECK(isError(admit(State, jobSpec("beta", 501), at(0))));
}

TEST_CASE("a deadline that the predicted wait exceeds is refused at once") {
  PlacementState State = makeState();
  upsertBackend(State, backendSpec("b1", 1), at(0));
  JobSpec TimedJob = jobSpec("beta", 1);
  TimedJob.Deadline = at(2'000);
  CHECK_FALSE(isError(admit(State, TimedJob, at(0))));
  // If a slot is free, a job is admitted even if its run time may exceed the
  // deadline.
  JobSpec ShortJob = TimedJob;
  ShortJob.Deadline = at(150);
  CHECK_FALSE(isError(admit(State, ShortJob, at(0))));
  ShortJob.Deadline = at(99);
  CHECK(isError(admit(State, ShortJob, at(0))));
  enqueueJob(State, JobNumber{1}, jobSpec("beta", 100), at(0));
  const auto Admission = admit(State, TimedJob, at(0));
  REQUIRE(isError(Admission));
  CHECK(errorOf(Admission).Kind == ErrorKind::Overloaded);
  CHECK(expectedWait(State, "quote") > ms(5'000));
}
