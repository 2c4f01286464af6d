#include "placement/placement.h"

#include <doctest/doctest.h>

using namespace sapphiremoor;

TEST_CASE("a queued task starts on a free slot and frees it at its end") {
  PlacementState State;
  setServices(State, {ServiceSpec{.Name = "quote"}});
  setTeams(State, {TeamSpec{"alpha", 1.0}});
  upsertBackend(State, {"b1", "w1", "r1", {"quote"}, 1}, Instant{});
  const JobShape Shape{.Team = "alpha", .Service = "quote", .TaskCount = 2};
  CHECK_FALSE(isError(admit(State, Shape, Instant{})));
  enqueueJob(State, JobNumber{1}, Shape, Instant{});
  const auto First = nextStarts(State, Instant{});
  REQUIRE(First.size() == 1);
  CHECK(nextStarts(State, Instant{}).empty());
  const auto Decision = taskFinished(State, First[0], TaskOutcome::Succeeded,
                                     Duration{1000}, instantAt(Duration{1000}));
  CHECK(Decision == FinishDecision::Final);
  CHECK(nextStarts(State, instantAt(Duration{1000})).size() == 1);
}
