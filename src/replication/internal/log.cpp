#include "replication/internal/replicastep.h"

#include <algorithm>

namespace sapphiremoor {

uint64_t lastIndex(const ReplicaState &State) {
  return State.Snapshot.Index + State.Log.size();
}

bool isVoter(const ReplicaState &State) {
  return std::ranges::find(State.Voters, State.Config.Self) !=
         State.Voters.end();
}

bool wantsSnapshot(const ReplicaState &State) {
  return State.Hard.Commit >= State.Snapshot.Index + State.Config.SnapshotEvery;
}

namespace detail {

namespace {

std::size_t positionOf(const ReplicaState &State, uint64_t Index) {
  return static_cast<std::size_t>(Index - State.Snapshot.Index - 1);
}

void applyEntry(ReplicaStep &Step, uint64_t Index) {
  ReplicaState &State = Step.State;
  const LogEntry &Entry = State.Log[positionOf(State, Index)];
  if (Entry.Kind == EntryKind::Command)
    Step.emit(Apply{Index, Entry.Bytes});
  const auto Own = State.Proposals.find(Index);
  if (Own == State.Proposals.end())
    return;
  Step.emit(ProposeResult{Own->second, Index});
  State.Proposals.erase(Own);
}

} // namespace

uint64_t termAt(const ReplicaState &State, uint64_t Index) {
  if (Index == State.Snapshot.Index)
    return State.Snapshot.Term;
  return State.Log[positionOf(State, Index)].Term;
}

std::pair<std::vector<Voter>, uint64_t> votersAt(const ReplicaState &State,
                                                 uint64_t Index) {
  for (uint64_t I = Index; I > State.Snapshot.Index; --I) {
    const LogEntry &Entry = State.Log[positionOf(State, I)];
    if (Entry.Kind == EntryKind::Voters)
      return {Entry.Voters, I};
  }
  return {State.Snapshot.Voters, State.Snapshot.Index};
}

void refreshVoters(ReplicaState &State) {
  std::tie(State.Voters, State.VotersIndex) = votersAt(State, lastIndex(State));
  if (State.Role == ReplicaRole::Learner || State.Role == ReplicaRole::Follower)
    State.Role = isVoter(State) ? ReplicaRole::Follower : ReplicaRole::Learner;
}

void appendEntries(ReplicaStep &Step, std::vector<LogEntry> Entries) {
  ReplicaState &State = Step.State;
  const uint64_t First = lastIndex(State) + 1;
  const bool NewVoters = std::ranges::find(Entries, EntryKind::Voters,
                                           &LogEntry::Kind) != Entries.end();
  State.Log.insert(State.Log.end(), Entries.begin(), Entries.end());
  if (NewVoters)
    refreshVoters(State);
  Step.emit(PersistEntries{++State.LastPersist, First, std::move(Entries)});
}

void truncateLog(ReplicaStep &Step, uint64_t Index) {
  ReplicaState &State = Step.State;
  State.Log.resize(positionOf(State, Index));
  if (State.VotersIndex >= Index)
    refreshVoters(State);
  Step.emit(TruncateFrom{++State.LastPersist, Index});
}

void takeSnapshot(ReplicaStep &Step, ReplicaSnapshot Snapshot, bool KeepNone) {
  ReplicaState &State = Step.State;
  const std::size_t Replaced =
      KeepNone ? State.Log.size() : positionOf(State, Snapshot.Index) + 1;
  State.Log.erase(State.Log.begin(),
                  State.Log.begin() + static_cast<std::ptrdiff_t>(Replaced));
  State.Snapshot = std::move(Snapshot);
  refreshVoters(State);
  Step.emit(SaveSnapshot{++State.LastPersist, State.Snapshot, KeepNone});
}

void commitUpTo(ReplicaStep &Step, uint64_t Index) {
  ReplicaState &State = Step.State;
  if (Index <= State.Hard.Commit)
    return;
  for (uint64_t I = State.Hard.Commit + 1; I <= Index; ++I)
    applyEntry(Step, I);
  State.Hard.Commit = Index;
  persistHardState(Step);
  // A leader that removed itself leads until the removal is committed.
  const bool Removed = State.VotersIndex <= Index && !isVoter(State);
  if (State.Role == ReplicaRole::Leader && Removed)
    stepDown(Step);
}

void persistHardState(ReplicaStep &Step) {
  Step.emit(PersistVote{++Step.State.LastPersist, Step.State.Hard});
}

} // namespace detail

} // namespace sapphiremoor
