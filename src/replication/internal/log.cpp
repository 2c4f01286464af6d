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

bool needsSnapshot(const ReplicaState &State) {
  return State.Hard.CommitIndex >=
         State.Snapshot.Index + State.Config.SnapshotInterval;
}

namespace detail {

namespace {

std::size_t logPosition(const ReplicaState &State, uint64_t Index) {
  return static_cast<std::size_t>(Index - State.Snapshot.Index - 1);
}

void applyEntry(ReplicaStep &Step, uint64_t Index) {
  ReplicaState &State = Step.State;
  const LogEntry &Entry = State.Log[logPosition(State, Index)];
  if (Entry.Kind == EntryKind::Command)
    Step.emit(ApplyCommand{Index, Entry.Bytes});
  const auto ProposalIt = State.Proposals.find(Index);
  if (ProposalIt == State.Proposals.end())
    return;
  Step.emit(ProposeResult{ProposalIt->second, Index});
  State.Proposals.erase(ProposalIt);
}

} // namespace

uint64_t entryTerm(const ReplicaState &State, uint64_t Index) {
  if (Index == State.Snapshot.Index)
    return State.Snapshot.Term;
  return State.Log[logPosition(State, Index)].Term;
}

std::pair<std::vector<Voter>, uint64_t> findVoters(const ReplicaState &State,
                                                   uint64_t Index) {
  for (uint64_t I = Index; I > State.Snapshot.Index; --I) {
    const LogEntry &Entry = State.Log[logPosition(State, I)];
    if (Entry.Kind == EntryKind::Voters)
      return {Entry.Voters, I};
  }
  return {State.Snapshot.Voters, State.Snapshot.Index};
}

void refreshVoters(ReplicaState &State) {
  std::tie(State.Voters, State.VotersIndex) =
      findVoters(State, lastIndex(State));
  if (State.Role == ReplicaRole::Learner || State.Role == ReplicaRole::Follower)
    State.Role = isVoter(State) ? ReplicaRole::Follower : ReplicaRole::Learner;
}

void appendEntries(ReplicaStep &Step, std::vector<LogEntry> Entries) {
  ReplicaState &State = Step.State;
  const uint64_t FirstIndex = lastIndex(State) + 1;
  const bool HasNewVoters = std::ranges::find(Entries, EntryKind::Voters,
                                              &LogEntry::Kind) != Entries.end();
  State.Log.insert(State.Log.end(), Entries.begin(), Entries.end());
  if (HasNewVoters)
    refreshVoters(State);
  Step.emit(PersistEntries{++State.LastPersistNumber, FirstIndex,
                           std::move(Entries)});
}

void truncateLog(ReplicaStep &Step, uint64_t Index) {
  ReplicaState &State = Step.State;
  State.Log.resize(logPosition(State, Index));
  if (State.VotersIndex >= Index)
    refreshVoters(State);
  Step.emit(TruncateLog{++State.LastPersistNumber, Index});
}

void storeSnapshot(ReplicaStep &Step, ReplicaSnapshot Snapshot,
                   bool DropAllEntries) {
  ReplicaState &State = Step.State;
  const std::size_t ReplacedCount =
      DropAllEntries ? State.Log.size()
                     : logPosition(State, Snapshot.Index) + 1;
  State.Log.erase(State.Log.begin(),
                  State.Log.begin() +
                      static_cast<std::ptrdiff_t>(ReplacedCount));
  State.Snapshot = std::move(Snapshot);
  refreshVoters(State);
  Step.emit(
      SaveSnapshot{++State.LastPersistNumber, State.Snapshot, DropAllEntries});
}

void commitEntries(ReplicaStep &Step, uint64_t Index) {
  ReplicaState &State = Step.State;
  if (Index <= State.Hard.CommitIndex)
    return;
  for (uint64_t I = State.Hard.CommitIndex + 1; I <= Index; ++I)
    applyEntry(Step, I);
  State.Hard.CommitIndex = Index;
  persistHardState(Step);
  // A leader that removed itself leads until the removal is committed.
  const bool Removed = State.VotersIndex <= Index && !isVoter(State);
  if (State.Role == ReplicaRole::Leader && Removed)
    stepDown(Step);
}

void persistHardState(ReplicaStep &Step) {
  Step.emit(PersistHardState{++Step.State.LastPersistNumber, Step.State.Hard});
}

} // namespace detail

} // namespace sapphiremoor
