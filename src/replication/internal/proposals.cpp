#include "replication/internal/replicastep.h"

#include <algorithm>
#include <optional>

namespace sapphiremoor::detail {

namespace {

Error notLeaderError(const ReplicaState &State) {
  if (State.Role == ReplicaRole::Lost)
    return {ErrorKind::StorageFailure, "the data folder of this VM has failed",
            "send the change to another VM and replace this VM's disk"};
  if (State.Leader && *State.Leader != State.Config.Self)
    return {ErrorKind::NotLeader,
            State.Leader->Name + " is the leader, not this VM",
            "send the change to " + State.Leader->Name};
  return {ErrorKind::NotLeader, "no leader is known",
          "try again in a few seconds; if this lasts, check that a majority of "
          "the voters is reachable"};
}

void refuseProposal(ReplicaStep &Step, uint64_t RequestNumber, Error Err) {
  Step.emit(ProposeResult{RequestNumber, std::move(Err)});
}

bool contains(const std::vector<Voter> &Voters, const Voter &Replica) {
  return std::ranges::find(Voters, Replica) != Voters.end();
}

/// Checks whether a voter change is allowed. Voters change one at a time: two
/// sets that differ by one voter have no disjoint majorities, provided that the
/// first entry of this term is committed. Without that, an unfinished change of
/// an earlier leader could still take effect.
std::optional<Error> checkVoterChange(const ReplicaState &State,
                                      const ProposeVoterChange &Request) {
  const uint64_t CommitIndex = State.Hard.CommitIndex;
  if (State.VotersIndex > CommitIndex ||
      entryTerm(State, CommitIndex) != State.Hard.Term)
    return Error{ErrorKind::Conflict, "another voter change is in progress",
                 "try again in a few seconds"};
  if (Request.Kind == VoterChangeKind::Remove)
    return State.Voters.size() > 1
               ? std::nullopt
               : std::optional(Error{ErrorKind::Impossible,
                                     "the last voter cannot be removed",
                                     "add another voter first"});
  const auto LearnerIt = State.Followers.find(Request.ChangedVoter);
  if (LearnerIt == State.Followers.end() ||
      LearnerIt->second.MatchIndex < CommitIndex)
    return Error{ErrorKind::Conflict,
                 Request.ChangedVoter.Name +
                     " has not caught up with the log of the leader",
                 "start it with its data folder, wait and try again"};
  return std::nullopt;
}

} // namespace

void appendLeaderEntry(ReplicaStep &Step, LogEntry Entry) {
  std::vector<LogEntry> Entries;
  Entries.push_back(std::move(Entry));
  appendEntries(Step, std::move(Entries));
  const MessageHeader Header = makeHeader(Step, Step.self());
  sendWhenDurable(Step, Step.self(),
                  AppendReply{Header, true, lastIndex(Step.State), 0});
}

void onProposeCommand(ReplicaStep &Step, const ProposeCommand &Request) {
  ReplicaState &State = Step.State;
  if (State.Role != ReplicaRole::Leader)
    return refuseProposal(Step, Request.RequestNumber, notLeaderError(State));
  if (Request.Bytes.size() > MaxProposalBytes)
    return refuseProposal(Step, Request.RequestNumber,
                          {ErrorKind::TooLarge,
                           "the change is larger than 4 MB",
                           "split it into smaller changes"});
  State.Proposals[lastIndex(State) + 1] = Request.RequestNumber;
  appendLeaderEntry(Step,
                    {State.Hard.Term, EntryKind::Command, Request.Bytes, {}});
}

void onProposeVoterChange(ReplicaStep &Step,
                          const ProposeVoterChange &Request) {
  ReplicaState &State = Step.State;
  if (State.Role != ReplicaRole::Leader)
    return refuseProposal(Step, Request.RequestNumber, notLeaderError(State));
  const bool IsAddition = Request.Kind == VoterChangeKind::Add;
  if (contains(State.Voters, Request.ChangedVoter) == IsAddition &&
      State.VotersIndex <= State.Hard.CommitIndex)
    return Step.emit(ProposeResult{Request.RequestNumber, State.VotersIndex});
  if (std::optional<Error> Err = checkVoterChange(State, Request))
    return refuseProposal(Step, Request.RequestNumber, std::move(*Err));
  std::vector<Voter> Voters = State.Voters;
  if (IsAddition)
    Voters.push_back(Request.ChangedVoter);
  else
    std::erase(Voters, Request.ChangedVoter);
  State.Proposals[lastIndex(State) + 1] = Request.RequestNumber;
  appendLeaderEntry(
      Step, {State.Hard.Term, EntryKind::Voters, {}, std::move(Voters)});
}

} // namespace sapphiremoor::detail
