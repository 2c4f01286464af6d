#include "replication/internal/replicastep.h"

#include <algorithm>
#include <optional>

namespace sapphiremoor::detail {

namespace {

Error notLeader(const ReplicaState &State) {
  if (State.Role == ReplicaRole::Lost)
    return {ErrorKind::StorageFailure, "this VM's data folder has failed",
            "send the change to another VM and replace this VM's disk"};
  if (State.Leader && *State.Leader != State.Config.Self)
    return {ErrorKind::NotLeader, State.Leader->Name + " leads, not this VM",
            "send the change to " + State.Leader->Name};
  return {ErrorKind::NotLeader, "no leader is known",
          "try again in a few seconds; if this lasts, check that a majority of "
          "the voters is reachable"};
}

void refuse(ReplicaStep &Step, uint64_t RequestNumber, Error Err) {
  Step.emit(ProposeResult{RequestNumber, std::move(Err)});
}

bool contains(const std::vector<Voter> &Voters, const Voter &Sought) {
  return std::ranges::find(Voters, Sought) != Voters.end();
}

/// Voters change one at a time: two sets that differ by one voter have no
/// disjoint majorities, provided that the first entry of this term is committed
/// (otherwise an unfinished change of an earlier leader could still count).
std::optional<Error> voterChangeError(const ReplicaState &State,
                                      const ProposeVoterChange &Request) {
  const uint64_t Commit = State.Hard.Commit;
  if (State.VotersIndex > Commit || termAt(State, Commit) != State.Hard.Term)
    return Error{ErrorKind::Conflict, "another voter change is in progress",
                 "try again in a few seconds"};
  if (Request.Kind == VoterChangeKind::Remove)
    return State.Voters.size() > 1
               ? std::nullopt
               : std::optional(Error{ErrorKind::Impossible,
                                     "the last voter cannot be removed",
                                     "add another voter first"});
  const auto Learner = State.Followers.find(Request.Changed);
  if (Learner == State.Followers.end() || Learner->second.Match < Commit)
    return Error{ErrorKind::Conflict,
                 Request.Changed.Name + " has not caught up",
                 "start it with its data folder, wait and try again"};
  return std::nullopt;
}

} // namespace

void appendOwn(ReplicaStep &Step, LogEntry Entry) {
  std::vector<LogEntry> Entries;
  Entries.push_back(std::move(Entry));
  appendEntries(Step, std::move(Entries));
  const MessageHeader Header = headerTo(Step, Step.self());
  sendWhenDurable(Step, Step.self(),
                  AppendReply{Header, true, lastIndex(Step.State), 0});
}

void onPropose(ReplicaStep &Step, const Propose &Request) {
  ReplicaState &State = Step.State;
  if (State.Role != ReplicaRole::Leader)
    return refuse(Step, Request.RequestNumber, notLeader(State));
  if (Request.Bytes.size() > LargestProposal)
    return refuse(Step, Request.RequestNumber,
                  {ErrorKind::TooLarge, "the change is larger than 4 MB",
                   "split it into smaller changes"});
  State.Proposals[lastIndex(State) + 1] = Request.RequestNumber;
  appendOwn(Step, {State.Hard.Term, EntryKind::Command, Request.Bytes, {}});
}

void onProposeVoterChange(ReplicaStep &Step,
                          const ProposeVoterChange &Request) {
  ReplicaState &State = Step.State;
  if (State.Role != ReplicaRole::Leader)
    return refuse(Step, Request.RequestNumber, notLeader(State));
  const bool Add = Request.Kind == VoterChangeKind::Add;
  if (contains(State.Voters, Request.Changed) == Add &&
      State.VotersIndex <= State.Hard.Commit)
    return Step.emit(ProposeResult{Request.RequestNumber, State.VotersIndex});
  if (std::optional<Error> Err = voterChangeError(State, Request))
    return refuse(Step, Request.RequestNumber, std::move(*Err));
  std::vector<Voter> Voters = State.Voters;
  if (Add)
    Voters.push_back(Request.Changed);
  else
    std::erase(Voters, Request.Changed);
  State.Proposals[lastIndex(State) + 1] = Request.RequestNumber;
  appendOwn(Step, {State.Hard.Term, EntryKind::Voters, {}, std::move(Voters)});
}

} // namespace sapphiremoor::detail
