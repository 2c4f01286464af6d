#include "versionregister/tests/voterexchange.h"

#include "versionregister/voterset.h"

#include <doctest/doctest.h>

using namespace sapphiremoor;

namespace {

/// Time after which a new control VM has to carry the loss of another one.
constexpr Duration CatchUpTime = std::chrono::seconds(4);

/// Time from the loss of a control VM to the start of its successor.
constexpr Duration SuccessorDelay = std::chrono::seconds(1);

/// Longest time between the end of a process and the first message of the next
/// one, if it is restarted at once.
constexpr Duration RestartTime = std::chrono::milliseconds(1200);

/// Lets one random loss happen to \p Vms and end again.
void loseAndRecover(VoterExchange &Exchange, std::vector<std::string> &Vms,
                    uint64_t Number, Random &Rng) {
  enum class Loss { Exchange, PlannedExchange, Restart, Wipe, Cut, AllPower };
  constexpr uint64_t LossKinds = 6;
  std::string &Victim = Vms[Rng() % Vms.size()];
  const std::string Successor = "w" + std::to_string(Number);
  const auto Duration = std::chrono::milliseconds(500 + Rng() % 5000);
  switch (static_cast<Loss>(Rng() % LossKinds)) {
  case Loss::Exchange:
    Exchange.stop(Victim, true);
    Exchange.run(SuccessorDelay);
    Exchange.add(Successor);
    Victim = Successor;
    return;
  case Loss::PlannedExchange:
    Exchange.add(Successor);
    Exchange.run(SuccessorDelay);
    Exchange.drain(Victim);
    Exchange.run(SuccessorDelay);
    Exchange.stop(Victim, true);
    Victim = Successor;
    return;
  case Loss::Restart:
  case Loss::Wipe:
    Exchange.stop(Victim, Rng() % 2 == 0);
    Exchange.run(Duration);
    Exchange.restart(Victim);
    return;
  case Loss::Cut:
    Exchange.setCut(Victim, true);
    Exchange.run(Duration);
    Exchange.setCut(Victim, false);
    return;
  case Loss::AllPower:
    for (const std::string &Name : Vms)
      Exchange.stop(Name, Name == Victim);
    Exchange.run(Duration);
    for (const std::string &Name : Vms)
      Exchange.restart(Name);
    return;
  }
}

} // namespace

// Guards against a voter that stays one after its successor had the time to
// catch up: the next loss would take the majority.
TEST_CASE("a voter that is gone is replaced within the successor's catch-up") {
  const VoterSet Voters{1, {"a", "b", "c"}};
  ControlVmSightings Sightings{"b", {"b", "c", "d"}, {}, {}};
  Sightings.Uptime = std::chrono::seconds(60);
  Sightings.Silence = {{"a", SuccessorDelay + CatchUpTime / 2}, {"c", {}}};
  const auto Proposal = proposeVoters(Voters, Sightings, {});
  REQUIRE(Proposal.has_value());
  CHECK(*Proposal == VoterSet{2, {"b", "c", "d"}});
}

// Guards against an exchange of voters for a process that is only restarted.
TEST_CASE("a voter whose process restarts is not replaced") {
  const VoterSet Voters{1, {"a", "b", "c"}};
  ControlVmSightings Sightings{"b", {"b", "c", "d"}, {}, {}};
  Sightings.Uptime = std::chrono::seconds(60);
  Sightings.Silence = {{"a", RestartTime}, {"c", {}}};
  CHECK_FALSE(proposeVoters(Voters, Sightings, {}).has_value());
  Sightings.Silence.erase("a");
  Sightings.Uptime = RestartTime;
  CHECK_FALSE(proposeVoters(Voters, Sightings, {}).has_value());
}

// Guards against a voter that is never replaced because the VM that has to
// propose it was restarted after the loss and has never heard of the voter.
TEST_CASE("a VM that restarted after the loss of a voter replaces that voter") {
  const VoterSet Voters{1, {"a", "b", "c"}};
  ControlVmSightings Sightings{"b", {"b", "c", "d"}, {}, {}};
  Sightings.Uptime = std::chrono::seconds(60);
  Sightings.Silence = {{"c", {}}};
  const auto Proposal = proposeVoters(Voters, Sightings, {});
  REQUIRE(Proposal.has_value());
  CHECK(*Proposal == VoterSet{2, {"b", "c", "d"}});
}

// Guards against an exchange that nobody proposes because the first live voter
// cannot complete it.
TEST_CASE("the next live voter proposes if the first one does not") {
  const VoterSet Voters{1, {"a", "b", "c"}};
  ControlVmSightings Sightings{"c", {"b", "c", "d"}, {}, {}};
  Sightings.Uptime = std::chrono::seconds(60);
  const VoterWatchLimits Limits;
  Sightings.Silence = {{"a", Limits.GoneTimeout}, {"b", {}}};
  CHECK_FALSE(proposeVoters(Voters, Sightings, Limits).has_value());
  Sightings.Silence["a"] += Limits.ProposerDelay;
  CHECK(proposeVoters(Voters, Sightings, Limits).has_value());
}

// Guards against proposals that pile up, and compete once a partition has
// healed.
TEST_CASE("a VM that hears no majority of the voters proposes nothing") {
  const VoterSet Voters{1, {"a", "b", "c"}};
  ControlVmSightings Sightings{"b", {"b", "d"}, {}, {}};
  Sightings.Uptime = std::chrono::seconds(60);
  CHECK_FALSE(proposeVoters(Voters, Sightings, {}).has_value());
  Sightings.Leaving = {"c"};
  Sightings.Silence = {{"c", {}}};
  CHECK(proposeVoters(Voters, Sightings, {}).has_value());
}

// Guards against a majority that is lost with the next VM because a control VM
// that was stopped for good had kept its vote until its end.
TEST_CASE("a control VM that stops hands its vote to a spare one") {
  for (uint64_t Seed = 1; Seed <= 10; ++Seed) {
    CAPTURE(Seed);
    VoterExchange Exchange(3, Seed);
    REQUIRE(Exchange.put("v2", {7, "seven"}));
    Exchange.run(CatchUpTime);
    Exchange.add("n0");
    Exchange.run(SuccessorDelay);
    Exchange.drain("v0");
    Exchange.run(CatchUpTime - SuccessorDelay);
    Exchange.stop("v0", true);
    Exchange.stop("v1", true);
    CHECK(Exchange.put("n0", {8, "eight"}));
    CHECK(Exchange.read("v2") == VersionedDocument{8, "eight"});
    CHECK(Exchange.Network.Violations == std::vector<std::string>{});
  }
}

// Guards against a configuration that no majority can read any more after two
// control VMs were exchanged, the second one when the first successor had
// caught up.
TEST_CASE("two exchanges of control VMs keep the configuration") {
  for (uint64_t Seed = 1; Seed <= 20; ++Seed) {
    CAPTURE(Seed);
    VoterExchange Exchange(3, Seed);
    REQUIRE(Exchange.put("v2", {9, "nine"}));
    Exchange.run(std::chrono::seconds(4));
    Exchange.stop("v0", true);
    Exchange.run(SuccessorDelay);
    Exchange.add("n0");
    Exchange.run(CatchUpTime);
    CHECK(Exchange.put("v2", {39, "thirty-nine"}));
    Exchange.stop("v1", true);
    Exchange.run(SuccessorDelay);
    Exchange.add("n1");
    Exchange.run(CatchUpTime);
    CHECK(Exchange.put("v2", {43, "forty-three"}));
    CHECK(Exchange.read("n1") == VersionedDocument{43, "forty-three"});
    CHECK(Exchange.Network.Violations == std::vector<std::string>{});
  }
}

// Guards against the loss of the configuration with one disk after an exchange
// during which the remaining voters were restarted one after the other.
TEST_CASE("an exchange beside restarts leaves no voter that is gone") {
  for (uint64_t Seed = 1; Seed <= 20; ++Seed) {
    CAPTURE(Seed);
    VoterExchange Exchange(3, Seed);
    REQUIRE(Exchange.put("v2", {7, "seven"}));
    Exchange.stop("v0", true);
    Exchange.run(SuccessorDelay / 2);
    for (const std::string Name : {"v1", "v2"}) {
      Exchange.stop(Name);
      Exchange.run(SuccessorDelay / 2);
      Exchange.restart(Name);
      Exchange.run(SuccessorDelay);
    }
    Exchange.add("n0");
    Exchange.run(CatchUpTime);
    CHECK(Exchange.put("v2", {346, "newest"}));
    // All VMs lose their power, and one of them its disk.
    for (const std::string Name : {"v1", "v2", "n0"})
      Exchange.stop(Name, Name == "v2");
    Exchange.run(SuccessorDelay);
    for (const std::string Name : {"v1", "v2", "n0"})
      Exchange.restart(Name);
    Exchange.run(CatchUpTime);
    CHECK(Exchange.read("v1") == VersionedDocument{346, "newest"});
    CHECK(Exchange.Network.Violations == std::vector<std::string>{});
  }
}

// Guards against a loss of the register after any series of losses that the
// deployment has to bear, each of which comes when the one before is over.
TEST_CASE("random tolerated losses keep the configuration") {
  for (uint64_t Seed = 1; Seed <= 25; ++Seed) {
    CAPTURE(Seed);
    VoterExchange Exchange(Seed % 2 == 0 ? 3 : 5, Seed);
    const bool HasSpare = Seed % 3 == 0;
    if (HasSpare)
      Exchange.add("spare");
    std::vector<std::string> Vms = Exchange.Network.Names;
    Random Rng(Seed);
    Exchange.run(CatchUpTime);
    for (uint64_t Version = 1; Version <= 20; ++Version) {
      CAPTURE(Version);
      loseAndRecover(Exchange, Vms, Version, Rng);
      Exchange.run(CatchUpTime);
      const VersionedDocument Document{Version, "v" + std::to_string(Version)};
      REQUIRE(Exchange.put(Vms[Rng() % Vms.size()], Document));
      REQUIRE(Exchange.read(Vms[Rng() % Vms.size()]) == Document);
      REQUIRE(Exchange.Network.Violations == std::vector<std::string>{});
    }
  }
}
