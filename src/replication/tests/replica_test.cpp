#include "replication/tests/fakenetwork.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

using namespace sapphiremoor;
using namespace std::chrono_literals;
using sapphiremoor::testing::FakeNetwork;

namespace {

bool isAccepted(const FakeNetwork &Net, uint64_t Request) {
  const auto ResultIt = Net.Results.find(Request);
  return ResultIt != Net.Results.end() && !isError(ResultIt->second);
}

/// Proposes to the current leader until a proposal is committed, at most 30
/// times.
bool commitsProposal(FakeNetwork &Net, const std::string &Bytes) {
  for (int Round = 0; Round < 30; ++Round) {
    if (const auto Leader = Net.leader()) {
      const uint64_t Request = Net.propose(*Leader, Bytes);
      Net.run(1s);
      if (isAccepted(Net, Request))
        return true;
    }
    Net.run(1s);
  }
  return false;
}

/// Replaces the voter \p OldVoter by the VM that now has its name.
bool replaceVoter(FakeNetwork &Net, const Voter &OldVoter) {
  for (int Round = 0; Round < 30; ++Round) {
    Net.run(1s);
    const Voter NewVoter = Net.voter(OldVoter.Name);
    const uint64_t AddRequest = Net.changeVoter(VoterChangeKind::Add, NewVoter);
    Net.run(1s);
    const uint64_t RemoveRequest =
        Net.changeVoter(VoterChangeKind::Remove, OldVoter);
    Net.run(1s);
    if (isAccepted(Net, AddRequest) && isAccepted(Net, RemoveRequest))
      return true;
  }
  return false;
}

/// Injects one random fault, or proposes at one VM or at all of them.
void injectRandomFault(FakeNetwork &Net) {
  const auto RandomName = [&Net] {
    const auto Position =
        static_cast<std::ptrdiff_t>(Net.Rng() % Net.Nodes.size());
    return std::next(Net.Nodes.begin(), Position)->first;
  };
  const std::string Bytes = std::to_string(Net.Rng());
  switch (Net.Rng() % 16) {
  case 0:
    return Net.cut(RandomName(), RandomName());
  case 1:
    return Net.isolate(RandomName());
  case 2:
  case 3:
    return Net.heal();
  case 4:
    return Net.crash(RandomName());
  case 5:
  case 6:
    return Net.restart(RandomName());
  case 7:
    return Net.makeSnapshot(RandomName());
  case 8:
    for (const auto &[NodeName, Node] : Net.Nodes)
      Net.propose(NodeName, Bytes);
    return;
  default:
    Net.propose(Net.leader().value_or(RandomName()), Bytes);
  }
}

void restartAll(FakeNetwork &Net) {
  Net.heal();
  for (const auto &[Name, Node] : Net.Nodes)
    Net.restart(Name);
}

void checkNoViolations(const FakeNetwork &Net) {
  for (const std::string &Violation : Net.Violations)
    FAIL_CHECK(Violation);
}

/// Runs \p Steps random faults, then checks that the cluster recovers.
std::set<std::string> runRandomFaults(std::size_t Voters, uint64_t Seed,
                                      int Steps) {
  CAPTURE(Seed);
  FakeNetwork Net(Voters, Seed);
  Net.Loss = 0.05;
  Net.Duplication = 0.05;
  Net.MaxDelayMs = Seed % 2 == 0 ? 30 : 700;
  for (int I = 0; I < Steps; ++I) {
    injectRandomFault(Net);
    Net.run(Duration(Net.Rng() % 400'000));
  }
  restartAll(Net);
  Net.MaxDelayMs = 30;
  CHECK(commitsProposal(Net, "last"));
  CHECK(Net.runUntilConverged());
  checkNoViolations(Net);
  return Net.RoleChanges;
}

} // namespace

TEST_CASE("three voters stay safe under random faults") {
  // Guards election safety, log matching and committed entries under message
  // loss, duplication and reordering, network cuts in one and both directions,
  // and crashes.
  for (uint64_t Seed = 1; Seed <= 600; ++Seed)
    runRandomFaults(3, Seed, 150);
}

TEST_CASE("five voters stay safe under random faults") {
  for (uint64_t Seed = 1001; Seed <= 1400; ++Seed)
    runRandomFaults(5, Seed, 150);
}

TEST_CASE("no entry is lost if a voter crashes after others were replaced") {
  // Guards against a wiped voter that counts before it holds all entries.
  for (uint64_t Seed = 2001; Seed <= 2020; ++Seed) {
    CAPTURE(Seed);
    FakeNetwork Net(3, Seed);
    Net.Loss = 0.02;
    REQUIRE(commitsProposal(Net, "before"));
    for (const std::string WipedName : {"a", "b", "c", "a"}) {
      const Voter OldVoter = Net.voter(WipedName);
      Net.wipe(WipedName);
      REQUIRE(commitsProposal(Net, "without " + WipedName));
      REQUIRE(replaceVoter(Net, OldVoter));
    }
    Net.crash("b");
    CHECK(commitsProposal(Net, "after"));
    CHECK(Net.runUntilConverged());
    checkNoViolations(Net);
  }
}

TEST_CASE("a wiped voter neither votes nor counts") {
  // Guards against a majority that includes a voter whose disk lost its
  // entries.
  FakeNetwork Net(3, 5);
  REQUIRE(commitsProposal(Net, "x"));
  const std::string Leader = Net.leader().value();
  Net.crash(Leader);
  const std::string WipedName = Leader == "a" ? "b" : "a";
  Net.wipe(WipedName);
  Net.run(30s);
  CHECK_FALSE(Net.leader());
  CHECK(Net.Nodes[WipedName].State.Role == ReplicaRole::Learner);
  Net.restart(Leader);
  CHECK(commitsProposal(Net, "y"));
  CHECK(Net.runUntilConverged());
  checkNoViolations(Net);
}

TEST_CASE("a voter that reconnects changes neither the term nor the leader") {
  // Guards against elections that are forced by a voter that received no
  // messages.
  for (const bool OneWay : {false, true}) {
    FakeNetwork Net(3, 9);
    REQUIRE(commitsProposal(Net, "x"));
    const std::string Leader = Net.leader().value();
    const std::string CutOffName = Leader == "a" ? "b" : "a";
    const uint64_t Term = Net.HighestTerm;
    if (OneWay)
      Net.cut(Leader, CutOffName);
    else
      Net.isolate(CutOffName);
    Net.run(60s);
    CHECK(commitsProposal(Net, "y"));
    Net.heal();
    CHECK(Net.runUntilConverged());
    CHECK(Net.HighestTerm == Term);
    CHECK(Net.leader() == Leader);
    checkNoViolations(Net);
  }
}

TEST_CASE("a leader that receives no replies steps down") {
  // Guards against a leader that stays in office because its heartbeats arrive
  // while no reply reaches it.
  FakeNetwork Net(3, 11);
  REQUIRE(commitsProposal(Net, "x"));
  const std::string Leader = Net.leader().value();
  for (const auto &[Name, Node] : Net.Nodes)
    Net.cut(Name, Leader);
  Net.run(10s);
  CHECK(Net.leader() != Leader);
  CHECK(commitsProposal(Net, "y"));
  checkNoViolations(Net);
}

TEST_CASE("nothing is acknowledged before it is durable") {
  // Guards against votes and acknowledgements that are sent before the data is
  // synced.
  FakeNetwork Net(3, 13);
  REQUIRE(commitsProposal(Net, "x"));
  const std::string Leader = Net.leader().value();
  ReplicaState Follower = Net.Nodes[Leader == "a" ? "b" : "a"].State;
  const auto HasReply = [](const std::vector<ReplicaEffect> &Effects) {
    return std::ranges::any_of(Effects, [](const ReplicaEffect &Effect) {
      const auto *SentMessage = std::get_if<SendReplicationMessage>(&Effect);
      return SentMessage &&
             (std::holds_alternative<VoteReply>(SentMessage->Message) ||
              std::holds_alternative<AppendReply>(SentMessage->Message));
    });
  };
  const Instant Later = instantAt(1h);
  const uint64_t LastIndex = lastIndex(Follower);
  const MessageHeader Header{Net.voter(Leader), Follower.Config.Self.Identity,
                             Follower.Hard.Term + 1};
  const VoteRequest Vote{Header, LastIndex, Follower.Log.back().Term};
  CHECK_FALSE(
      HasReply(step(Follower, MessageReceived{Leader, Vote}, Later, Net.Rng)));
  const AppendRequest Append{Header,
                             LastIndex,
                             Follower.Log.back().Term,
                             {{Header.Term, EntryKind::TermStart, {}, {}}},
                             0};
  CHECK_FALSE(HasReply(
      step(Follower, MessageReceived{Leader, Append}, Later, Net.Rng)));
  const PersistCompleted AllPersisted{Follower.LastPersistNumber};
  CHECK(HasReply(step(Follower, AllPersisted, Later, Net.Rng)));
}

TEST_CASE("a vote survives a restart") {
  // Guards against two leaders in one term because a voter forgot its vote.
  FakeNetwork Net(3, 37);
  const auto SendVoteRequest = [&Net](const std::string &Sender) {
    const MessageHeader Header{Net.voter(Sender), Net.voter("b").Identity, 1};
    Net.handle("b", MessageReceived{Sender, VoteRequest{Header, 0, 0}});
  };
  SendVoteRequest("a");
  Net.run(20ms);
  Net.crash("b");
  Net.restart("b");
  CHECK(Net.Nodes["b"].State.Hard.VotedFor == Net.voter("a").Identity);
  SendVoteRequest("c");
  CHECK(Net.Nodes["b"].State.Hard.VotedFor == Net.voter("a").Identity);
}

TEST_CASE("a late request removes no entry that was acknowledged") {
  // Guards against a reordered request that truncates the log.
  FakeNetwork Net(3, 41);
  const MessageHeader Header{Net.voter("a"), Net.voter("b").Identity, 1};
  const LogEntry Entry{1, EntryKind::Command, "x", {}};
  Net.handle("b", MessageReceived{
                      "a", AppendRequest{Header, 0, 0, {Entry, Entry}, 0}});
  Net.handle("b",
             MessageReceived{"a", AppendRequest{Header, 0, 0, {Entry}, 0}});
  CHECK(lastIndex(Net.Nodes["b"].State) == 2);
}

TEST_CASE("an entry of an earlier term is not committed by majority alone") {
  // Guards against committing an entry that a later leader may still replace.
  FakeNetwork Net(3, 43);
  Random Rng(1);
  ReplicaState &State = Net.Nodes["b"].State;
  const Voter VoterA = Net.voter("a");
  const MessageHeader FromA{VoterA, State.Config.Self.Identity, 1};
  const LogEntry OldEntry{1, EntryKind::Command, "x", {}};
  step(State, MessageReceived{"a", AppendRequest{FromA, 0, 0, {OldEntry}, 0}},
       Instant{}, Rng);
  step(State, PersistCompleted{State.LastPersistNumber}, Instant{}, Rng);
  const Instant Later = instantAt(10s);
  step(State, Tick{}, Later, Rng);
  const MessageHeader PreVoteHeader{VoterA, State.Config.Self.Identity, 1};
  step(State, MessageReceived{"a", PreVoteReply{PreVoteHeader, 2, true}}, Later,
       Rng);
  step(State, PersistCompleted{State.LastPersistNumber}, Later, Rng);
  const MessageHeader VoteHeader{VoterA, State.Config.Self.Identity, 2};
  step(State, MessageReceived{"a", VoteReply{VoteHeader, true}}, Later, Rng);
  REQUIRE(State.Role == ReplicaRole::Leader);
  step(State, PersistCompleted{State.LastPersistNumber}, Later, Rng);
  step(State, MessageReceived{"a", AppendReply{VoteHeader, true, 1, 0}}, Later,
       Rng);
  CHECK(State.Hard.CommitIndex == 0);
  step(State, MessageReceived{"a", AppendReply{VoteHeader, true, 2, 0}}, Later,
       Rng);
  CHECK(State.Hard.CommitIndex == 2);
}

TEST_CASE("a vote request does not depose a live leader") {
  // Guards against a removed voter that still asks for votes.
  FakeNetwork Net(3, 47);
  REQUIRE(commitsProposal(Net, "x"));
  const std::string Leader = Net.leader().value();
  const std::string FollowerName = Leader == "a" ? "b" : "a";
  const uint64_t Term = Net.HighestTerm;
  for (const std::string &Receiver : {FollowerName, Leader}) {
    const MessageHeader Header{Net.voter("c"), Net.voter(Receiver).Identity,
                               Term + 5};
    Net.handle(Receiver,
               MessageReceived{"c", VoteRequest{Header, 1000, Term + 4}});
  }
  CHECK(Net.HighestTerm == Term);
}

TEST_CASE("a replica whose storage failed neither votes nor leads") {
  // Guards against acknowledging entries that a failed disk may not hold.
  FakeNetwork Net(3, 17);
  REQUIRE(commitsProposal(Net, "x"));
  const std::string Leader = Net.leader().value();
  Net.failStorage(Leader);
  const uint64_t RefusedRequest = Net.propose(Leader, "y");
  CHECK(errorOf(Net.Results.at(RefusedRequest)).Kind ==
        ErrorKind::StorageFailure);
  CHECK(commitsProposal(Net, "z"));
  Net.crash(Net.leader().value());
  Net.run(30s);
  CHECK_FALSE(Net.leader());
  checkNoViolations(Net);
}

TEST_CASE("a learner is not made a voter before it has caught up") {
  // Guards against a majority that depends on a voter without entries.
  FakeNetwork Net(3, 53);
  REQUIRE(commitsProposal(Net, "x"));
  const std::string Leader = Net.leader().value();
  const std::string WipedName = Leader == "a" ? "b" : "a";
  Net.cut(Leader, WipedName);
  Net.wipe(WipedName);
  Net.run(5s);
  const Voter NewVoter = Net.voter(WipedName);
  const uint64_t EarlyRequest = Net.changeVoter(VoterChangeKind::Add, NewVoter);
  CHECK(errorOf(Net.Results.at(EarlyRequest)).Kind == ErrorKind::Conflict);
  Net.heal();
  Net.run(5s);
  const uint64_t LateRequest = Net.changeVoter(VoterChangeKind::Add, NewVoter);
  Net.run(1s);
  CHECK(isAccepted(Net, LateRequest));
  checkNoViolations(Net);
}

TEST_CASE("two voter changes at a time are refused") {
  // Guards against sets of voters with disjoint majorities.
  FakeNetwork Net(5, 19);
  REQUIRE(commitsProposal(Net, "x"));
  const uint64_t FirstRequest =
      Net.changeVoter(VoterChangeKind::Remove, Net.voter("a"));
  const uint64_t SecondRequest =
      Net.changeVoter(VoterChangeKind::Remove, Net.voter("b"));
  Net.run(2s);
  CHECK(isAccepted(Net, FirstRequest));
  CHECK(errorOf(Net.Results.at(SecondRequest)).Kind == ErrorKind::Conflict);
  const uint64_t UnknownVoterRequest =
      Net.changeVoter(VoterChangeKind::Add, {"z", 1});
  CHECK(errorOf(Net.Results.at(UnknownVoterRequest)).Kind ==
        ErrorKind::Conflict);
  checkNoViolations(Net);
}
