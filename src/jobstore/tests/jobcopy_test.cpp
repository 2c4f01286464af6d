#include "jobstore/jobcopy.h"

#include <doctest/doctest.h>

using namespace sapphiremoor;

namespace {

/// Returns what \p Copy answers when it is asked for a job that it lacks.
std::optional<JobLocation> locate(JobCopy &Copy) {
  Copy.takeEffects();
  Copy.receive("v0:1", LocateJob{"j1"}, Instant());
  for (const CopyEffect &Effect : Copy.takeEffects())
    if (const auto *Send = std::get_if<SendToCopy>(&Effect))
      if (const auto *Location = std::get_if<JobLocation>(&Send->Message))
        return *Location;
  return std::nullopt;
}

} // namespace

// Guards against the end of a stored job's task that is acknowledged and lost,
// because an empty VM said that no such job is stored before it knew that it
// had become a voter.
TEST_CASE("an incomplete copy does not say that a job is not stored") {
  JobCopy Newcomer({"v3:1", {}, 7, false});
  CHECK_FALSE(locate(Newcomer).has_value());
  Newcomer.setVoters({1, {"v0:1", "v1:1", "v2:1"}});
  CHECK_FALSE(locate(Newcomer).has_value());
  Newcomer.setVoters({2, {"v1:1", "v2:1", "v3:1"}});
  CHECK_FALSE(locate(Newcomer).has_value());
  JobCopy Voter({"v1:1", {}, 8, true});
  Voter.setVoters({1, {"v0:1", "v1:1", "v2:1"}});
  const auto Location = locate(Voter);
  REQUIRE(Location.has_value());
  CHECK_FALSE(Location->HasJob);
}
