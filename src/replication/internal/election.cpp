#include "replication/internal/replicastep.h"

#include <algorithm>
#include <random>

namespace sapphiremoor::detail {

namespace {

bool grantedByMajority(const ReplicaState &State) {
  const auto Granted =
      std::ranges::count_if(State.Voters, [&State](const Voter &Each) {
        return State.Grants.contains(Each);
      });
  return static_cast<std::size_t>(Granted) * 2 > State.Voters.size();
}

bool logIsUpToDate(const ReplicaState &State, uint64_t LastTerm,
                   uint64_t LastIndex) {
  const uint64_t OwnIndex = lastIndex(State);
  return std::pair(LastTerm, LastIndex) >=
         std::pair(termAt(State, OwnIndex), OwnIndex);
}

void startElection(ReplicaStep &Step) {
  ReplicaState &State = Step.State;
  State.Role = ReplicaRole::Candidate;
  State.Grants.clear();
  ++State.Hard.Term;
  State.Hard.VotedFor = Step.self().Identity;
  persistHardState(Step);
  const uint64_t Last = lastIndex(State);
  const uint64_t LastTerm = termAt(State, Last);
  const std::vector<Voter> Voters = State.Voters;
  for (const Voter &Each : Voters) {
    const MessageHeader Header = headerTo(Step, Each);
    if (Each == Step.self())
      sendWhenDurable(Step, Each, VoteReply{Header, true});
    else
      sendWhenDurable(Step, Each, VoteRequest{Header, Last, LastTerm});
  }
}

void startPreVote(ReplicaStep &Step) {
  ReplicaState &State = Step.State;
  State.Role = ReplicaRole::PreCandidate;
  State.Leader.reset();
  State.Grants = {Step.self()};
  if (grantedByMajority(State))
    return startElection(Step);
  const uint64_t Last = lastIndex(State);
  for (const Voter &Each : State.Voters)
    if (Each != Step.self())
      Step.emit(SendTo{Each.Name,
                       PreVoteRequest{headerTo(Step, Each), State.Hard.Term + 1,
                                      Last, termAt(State, Last)}});
}

void askToJoin(ReplicaStep &Step) {
  std::set<std::string> Names(Step.State.Config.Peers.begin(),
                              Step.State.Config.Peers.end());
  for (const Voter &Each : Step.State.Voters)
    Names.insert(Each.Name);
  Names.erase(Step.self().Name);
  const MessageHeader Header{Step.self(), 0, Step.State.Hard.Term};
  for (const std::string &Name : Names)
    Step.emit(SendTo{Name, JoinRequest{Header}});
}

} // namespace

void resetElectionDeadline(ReplicaStep &Step) {
  const ReplicaConfig &Config = Step.State.Config;
  std::uniform_int_distribution<Duration::rep> Timeout(
      Config.ShortestElection.count(), Config.LongestElection.count());
  Step.State.ElectionDeadline = Step.Now + Duration(Timeout(Step.Rng));
}

void stepDown(ReplicaStep &Step) {
  ReplicaState &State = Step.State;
  const bool Led = State.Role == ReplicaRole::Leader;
  State.Role = isVoter(State) ? ReplicaRole::Follower : ReplicaRole::Learner;
  State.Grants.clear();
  State.Followers.clear();
  if (Led) {
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

bool leaderIsAlive(const ReplicaStep &Step) {
  const ReplicaState &State = Step.State;
  if (State.Role == ReplicaRole::Leader)
    return true;
  return State.LeaderHeard &&
         Step.Now - *State.LeaderHeard < State.Config.ShortestElection;
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
      !State.Voters.empty() && !leaderIsAlive(Step) &&
      Request.NextTerm > State.Hard.Term &&
      logIsUpToDate(State, Request.LastTerm, Request.LastIndex);
  const Voter &To = Request.Header.From;
  Step.emit(SendTo{
      To.Name, PreVoteReply{headerTo(Step, To), Request.NextTerm, Granted}});
}

void onPreVoteReply(ReplicaStep &Step, const PreVoteReply &Reply) {
  ReplicaState &State = Step.State;
  if (State.Role != ReplicaRole::PreCandidate || !Reply.Granted ||
      Reply.NextTerm != State.Hard.Term + 1)
    return;
  State.Grants.insert(Reply.Header.From);
  if (grantedByMajority(State))
    startElection(Step);
}

void onVoteRequest(ReplicaStep &Step, const VoteRequest &Request) {
  ReplicaState &State = Step.State;
  const Voter &To = Request.Header.From;
  const bool Free =
      State.Hard.VotedFor == 0 || State.Hard.VotedFor == To.Identity;
  const bool Granted =
      Free && !State.Voters.empty() &&
      logIsUpToDate(State, Request.LastTerm, Request.LastIndex);
  if (Granted && State.Hard.VotedFor == 0) {
    State.Hard.VotedFor = To.Identity;
    persistHardState(Step);
  }
  if (Granted) {
    stepDown(Step);
    resetElectionDeadline(Step);
  }
  sendWhenDurable(Step, To, VoteReply{headerTo(Step, To), Granted});
}

void onVoteReply(ReplicaStep &Step, const VoteReply &Reply) {
  ReplicaState &State = Step.State;
  if (State.Role != ReplicaRole::Candidate || !Reply.Granted)
    return;
  State.Grants.insert(Reply.Header.From);
  if (grantedByMajority(State))
    becomeLeader(Step);
}

} // namespace sapphiremoor::detail
