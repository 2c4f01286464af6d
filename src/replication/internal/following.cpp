#include "replication/internal/replicastep.h"

#include <algorithm>

namespace sapphiremoor::detail {

namespace {

void recordLeaderContact(ReplicaStep &Step, const Voter &Leader) {
  ReplicaState &State = Step.State;
  if (State.Role != ReplicaRole::Follower && State.Role != ReplicaRole::Learner)
    stepDown(Step);
  State.Leader = Leader;
  State.LastLeaderContact = Step.Now;
  resetElectionDeadline(Step);
}

void acceptAppend(ReplicaStep &Step, const Voter &Leader, uint64_t MatchIndex) {
  sendWhenDurable(Step, Leader,
                  AppendReply{makeHeader(Step, Leader), true, MatchIndex, 0});
}

void refuseAppend(ReplicaStep &Step, const Voter &Leader,
                  uint64_t NextIndexHint) {
  Step.emit(SendReplicationMessage{
      Leader.Name,
      AppendReply{makeHeader(Step, Leader), false, 0, NextIndexHint}});
}

/// Returns the index that the leader should send next after a mismatch at
/// \p Index: the first index of the mismatching term, so that each refusal
/// skips a whole term.
uint64_t nextIndexHint(const ReplicaState &State, uint64_t Index) {
  if (Index > lastIndex(State))
    return lastIndex(State) + 1;
  const uint64_t Term = entryTerm(State, Index);
  uint64_t FirstIndex = Index;
  while (FirstIndex - 1 > State.Hard.CommitIndex &&
         entryTerm(State, FirstIndex - 1) == Term)
    --FirstIndex;
  return FirstIndex;
}

/// Appends the entries that the log lacks. Entries that the log already has
/// stay, so that a delayed request does not remove later ones. Returns false
/// and changes nothing if a committed entry would be replaced. That happens
/// only if VMs were started with different initial voters.
bool storeEntries(ReplicaStep &Step, const AppendRequest &Request) {
  ReplicaState &State = Step.State;
  uint64_t Index = Request.PreviousIndex + 1;
  auto EntryIt = Request.Entries.begin();
  while (EntryIt != Request.Entries.end() && Index <= lastIndex(State) &&
         (Index <= State.Snapshot.Index ||
          entryTerm(State, Index) == EntryIt->Term)) {
    ++EntryIt;
    ++Index;
  }
  if (EntryIt == Request.Entries.end())
    return true;
  if (Index <= State.Hard.CommitIndex)
    return false;
  if (Index <= lastIndex(State))
    truncateLog(Step, Index);
  appendEntries(Step, std::vector<LogEntry>(EntryIt, Request.Entries.end()));
  return true;
}

} // namespace

void onAppendRequest(ReplicaStep &Step, const AppendRequest &Request) {
  ReplicaState &State = Step.State;
  const Voter &Leader = Request.Header.From;
  recordLeaderContact(Step, Leader);
  if (State.Voters.empty())
    return refuseAppend(Step, Leader, 0);
  const uint64_t PreviousIndex = Request.PreviousIndex;
  const bool PreviousMatches =
      PreviousIndex <= State.Snapshot.Index ||
      (PreviousIndex <= lastIndex(State) &&
       entryTerm(State, PreviousIndex) == Request.PreviousTerm);
  if (!PreviousMatches)
    return refuseAppend(Step, Leader, nextIndexHint(State, PreviousIndex));
  const uint64_t MatchIndex = PreviousIndex + Request.Entries.size();
  if (!storeEntries(Step, Request))
    return;
  acceptAppend(Step, Leader, MatchIndex);
  commitEntries(Step, std::min(Request.CommitIndex, MatchIndex));
}

void onSnapshotRequest(ReplicaStep &Step, const SnapshotRequest &Request) {
  ReplicaState &State = Step.State;
  const ReplicaSnapshot &Snapshot = Request.Snapshot;
  const Voter &Leader = Request.Header.From;
  recordLeaderContact(Step, Leader);
  if (!State.Voters.empty() && Snapshot.Index <= State.Hard.CommitIndex)
    return acceptAppend(Step, Leader, State.Hard.CommitIndex);
  const bool SnapshotMatches =
      Snapshot.Index > State.Snapshot.Index &&
      Snapshot.Index <= lastIndex(State) &&
      entryTerm(State, Snapshot.Index) == Snapshot.Term;
  State.Hard.CommitIndex = Snapshot.Index;
  storeSnapshot(Step, Snapshot, !SnapshotMatches);
  if (Snapshot.Index > 0)
    Step.emit(InstallSnapshot{Snapshot.Index, Snapshot.Bytes});
  acceptAppend(Step, Leader, Snapshot.Index);
  persistHardState(Step);
}

} // namespace sapphiremoor::detail
