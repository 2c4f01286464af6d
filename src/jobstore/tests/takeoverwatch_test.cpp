#include "jobstore/takeoverwatch.h"

#include <doctest/doctest.h>

using namespace sapphiremoor;

namespace {

constexpr Duration CheckPeriod = std::chrono::milliseconds(200);

/// Time within which an accepted job has to go on after the loss of its VM.
constexpr Duration TakeoverBound = std::chrono::seconds(4);

} // namespace

// Guards against accepted jobs that nobody runs: the preferred VM was down when
// they were written, so its copy does not list their partition.
TEST_CASE("a partition that the preferred VM does not know is claimed") {
  constexpr std::size_t SecondRank = 1;
  TakeoverWatch Second({});
  Instant Now;
  bool Claimed = false;
  for (Duration Elapsed{}; Elapsed < TakeoverBound; Elapsed += CheckPeriod)
    Claimed |= Second.shouldClaim("p", SecondRank, false, Now + Elapsed);
  CHECK(Claimed);
}

// Guards against VMs that all claim a partition at once and outbid each other.
TEST_CASE("the preferred VM claims a partition before the others") {
  const TakeoverLimits Limits;
  TakeoverWatch First(Limits);
  TakeoverWatch Second(Limits);
  Instant Now;
  CHECK_FALSE(First.shouldClaim("p", 0, false, Now));
  CHECK_FALSE(Second.shouldClaim("p", 1, false, Now));
  Now += Limits.WriterGoneTimeout;
  CHECK(First.shouldClaim("p", 0, false, Now));
  CHECK_FALSE(Second.shouldClaim("p", 1, false, Now));
  Second.recordWriter("p");
  Now += Limits.ClaimantDelay;
  CHECK_FALSE(Second.shouldClaim("p", 1, false, Now));
}
