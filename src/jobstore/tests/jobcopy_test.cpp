#include "jobstore/jobcopy.h"

#include <doctest/doctest.h>

using namespace sapphiremoor;

namespace {

/// Returns what \p Copy answers when it is asked for a job that it lacks.
std::optional<JobLocation> locate(JobCopy &Copy) {
  Copy.takeEffects();
  Copy.receive({"v0:1", 1}, LocateJob{"j1"}, Instant());
  for (const CopyEffect &Effect : Copy.takeEffects())
    if (const auto *Reply = std::get_if<CopyReply>(&Effect))
      if (const auto *Location = std::get_if<JobLocation>(&Reply->Message))
        return *Location;
  return std::nullopt;
}

/// Returns the receivers of the replies among the effects of \p Copy.
std::vector<PeerProcess> replyReceivers(JobCopy &Copy) {
  std::vector<PeerProcess> Receivers;
  for (const CopyEffect &Effect : Copy.takeEffects())
    if (const auto *Reply = std::get_if<CopyReply>(&Effect))
      Receivers.push_back(Reply->Receiver);
  return Receivers;
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

// Guards against a writer lease that is renewed by the reply to a former
// process of the VM, and against pages that were made for a former copy: the
// requests of each process are numbered anew, and a reply may wait for a disk.
TEST_CASE("a copy replies to the process that asked") {
  const PeerProcess Former{"v0:1", 1};
  const PeerProcess Successor{"v0:1", 2};
  JobCopy Voter({"v1:1", {}, 8, true});
  Voter.setVoters({1, {"v0:1", "v1:1", "v2:1"}});
  Voter.takeEffects();
  Voter.receive(Former, RenewWriterLease{1, 1, {}}, Instant());
  CHECK(replyReceivers(Voter) == std::vector{Former});
  Voter.receive(Former, FetchCopy{{}, 1, 5}, Instant());
  Voter.receive(Successor, FetchCopy{{}, 1, 6}, Instant());
  CHECK(replyReceivers(Voter).empty());
  constexpr uint64_t AllEntries = 100;
  Voter.confirmDurable(AllEntries);
  CHECK(replyReceivers(Voter) == std::vector{Former, Successor});
}
