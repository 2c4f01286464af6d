#include "replication/internal/replicastep.h"

#include <algorithm>
#include <random>

namespace sapphiremoor::detail {

namespace {

bool hasVoteMajority(const ReplicaState &State) {
  const auto GrantedCount =
      std::ranges::count_if(State.Voters, [&State](const Voter &Replica) {
        return State.GrantedVotes.contains(Replica);
      });
  return static_cast<std::size_t>(GrantedCount) * 2 > State.Voters.size();
}

bool isLogUpToDate(const ReplicaState &State, uint64_t LastTerm,
                   uint64_t LastIndex) {
  const uint64_t OwnIndex = lastIndex(State);
  return std::pair(LastTerm, LastIndex) >=
         std::pair(entryTerm(State, OwnIndex), OwnIndex);
}

void startElection(ReplicaStep &Step) {
  ReplicaState &State = Step.State;
  State.Role = ReplicaRole::Candidate;
  State.GrantedVotes.clear();
  ++State.Hard.Term;
  State.Hard.VotedFor = Step.self().Identity;
  persistHardState(Step);
  const uint64_t LastIndex = lastIndex(State);
  const uint64_t LastTerm = entryTerm(State, LastIndex);
  const std::vector<Voter> Voters = State.Voters;
  for (const Voter &Replica : Voters) {
    const MessageHeader Header = makeHeader(Step, Replica);
    if (Replica == Step.self())
      sendWhenDurable(Step, Replica, VoteReply{Header, true});
    else
      sendWhenDurable(Step, Replica, VoteRequest{Header, LastIndex, LastTerm});
  }
}

void startPreVote(ReplicaStep &Step) {
  ReplicaState &State = Step.State;
  State.Role = ReplicaRole::PreCandidate;
  State.Leader.reset();
  State.GrantedVotes = {Step.self()};
  if (hasVoteMajority(State))
    return startElection(Step);
  const uint64_t LastIndex = lastIndex(State);
  for (const Voter &Replica : State.Voters)
    if (Replica != Step.self())
      Step.emit(SendReplicationMessage{
          Replica.Name,
          PreVoteRequest{makeHeader(Step, Replica), State.Hard.Term + 1,
                         LastIndex, entryTerm(State, LastIndex)}});
}

void askToJoin(ReplicaStep &Step) {
  std::set<std::string> Names(Step.State.Config.Peers.begin(),
                              Step.State.Config.Peers.end());
  for (const Voter &Replica : Step.State.Voters)
    Names.insert(Replica.Name);
  Names.erase(Step.self().Name);
  const MessageHeader Header{Step.self(), 0, Step.State.Hard.Term};
  for (const std::string &Name : Names)
    Step.emit(SendReplicationMessage{Name, JoinRequest{Header}});
}

} // namespace

void resetElectionDeadline(ReplicaStep &Step) {
  const ReplicaConfig &Config = Step.State.Config;
  std::uniform_int_distribution<Duration::rep> Timeout(
      Config.MinElectionTimeout.count(), Config.MaxElectionTimeout.count());
  Step.State.ElectionDeadline = Step.Now + Duration(Timeout(Step.Rng));
}

void stepDown(ReplicaStep &Step) {
  ReplicaState &State = Step.State;
  const bool WasLeader = State.Role == ReplicaRole::Leader;
  State.Role = isVoter(State) ? ReplicaRole::Follower : ReplicaRole::Learner;
  State.GrantedVotes.clear();
  State.Followers.clear();
  if (WasLeader) {
    State.Leader.reset();
    resetElectionDeadline(Step);
  }
  for (const auto &[Index, RequestNumber] : State.Proposals)
    Step.emit(ProposeResult{
        RequestNumber,
        Error{ErrorKind::Timeout,
              "leadership was lost before the change was committed; its "
              "outcome is unknown",
              "send it again with the same request id"}});
  State.Proposals.clear();
}

void adoptTerm(ReplicaStep &Step, uint64_t Term) {
  stepDown(Step);
  Step.State.Leader.reset();
  Step.State.Hard.Term = Term;
  Step.State.Hard.VotedFor = 0;
  persistHardState(Step);
}

bool isLeaderAlive(const ReplicaStep &Step) {
  const ReplicaState &State = Step.State;
  if (State.Role == ReplicaRole::Leader)
    return true;
  return State.LastLeaderContact &&
         Step.Now - *State.LastLeaderContact < State.Config.MinElectionTimeout;
}

void onElectionTimeout(ReplicaStep &Step) {
  resetElectionDeadline(Step);
  if (isVoter(Step.State))
    startPreVote(Step);
  else
    askToJoin(Step);
}

void onPreVoteRequest(ReplicaStep &Step, const PreVoteRequest &Request) {
  const ReplicaState &State = Step.State;
  const bool Granted =
      !State.Voters.empty() && !isLeaderAlive(Step) &&
      Request.NextTerm > State.Hard.Term &&
      isLogUpToDate(State, Request.LastTerm, Request.LastIndex);
  const Voter &Receiver = Request.Header.From;
  Step.emit(SendReplicationMessage{
      Receiver.Name,
      PreVoteReply{makeHeader(Step, Receiver), Request.NextTerm, Granted}});
}

void onPreVoteReply(ReplicaStep &Step, const PreVoteReply &Reply) {
  ReplicaState &State = Step.State;
  if (State.Role != ReplicaRole::PreCandidate || !Reply.Granted ||
      Reply.NextTerm != State.Hard.Term + 1)
    return;
  State.GrantedVotes.insert(Reply.Header.From);
  if (hasVoteMajority(State))
    startElection(Step);
}

void onVoteRequest(ReplicaStep &Step, const VoteRequest &Request) {
  ReplicaState &State = Step.State;
  const Voter &Receiver = Request.Header.From;
  const bool CanVote =
      State.Hard.VotedFor == 0 || State.Hard.VotedFor == Receiver.Identity;
  const bool Granted =
      CanVote && !State.Voters.empty() &&
      isLogUpToDate(State, Request.LastTerm, Request.LastIndex);
  if (Granted && State.Hard.VotedFor == 0) {
    State.Hard.VotedFor = Receiver.Identity;
    persistHardState(Step);
  }
  if (Granted) {
    stepDown(Step);
    resetElectionDeadline(Step);
  }
  sendWhenDurable(Step, Receiver,
                  VoteReply{makeHeader(Step, Receiver), Granted});
}

void onVoteReply(ReplicaStep &Step, const VoteReply &Reply) {
  ReplicaState &State = Step.State;
  if (State.Role != ReplicaRole::Candidate || !Reply.Granted)
    return;
  State.GrantedVotes.insert(Reply.Header.From);
  if (hasVoteMajority(State))
    becomeLeader(Step);
}

} // namespace sapphiremoor::detail
