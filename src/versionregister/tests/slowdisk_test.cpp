#include "versionregister/tests/registernetwork.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <numeric>
#include <ranges>
#include <vector>

using namespace sapphiremoor;

namespace {

/// Limits of the users for the acknowledgement of a change and for reading the
/// configuration back after a restart.
constexpr Duration AckLimit = std::chrono::milliseconds(4000);
constexpr Duration ReadLimit = std::chrono::milliseconds(3000);

constexpr Duration StepDuration = RegisterNetwork::StepDuration;
/// Steps of the simulated network per check of an operation, 20 ms.
constexpr std::size_t StepsPerCheck = 10;
/// Enough for the messages of three concurrent proposers.
constexpr std::size_t EventsPerStep = 6;

/// Returns the outcome of an operation once it has ended.
std::optional<OperationEnded> awaitEnd(RegisterNetwork &Network,
                                       const std::string &Name, uint64_t Number,
                                       Instant EndTime) {
  while (!Network.EndedOperations.contains({Name, Number}) &&
         Network.Now < EndTime)
    Network.run(StepsPerCheck);
  const auto It = Network.EndedOperations.find({Name, Number});
  if (It == Network.EndedOperations.end())
    return std::nullopt;
  return It->second;
}

bool isDecided(const std::optional<OperationEnded> &End) {
  return End && End->Outcome == OperationOutcome::Decided;
}

/// Sends a change to \p Name until it is acknowledged, as the operator does.
bool putWithin(RegisterNetwork &Network, const std::string &Name,
               const VersionedDocument &Document, Duration Limit) {
  const Instant EndTime = Network.Now + Limit;
  while (Network.Now < EndTime) {
    const uint64_t Number = Network.put(Name, Document);
    if (isDecided(awaitEnd(Network, Name, Number, EndTime)))
      return true;
  }
  return false;
}

/// Reads at all nodes at the same time, each until the document is returned.
/// Returns the lowest version, or 0 if a node has returned none after \p Limit.
uint64_t readAllWithin(RegisterNetwork &Network, Duration Limit) {
  const Instant EndTime = Network.Now + Limit;
  std::map<std::string, uint64_t> Reads;
  std::map<std::string, uint64_t> Versions;
  for (const std::string &Name : Network.Names)
    Reads[Name] = Network.read(Name);
  while (Versions.size() < Reads.size() && Network.Now < EndTime) {
    Network.run(StepsPerCheck);
    for (auto &[Name, Number] : Reads) {
      const auto It = Network.EndedOperations.find({Name, Number});
      if (Versions.contains(Name) || It == Network.EndedOperations.end())
        continue;
      if (isDecided(It->second))
        Versions[Name] = It->second.Newest.Version;
      else
        Number = Network.read(Name);
    }
  }
  if (Versions.size() < Reads.size())
    return 0;
  return std::ranges::min(std::views::values(Versions));
}

/// Runs \p Check for several durations of a durable write, with several seeds.
void forSlowDisks(const std::function<void(RegisterNetwork &)> &Check) {
  std::vector<uint64_t> Seeds(10);
  std::iota(Seeds.begin(), Seeds.end(), 1);
  // Seeds with which proposers overtook each other for too long.
  Seeds.insert(Seeds.end(), {43, 90, 103, 122, 128});
  for (const int WriteMs : {20, 80, 130, 200, 300})
    for (const uint64_t Seed : Seeds) {
      CAPTURE(WriteMs);
      CAPTURE(Seed);
      RegisterNetwork Network(3, Seed);
      Network.EventsPerStep = EventsPerStep;
      Network.WriteDuration = std::chrono::milliseconds(WriteMs);
      Check(Network);
      CHECK(Network.Violations == std::vector<std::string>{});
    }
}

} // namespace

// Guards against rounds that are given up before slow disks can answer, and
// begin anew for ever: no change was ever acknowledged.
TEST_CASE("a change is acknowledged in time on slow disks") {
  forSlowDisks([](RegisterNetwork &Network) {
    CHECK(putWithin(Network, "v0", {7, "seven"}, AckLimit));
    CHECK(putWithin(Network, "v1", {8, "eight"}, AckLimit));
  });
}

// Guards against a configuration that cannot be read after a restart of all
// control VMs: a read needs a round then, which was given up again and again.
TEST_CASE("a document is read in time after a restart of all on slow disks") {
  forSlowDisks([](RegisterNetwork &Network) {
    CHECK(putWithin(Network, "v0", {7, "seven"}, AckLimit));
    // The crash comes while another change is under way.
    Network.put("v1", {8, "eight"});
    Network.run(static_cast<std::size_t>(Network.WriteDuration / StepDuration));
    for (const std::string &Name : Network.Names)
      Network.crash(Name, false);
    for (const std::string &Name : Network.Names)
      Network.restart(Name);
    CHECK(readAllWithin(Network, ReadLimit) >= 7);
  });
}

// Guards against a fixed time limit of a round, which some disk exceeds: then
// no change is acknowledged, however often it is sent.
TEST_CASE("changes are acknowledged at last on disks of any speed") {
  constexpr Duration WriteDuration = std::chrono::milliseconds(1500);
  constexpr Duration Patience = std::chrono::seconds(60);
  for (uint64_t Seed = 1; Seed <= 10; ++Seed) {
    CAPTURE(Seed);
    RegisterNetwork Network(3, Seed);
    Network.EventsPerStep = EventsPerStep;
    Network.WriteDuration = WriteDuration;
    CHECK(putWithin(Network, "v0", {7, "seven"}, Patience));
    CHECK(putWithin(Network, "v1", {8, "eight"}, Patience));
    CHECK(readAllWithin(Network, Patience) == 8);
    CHECK(Network.Violations == std::vector<std::string>{});
  }
}

// Guards against a request or reply that is lost and costs the whole round: the
// next one may lose another.
TEST_CASE("a change is acknowledged in time although messages are lost") {
  constexpr double LossShare = 0.3;
  for (uint64_t Seed = 1; Seed <= 20; ++Seed) {
    CAPTURE(Seed);
    RegisterNetwork Network(3, Seed);
    Network.EventsPerStep = EventsPerStep;
    Network.WriteDuration = std::chrono::milliseconds(130);
    Network.LossShare = LossShare;
    CHECK(putWithin(Network, "v0", {7, "seven"}, AckLimit));
    CHECK(Network.Violations == std::vector<std::string>{});
  }
}

// Guards against a change that waits for the next round, or for its timeout,
// while the round under way has not proposed a value yet.
TEST_CASE("a change joins a round that waits for new voters") {
  RegisterNetwork Network(3, 1);
  Network.EventsPerStep = EventsPerStep;
  Network.run(300);
  Network.put("v0", {7, "seven"});
  Network.run(300);
  // Two of the three new voters do not exist, so their set cannot be installed.
  Network.add("w0");
  Network.add("w1");
  Network.crash("w0", true);
  Network.crash("w1", true);
  const VoterSet Voters = Network.node("v0").voters();
  Network.node("v0").changeVoters({Voters.Epoch + 1, {"v0", "w0", "w1"}},
                                  Network.Now);
  Network.run(StepsPerCheck);
  const uint64_t Put = Network.put("v0", {8, "eight"});
  const auto End =
      awaitEnd(Network, "v0", Put, Network.Now + RegisterLimits{}.ResendPeriod);
  CHECK(isDecided(End));
  CHECK(Network.node("v0").voters() == Voters);
}
