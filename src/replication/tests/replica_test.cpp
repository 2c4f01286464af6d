#include "replication/tests/fakenetwork.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

using namespace sapphiremoor;
using namespace std::chrono_literals;
using sapphiremoor::testing::FakeNetwork;

namespace {

bool accepted(const FakeNetwork &Net, uint64_t Request) {
  const auto Found = Net.Results.find(Request);
  return Found != Net.Results.end() && !isError(Found->second);
}

/// Proposes at the leader, as often as needed, until it is committed.
bool commits(FakeNetwork &Net, const std::string &Bytes) {
  for (int Round = 0; Round < 30; ++Round) {
    if (const auto Leader = Net.leader()) {
      const uint64_t Request = Net.propose(*Leader, Bytes);
      Net.run(1s);
      if (accepted(Net, Request))
        return true;
    }
    Net.run(1s);
  }
  return false;
}

/// Exchanges \p Old for the VM that now has its name.
bool replaceVoter(FakeNetwork &Net, const Voter &Old) {
  for (int Round = 0; Round < 30; ++Round) {
    Net.run(1s);
    const Voter New = Net.voter(Old.Name);
    const uint64_t Add = Net.changeVoter(VoterChangeKind::Add, New);
    Net.run(1s);
    const uint64_t Remove = Net.changeVoter(VoterChangeKind::Remove, Old);
    Net.run(1s);
    if (accepted(Net, Add) && accepted(Net, Remove))
      return true;
  }
  return false;
}

/// One random fault or proposal.
void disturb(FakeNetwork &Net) {
  const auto Name = [&Net] {
    const auto Position =
        static_cast<std::ptrdiff_t>(Net.Rng() % Net.Nodes.size());
    return std::next(Net.Nodes.begin(), Position)->first;
  };
  const std::string Bytes = std::to_string(Net.Rng());
  switch (Net.Rng() % 16) {
  case 0:
    return Net.cut(Name(), Name());
  case 1:
    return Net.isolate(Name());
  case 2:
  case 3:
    return Net.heal();
  case 4:
    return Net.crash(Name());
  case 5:
  case 6:
    return Net.restart(Name());
  case 7:
    return Net.makeSnapshot(Name());
  case 8:
    for (const auto &[Each, Node] : Net.Nodes)
      Net.propose(Each, Bytes);
    return;
  default:
    Net.propose(Net.leader().value_or(Name()), Bytes);
  }
}

void restartAll(FakeNetwork &Net) {
  Net.heal();
  for (const auto &[Name, Node] : Net.Nodes)
    Net.restart(Name);
}

void checkNoFaults(const FakeNetwork &Net) {
  for (const std::string &Fault : Net.Faults)
    FAIL_CHECK(Fault);
}

/// Runs \p Steps random faults, then checks that everything heals.
std::set<std::string> runRandomFaults(std::size_t Voters, uint64_t Seed,
                                      int Steps) {
  CAPTURE(Seed);
  FakeNetwork Net(Voters, Seed);
  Net.Loss = 0.05;
  Net.Duplication = 0.05;
  Net.LongestDelayMs = Seed % 2 == 0 ? 30 : 700;
  for (int I = 0; I < Steps; ++I) {
    disturb(Net);
    Net.run(Duration(Net.Rng() % 400'000));
  }
  restartAll(Net);
  Net.LongestDelayMs = 30;
  CHECK(commits(Net, "last"));
  CHECK(Net.settles());
  checkNoFaults(Net);
  return Net.RoleChanges;
}

} // namespace

TEST_CASE("three voters stay safe under random faults") {
  // Guards election safety, log matching and committed entries under loss,
  // duplication, reordering, cuts in one and both directions, and crashes.
  for (uint64_t Seed = 1; Seed <= 600; ++Seed)
    runRandomFaults(3, Seed, 150);
}

TEST_CASE("five voters stay safe under random faults") {
  for (uint64_t Seed = 1001; Seed <= 1400; ++Seed)
    runRandomFaults(5, Seed, 150);
}

TEST_CASE("a second loss right after a repair loses nothing") {
  // Guards against a wiped voter that counts before it holds all entries.
  for (uint64_t Seed = 2001; Seed <= 2020; ++Seed) {
    CAPTURE(Seed);
    FakeNetwork Net(3, Seed);
    Net.Loss = 0.02;
    REQUIRE(commits(Net, "before"));
    for (const std::string Lost : {"a", "b", "c", "a"}) {
      const Voter Old = Net.voter(Lost);
      Net.wipe(Lost);
      REQUIRE(commits(Net, "without " + Lost));
      REQUIRE(replaceVoter(Net, Old));
    }
    Net.crash("b");
    CHECK(commits(Net, "after"));
    CHECK(Net.settles());
    checkNoFaults(Net);
  }
}

TEST_CASE("a wiped voter neither votes nor counts") {
  // Guards against a majority that includes a disk that forgot entries.
  FakeNetwork Net(3, 5);
  REQUIRE(commits(Net, "x"));
  const std::string Leader = Net.leader().value();
  Net.crash(Leader);
  const std::string Wiped = Leader == "a" ? "b" : "a";
  Net.wipe(Wiped);
  Net.run(30s);
  CHECK_FALSE(Net.leader());
  CHECK(Net.Nodes[Wiped].State.Role == ReplicaRole::Learner);
  Net.restart(Leader);
  CHECK(commits(Net, "y"));
  CHECK(Net.settles());
  checkNoFaults(Net);
}

TEST_CASE("a voter back from a long cut leaves term and leader alone") {
  // Guards against elections forced by a voter that could hear nobody.
  for (const bool OneWay : {false, true}) {
    FakeNetwork Net(3, 9);
    REQUIRE(commits(Net, "x"));
    const std::string Leader = Net.leader().value();
    const std::string Cut = Leader == "a" ? "b" : "a";
    const uint64_t Term = Net.HighestTerm;
    if (OneWay)
      Net.cut(Leader, Cut);
    else
      Net.isolate(Cut);
    Net.run(60s);
    CHECK(commits(Net, "y"));
    Net.heal();
    CHECK(Net.settles());
    CHECK(Net.HighestTerm == Term);
    CHECK(Net.leader() == Leader);
    checkNoFaults(Net);
  }
}

TEST_CASE("a leader that hears nobody steps down for another") {
  // Guards against a leader whose heartbeats arrive while no reply does.
  FakeNetwork Net(3, 11);
  REQUIRE(commits(Net, "x"));
  const std::string Leader = Net.leader().value();
  for (const auto &[Name, Node] : Net.Nodes)
    Net.cut(Name, Leader);
  Net.run(10s);
  CHECK(Net.leader() != Leader);
  CHECK(commits(Net, "y"));
  checkNoFaults(Net);
}

TEST_CASE("nothing is acknowledged before it is durable") {
  // Guards against votes and acknowledgements that overtake the sync.
  FakeNetwork Net(3, 13);
  REQUIRE(commits(Net, "x"));
  const std::string Leader = Net.leader().value();
  ReplicaState Follower = Net.Nodes[Leader == "a" ? "b" : "a"].State;
  const auto Acknowledged = [](const std::vector<ReplicaEffect> &Effects) {
    return std::ranges::any_of(Effects, [](const ReplicaEffect &Effect) {
      const auto *Sent = std::get_if<SendTo>(&Effect);
      return Sent && (std::holds_alternative<VoteReply>(Sent->Message) ||
                      std::holds_alternative<AppendReply>(Sent->Message));
    });
  };
  const Instant Later = instantAt(1h);
  const uint64_t Last = lastIndex(Follower);
  const MessageHeader Header{Net.voter(Leader), Follower.Config.Self.Identity,
                             Follower.Hard.Term + 1};
  const VoteRequest Vote{Header, Last, Follower.Log.back().Term};
  CHECK_FALSE(
      Acknowledged(step(Follower, Received{Leader, Vote}, Later, Net.Rng)));
  const AppendRequest Append{Header,
                             Last,
                             Follower.Log.back().Term,
                             {{Header.Term, EntryKind::TermStart, {}, {}}},
                             0};
  CHECK_FALSE(
      Acknowledged(step(Follower, Received{Leader, Append}, Later, Net.Rng)));
  const Persisted All{Follower.LastPersist};
  CHECK(Acknowledged(step(Follower, All, Later, Net.Rng)));
}

TEST_CASE("a vote is kept over a restart") {
  // Guards against two leaders in one term through a voter that forgot.
  FakeNetwork Net(3, 37);
  const auto Ask = [&Net](const std::string &From) {
    const MessageHeader Header{Net.voter(From), Net.voter("b").Identity, 1};
    Net.handle("b", Received{From, VoteRequest{Header, 0, 0}});
  };
  Ask("a");
  Net.run(20ms);
  Net.crash("b");
  Net.restart("b");
  CHECK(Net.Nodes["b"].State.Hard.VotedFor == Net.voter("a").Identity);
  Ask("c");
  CHECK(Net.Nodes["b"].State.Hard.VotedFor == Net.voter("a").Identity);
}

TEST_CASE("a late request removes no entry that was acknowledged") {
  // Guards against a reordered request that shortens the log.
  FakeNetwork Net(3, 41);
  const MessageHeader Header{Net.voter("a"), Net.voter("b").Identity, 1};
  const LogEntry Entry{1, EntryKind::Command, "x", {}};
  Net.handle("b",
             Received{"a", AppendRequest{Header, 0, 0, {Entry, Entry}, 0}});
  Net.handle("b", Received{"a", AppendRequest{Header, 0, 0, {Entry}, 0}});
  CHECK(lastIndex(Net.Nodes["b"].State) == 2);
}

TEST_CASE("an entry of an earlier term is not committed by counting") {
  // Guards against committing what a later leader may still replace.
  FakeNetwork Net(3, 43);
  Random Rng(1);
  ReplicaState &State = Net.Nodes["b"].State;
  const Voter A = Net.voter("a");
  const MessageHeader FromA{A, State.Config.Self.Identity, 1};
  const LogEntry Old{1, EntryKind::Command, "x", {}};
  step(State, Received{"a", AppendRequest{FromA, 0, 0, {Old}, 0}}, Instant{},
       Rng);
  step(State, Persisted{State.LastPersist}, Instant{}, Rng);
  const Instant Later = instantAt(10s);
  step(State, Tick{}, Later, Rng);
  const MessageHeader Reply{A, State.Config.Self.Identity, 1};
  step(State, Received{"a", PreVoteReply{Reply, 2, true}}, Later, Rng);
  step(State, Persisted{State.LastPersist}, Later, Rng);
  const MessageHeader Vote{A, State.Config.Self.Identity, 2};
  step(State, Received{"a", VoteReply{Vote, true}}, Later, Rng);
  REQUIRE(State.Role == ReplicaRole::Leader);
  step(State, Persisted{State.LastPersist}, Later, Rng);
  step(State, Received{"a", AppendReply{Vote, true, 1, 0}}, Later, Rng);
  CHECK(State.Hard.Commit == 0);
  step(State, Received{"a", AppendReply{Vote, true, 2, 0}}, Later, Rng);
  CHECK(State.Hard.Commit == 2);
}

TEST_CASE("a vote request does not depose a leader that is heard") {
  // Guards against a removed voter that still asks for votes.
  FakeNetwork Net(3, 47);
  REQUIRE(commits(Net, "x"));
  const std::string Leader = Net.leader().value();
  const std::string Asked = Leader == "a" ? "b" : "a";
  const uint64_t Term = Net.HighestTerm;
  for (const std::string &To : {Asked, Leader}) {
    const MessageHeader Header{Net.voter("c"), Net.voter(To).Identity,
                               Term + 5};
    Net.handle(To, Received{"c", VoteRequest{Header, 1000, Term + 4}});
  }
  CHECK(Net.HighestTerm == Term);
}

TEST_CASE("a replica whose storage failed neither votes nor leads") {
  // Guards against acknowledging entries that a failed disk may not hold.
  FakeNetwork Net(3, 17);
  REQUIRE(commits(Net, "x"));
  const std::string Leader = Net.leader().value();
  Net.loseStorage(Leader);
  const uint64_t Refused = Net.propose(Leader, "y");
  CHECK(errorOf(Net.Results.at(Refused)).Kind == ErrorKind::StorageFailure);
  CHECK(commits(Net, "z"));
  Net.crash(Net.leader().value());
  Net.run(30s);
  CHECK_FALSE(Net.leader());
  checkNoFaults(Net);
}

TEST_CASE("a learner is not made a voter before it has caught up") {
  // Guards against a majority that waits for a voter without entries.
  FakeNetwork Net(3, 53);
  REQUIRE(commits(Net, "x"));
  const std::string Leader = Net.leader().value();
  const std::string Wiped = Leader == "a" ? "b" : "a";
  Net.cut(Leader, Wiped);
  Net.wipe(Wiped);
  Net.run(5s);
  const Voter New = Net.voter(Wiped);
  const uint64_t Early = Net.changeVoter(VoterChangeKind::Add, New);
  CHECK(errorOf(Net.Results.at(Early)).Kind == ErrorKind::Conflict);
  Net.heal();
  Net.run(5s);
  const uint64_t Late = Net.changeVoter(VoterChangeKind::Add, New);
  Net.run(1s);
  CHECK(accepted(Net, Late));
  checkNoFaults(Net);
}

TEST_CASE("two voter changes at a time are refused") {
  // Guards against sets of voters with disjoint majorities.
  FakeNetwork Net(5, 19);
  REQUIRE(commits(Net, "x"));
  const uint64_t First =
      Net.changeVoter(VoterChangeKind::Remove, Net.voter("a"));
  const uint64_t Second =
      Net.changeVoter(VoterChangeKind::Remove, Net.voter("b"));
  Net.run(2s);
  CHECK(accepted(Net, First));
  CHECK(errorOf(Net.Results.at(Second)).Kind == ErrorKind::Conflict);
  const uint64_t Unknown = Net.changeVoter(VoterChangeKind::Add, {"z", 1});
  CHECK(errorOf(Net.Results.at(Unknown)).Kind == ErrorKind::Conflict);
  checkNoFaults(Net);
}
