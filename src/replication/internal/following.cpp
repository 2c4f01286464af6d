#include "replication/internal/replicastep.h"

#include <algorithm>

namespace sapphiremoor::detail {

namespace {

void hearLeader(ReplicaStep &Step, const Voter &Leader) {
  ReplicaState &State = Step.State;
  if (State.Role != ReplicaRole::Follower && State.Role != ReplicaRole::Learner)
    stepDown(Step);
  State.Leader = Leader;
  State.LeaderHeard = Step.Now;
  resetElectionDeadline(Step);
}

void accept(ReplicaStep &Step, const Voter &Leader, uint64_t Match) {
  sendWhenDurable(Step, Leader,
                  AppendReply{headerTo(Step, Leader), true, Match, 0});
}

void refuse(ReplicaStep &Step, const Voter &Leader, uint64_t NextHint) {
  Step.emit(SendTo{Leader.Name,
                   AppendReply{headerTo(Step, Leader), false, 0, NextHint}});
}

/// Returns the index that the leader should send next after a mismatch at
/// \p Index: the first one of the mismatching term, to skip a term at a time.
uint64_t hintFor(const ReplicaState &State, uint64_t Index) {
  if (Index > lastIndex(State))
    return lastIndex(State) + 1;
  const uint64_t Term = termAt(State, Index);
  uint64_t First = Index;
  while (First - 1 > State.Hard.Commit && termAt(State, First - 1) == Term)
    --First;
  return First;
}

/// Takes over the entries that the log lacks. Entries that are there already
/// stay, so that a delayed request does not remove later ones. Returns false,
/// changing nothing, if a committed entry would be replaced: that happens only
/// if the first voters of the VMs differed.
bool storeEntries(ReplicaStep &Step, const AppendRequest &Request) {
  ReplicaState &State = Step.State;
  uint64_t Index = Request.PreviousIndex + 1;
  auto New = Request.Entries.begin();
  while (New != Request.Entries.end() && Index <= lastIndex(State) &&
         (Index <= State.Snapshot.Index || termAt(State, Index) == New->Term)) {
    ++New;
    ++Index;
  }
  if (New == Request.Entries.end())
    return true;
  if (Index <= State.Hard.Commit)
    return false;
  if (Index <= lastIndex(State))
    truncateLog(Step, Index);
  appendEntries(Step, std::vector<LogEntry>(New, Request.Entries.end()));
  return true;
}

} // namespace

void onAppendRequest(ReplicaStep &Step, const AppendRequest &Request) {
  ReplicaState &State = Step.State;
  const Voter &Leader = Request.Header.From;
  hearLeader(Step, Leader);
  if (State.Voters.empty())
    return refuse(Step, Leader, 0);
  const uint64_t Previous = Request.PreviousIndex;
  const bool Known = Previous <= State.Snapshot.Index ||
                     (Previous <= lastIndex(State) &&
                      termAt(State, Previous) == Request.PreviousTerm);
  if (!Known)
    return refuse(Step, Leader, hintFor(State, Previous));
  const uint64_t Match = Previous + Request.Entries.size();
  if (!storeEntries(Step, Request))
    return;
  accept(Step, Leader, Match);
  commitUpTo(Step, std::min(Request.Commit, Match));
}

void onSnapshotRequest(ReplicaStep &Step, const SnapshotRequest &Request) {
  ReplicaState &State = Step.State;
  const ReplicaSnapshot &Snapshot = Request.Snapshot;
  const Voter &Leader = Request.Header.From;
  hearLeader(Step, Leader);
  if (!State.Voters.empty() && Snapshot.Index <= State.Hard.Commit)
    return accept(Step, Leader, State.Hard.Commit);
  const bool Matches = Snapshot.Index > State.Snapshot.Index &&
                       Snapshot.Index <= lastIndex(State) &&
                       termAt(State, Snapshot.Index) == Snapshot.Term;
  State.Hard.Commit = Snapshot.Index;
  takeSnapshot(Step, Snapshot, !Matches);
  if (Snapshot.Index > 0)
    Step.emit(InstallSnapshot{Snapshot.Index, Snapshot.Bytes});
  accept(Step, Leader, Snapshot.Index);
  persistHardState(Step);
}

} // namespace sapphiremoor::detail
