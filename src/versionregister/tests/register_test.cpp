#include "versionregister/tests/registernetwork.h"
#include "versionregister/voterset.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <numeric>

using namespace sapphiremoor;

namespace {

bool decided(const RegisterNetwork &Network, const std::string &Name,
             uint64_t Number) {
  const auto It = Network.EndedOperations.find({Name, Number});
  return It != Network.EndedOperations.end() &&
         It->second.Outcome == OperationOutcome::Decided;
}

/// Proposes at \p Proposer to replace one voter by a VM that is none.
void exchangeRandomVoter(RegisterNetwork &Network, const std::string &Proposer,
                         Random &Rng) {
  VoterSet Next = Network.node(Proposer).voters();
  if (Next.Voters.empty())
    return;
  ++Next.Epoch;
  const std::string &Newcomer = Network.Names[Rng() % Network.Names.size()];
  if (isVoter(Next, Newcomer))
    return;
  Next.Voters[Rng() % Next.Voters.size()] = Newcomer;
  std::ranges::sort(Next.Voters);
  Network.node(Proposer).changeVoters(Next, Network.Now);
}

} // namespace

// Guards against an acknowledged document that another VM cannot read back.
TEST_CASE("a put is read back at another VM") {
  RegisterNetwork Network(3, 1);
  const uint64_t Put = Network.put("v0", {7, "seven"});
  Network.run(200);
  REQUIRE(decided(Network, "v0", Put));
  const uint64_t Read = Network.read("v2");
  Network.run(200);
  REQUIRE(decided(Network, "v2", Read));
  CHECK(Network.EndedOperations.at({"v2", Read}).Newest ==
        VersionedDocument{7, "seven"});
}

// Guards against a lower or equal version that replaces the newest one.
TEST_CASE(
    "a put of a version that is not higher is decided and changes nothing") {
  RegisterNetwork Network(3, 2);
  Network.put("v0", {7, "seven"});
  Network.run(200);
  const uint64_t SameVersion = Network.put("v1", {7, "other"});
  const uint64_t LowerVersion = Network.put("v2", {6, "six"});
  Network.run(200);
  CHECK(decided(Network, "v1", SameVersion));
  CHECK(decided(Network, "v2", LowerVersion));
  CHECK(Network.node("v0").chosen()->Value.Document.Body == "seven");
}

// Guards against an answer from the minority side of a partition.
TEST_CASE("a VM without a majority answers neither puts nor reads") {
  RegisterNetwork Network(3, 3);
  Network.put("v0", {7, "seven"});
  Network.run(300);
  Network.setCut("v0", true);
  const uint64_t Put = Network.put("v0", {8, "eight"});
  const uint64_t Read = Network.read("v0");
  Network.run(1500);
  CHECK(Network.EndedOperations.at({"v0", Put}).Outcome ==
        OperationOutcome::Unavailable);
  CHECK(Network.EndedOperations.at({"v0", Read}).Outcome ==
        OperationOutcome::Unavailable);
}

// Guards against a VM that votes after it lost its promises with its disk.
TEST_CASE("a VM with a wiped disk votes only after it has recovered") {
  RegisterNetwork Network(3, 4);
  Network.put("v0", {7, "seven"});
  Network.run(300);
  Network.crash("v1", true);
  Network.crash("v2", false);
  Network.restart("v1");
  Network.run(300);
  CHECK_FALSE(Network.node("v1").isVoting());
  Network.restart("v2");
  Network.run(1500);
  CHECK(Network.node("v1").isVoting());
  Network.crash("v0", true);
  const uint64_t Read = Network.read("v2");
  Network.run(300);
  REQUIRE(decided(Network, "v2", Read));
  CHECK(Network.EndedOperations.at({"v2", Read}).Newest.Body == "seven");
}

// Guards against two values under one ballot: a VM whose disk had hung used the
// ballot of its former process again, and voters that had learned the former
// value under this ballot never learned the new one.
TEST_CASE("a change after a restart on a slow disk is read at all VMs") {
  for (uint64_t Seed = 1; Seed <= 20; ++Seed) {
    CAPTURE(Seed);
    RegisterNetwork Network(3, Seed);
    const uint64_t First = Network.put("v0", {7, "seven"});
    Network.run(400);
    REQUIRE(decided(Network, "v0", First));
    Network.StalledDisks = {"v0"};
    const uint64_t Second = Network.put("v0", {8, "eight"});
    Network.run(400);
    REQUIRE(decided(Network, "v0", Second));
    Network.crash("v0", false);
    Network.StalledDisks.clear();
    Network.restart("v0");
    const uint64_t Third = Network.put("v0", {9, "nine"});
    Network.run(400);
    REQUIRE(decided(Network, "v0", Third));
    const uint64_t Read = Network.read("v1");
    Network.run(400);
    REQUIRE(decided(Network, "v1", Read));
    CHECK(Network.EndedOperations.at({"v1", Read}).Newest.Version == 9);
    CHECK(Network.Violations.empty());
  }
}

// Guards against a read that returns an older version than one decided before
// it: late replies to a read of the former process counted as replies to the
// read of its successor, as both count their reads from 1.
TEST_CASE("a read after a restart counts no reply to the former process") {
  for (uint64_t Seed = 1; Seed <= 1500; ++Seed) {
    CAPTURE(Seed);
    RegisterNetwork Network(3, Seed);
    const uint64_t First = Network.put("v2", {7, "seven"});
    Network.run(400);
    REQUIRE(decided(Network, "v2", First));
    // v1 holds its reply to the read until its disk has the second value.
    Network.StalledDisks = {"v1"};
    const uint64_t Second = Network.put("v2", {8, "eight"});
    Network.run(400);
    REQUIRE(decided(Network, "v2", Second));
    Network.read("v0");
    Network.run(100);
    Network.crash("v0", false);
    Network.restart("v0");
    // v0 promises but does not get the third value, which v1 accepts.
    const uint64_t Third = Network.put("v2", {9, "nine"});
    Network.run(Seed % 40);
    Network.setCut("v0", true);
    Network.run(100);
    Network.setCut("v0", false);
    Network.StalledDisks.clear();
    for (int Step = 0; Step < 400 && !decided(Network, "v2", Third); ++Step)
      Network.run(1);
    Network.read("v0");
    Network.run(400);
    CHECK(Network.Violations.empty());
  }
}

// Guards against lost or duplicated versions under lost messages, concurrent
// proposers, crashes and one wiped disk at a time.
TEST_CASE("random faults never lose, duplicate or reverse a version") {
  for (uint64_t Seed = 1; Seed <= 60; ++Seed) {
    CAPTURE(Seed);
    RegisterNetwork Network(Seed % 2 == 0 ? 3 : 5, Seed);
    Network.LossShare = 0.05;
    Random Rng(Seed);
    uint64_t Version = 1;
    for (int Round = 0; Round < 60; ++Round) {
      Version += Rng() % 3;
      for (int Count = 0; Count < 2; ++Count) {
        const std::string &Proposer =
            Network.Names[Rng() % Network.Names.size()];
        const std::string Body =
            std::to_string(Version) + Proposer + std::to_string(Count);
        if (!Network.isDown(Proposer) && Version > 0)
          Network.put(Proposer, {Version, Body});
      }
      const std::string &Reader = Network.Names[Rng() % Network.Names.size()];
      if (!Network.isDown(Reader))
        Network.read(Reader);
      Network.run(Rng() % 120);
      const std::string &Victim = Network.Names[Rng() % Network.Names.size()];
      const bool AllVoting =
          std::ranges::all_of(Network.Names, [&](const std::string &Name) {
            return !Network.isDown(Name) && Network.node(Name).isVoting();
          });
      if (Rng() % 4 == 0 && AllVoting)
        Network.crash(Victim, Rng() % 2 == 0);
      else if (Network.isDown(Victim))
        Network.restart(Victim);
      if (Rng() % 5 == 0)
        Network.setCut(Victim, Rng() % 2 == 0);
    }
    for (const std::string &Name : Network.Names) {
      Network.setCut(Name, false);
      if (Network.isDown(Name))
        Network.restart(Name);
    }
    Network.LossShare = 0;
    Network.run(4000);
    const uint64_t Read = Network.read(Network.Names.front());
    Network.run(2000);
    CHECK(decided(Network, Network.Names.front(), Read));
    CHECK(Network.Violations == std::vector<std::string>{});
  }
}

// Guards against two voter sets that decide independently of each other, for
// example after restarts in the middle of a change of the voters.
TEST_CASE("random changes of the voters never lose or reverse a version") {
  constexpr uint64_t RandomSeeds = 150;
  std::vector<uint64_t> Seeds(RandomSeeds);
  std::iota(Seeds.begin(), Seeds.end(), 1);
  // Seeds with which restarted voters decided without the others.
  Seeds.insert(Seeds.end(), {1434, 2315, 6707, 16806});
  for (const uint64_t Seed : Seeds) {
    CAPTURE(Seed);
    RegisterNetwork Network(3, Seed);
    Network.LossShare = 0.05;
    Network.RequestsNewerValues = true;
    Network.run(300);
    Network.add("w0");
    Network.add("w1");
    Random Rng(Seed);
    uint64_t Version = 1;
    for (int Round = 0; Round < 80; ++Round) {
      const std::string &Proposer = Network.Names[Rng() % Network.Names.size()];
      if (!Network.isDown(Proposer)) {
        Version += Rng() % 3;
        Network.put(Proposer, {Version, std::to_string(Version) + Proposer});
        Network.read(Proposer);
        exchangeRandomVoter(Network, Proposer, Rng);
      }
      Network.run(Rng() % 100);
      const std::string &Victim = Network.Names[Rng() % Network.Names.size()];
      if (Network.isDown(Victim))
        Network.restart(Victim);
      else if (Rng() % 3 == 0)
        Network.crash(Victim, false);
      Network.setCut(Victim, Rng() % 4 == 0);
    }
    for (const std::string &Name : Network.Names) {
      Network.setCut(Name, false);
      if (Network.isDown(Name))
        Network.restart(Name);
    }
    Network.LossShare = 0;
    Network.run(4000);
    const uint64_t Read = Network.read(Network.Names.front());
    Network.run(2000);
    CHECK(decided(Network, Network.Names.front(), Read));
    CHECK(Network.Violations == std::vector<std::string>{});
  }
}

// Guards against a round that misses a decided value because it learned of a
// newer one while it ran: a voter omits a value that the proposer has.
TEST_CASE("a round asks for all values that are newer than its own") {
  const VoterSet Voters{1, {"a", "b", "c"}};
  const VoterSet NewVoters{2, {"a", "b", "d"}};
  const Ballot Stored{1, "a"};
  const Ballot Newer{2, "b"};
  RegisterStart Start{{"a", 1}, AcceptorState{}, {}};
  Start.StoredState =
      AcceptorState{Stored, Stored, {{1, "one"}, Voters}, Stored, Voters};
  RegisterNode Node(Start, RegisterLimits{}, 1);
  const Instant Now;
  Node.put({3, "three"}, Now);
  const Ballot Round{2, processName({"a", 1})};
  Node.receive({"b", 1}, ChosenValue{Newer, {{2, "two"}, NewVoters}}, Now);
  Node.receive(
      {"b", 1},
      PrepareReply{Round, Round, Newer, RegisterValue{{2, "two"}, NewVoters}},
      Now);
  std::vector<PrepareRequest> Requests;
  for (const RegisterEffect &Effect : Node.takeEffects())
    if (const auto *Send = std::get_if<SendToVoter>(&Effect);
        Send != nullptr && Send->Receiver == "d")
      if (const auto *Request = std::get_if<PrepareRequest>(&Send->Message))
        Requests.push_back(*Request);
  REQUIRE(Requests.size() == 1);
  CHECK(Requests.front().RoundBallot == Round);
  CHECK(Requests.front().KnownBallot == Stored);
}

// Guards against an unresponsive voter that is never replaced.
TEST_CASE("a live VM replaces an unresponsive voter") {
  const VoterSet Current{4, {"a", "b", "c"}};
  const auto Next = nextVoters(Current, {{"a", "b", "d"}, {"c"}, 3});
  REQUIRE(Next.has_value());
  CHECK(*Next == VoterSet{5, {"a", "b", "d"}});
  CHECK_FALSE(nextVoters(Current, {{"a", "b", "d"}, {}, 3}).has_value());
  CHECK(nextVoters(Current, {{"a", "b", "c", "d"}, {}, 5})->Voters.size() == 4);
}

// Guards against voters that gather in one data centre, whose loss would then
// take the majority.
TEST_CASE("the successor of a voter keeps the voters spread") {
  const VoterSet Current{4, {"n1", "t1", "z1"}};
  VoterCandidates Candidates{{"t1", "t2", "x1", "z1"}, {"n1"}, 3};
  Candidates.DataCentres = {{"n1", "nitra"},
                            {"t1", "trencin"},
                            {"t2", "trencin"},
                            {"x1", "nitra"},
                            {"z1", "zilina"}};
  const auto Next = nextVoters(Current, Candidates);
  REQUIRE(Next.has_value());
  CHECK(*Next == VoterSet{5, {"t1", "x1", "z1"}});
}

// Guards against voters that stay in one data centre after the VMs of the
// others have returned.
TEST_CASE("a voter moves to a data centre that has too few") {
  const VoterSet Current{4, {"t1", "t2", "z1"}};
  VoterCandidates Candidates{{"n1", "t1", "t2", "z1"}, {}, 3};
  Candidates.DataCentres = {
      {"n1", "nitra"}, {"t1", "trencin"}, {"t2", "trencin"}, {"z1", "zilina"}};
  CHECK_FALSE(nextVoters(Current, Candidates).has_value());
  Candidates.MaySpread = true;
  const auto Next = nextVoters(Current, Candidates);
  REQUIRE(Next.has_value());
  CHECK(*Next == VoterSet{5, {"n1", "t2", "z1"}});
  CHECK_FALSE(nextVoters(*Next, Candidates).has_value());
}

// Guards against a decision by the old voters after a change of the voter set.
TEST_CASE(
    "documents survive the removal of one voter and the loss of another") {
  RegisterNetwork Network(4, 9);
  Network.put("v0", {3, "three"});
  Network.run(400);
  const VoterSet OldVoters = Network.node("v0").voters();
  Network.crash("v3", true);
  Network.node("v0").changeVoters({OldVoters.Epoch + 1, {"v0", "v1", "v2"}},
                                  Network.Now);
  Network.run(800);
  CHECK(Network.node("v1").voters().Voters.size() == 3);
  Network.crash("v0", true);
  const uint64_t Read = Network.read("v1");
  Network.run(800);
  REQUIRE(decided(Network, "v1", Read));
  CHECK(Network.EndedOperations.at({"v1", Read}).Newest.Body == "three");
}
