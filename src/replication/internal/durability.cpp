#include "replication/durability.h"
#include "replication/internal/replicastep.h"

#include "framework/codec/serial.h"

#include <algorithm>

namespace sapphiremoor {

namespace {

Error corruptFolderError(std::string Message) {
  return {ErrorKind::CorruptData, std::move(Message),
          "move the whole data folder away and start again; then exchange this "
          "voter with \"config voters replace\""};
}

template <typename T> Result<T> decodeRecord(const std::string &Bytes) {
  Result<T> Decoded = decode<T>(Bytes);
  if (isError(Decoded))
    return corruptFolderError("a record of the data folder cannot be decoded");
  return Decoded;
}

/// The decoded parts of a data folder.
struct StoredReplica {
  HardState Hard;
  ReplicaSnapshot Snapshot;
  uint64_t FirstIndex = 1;
  std::vector<LogEntry> Entries;
};

Result<std::vector<LogEntry>>
decodeEntries(const std::vector<std::string> &Records) {
  std::vector<LogEntry> Entries;
  Entries.reserve(Records.size());
  for (const std::string &Record : Records) {
    Result<LogEntry> Entry = decodeRecord<LogEntry>(Record);
    if (isError(Entry))
      return errorOf(Entry);
    Entries.push_back(takeValue(std::move(Entry)));
  }
  return Entries;
}

Result<StoredReplica> decodeFolder(const RecoveredFolder &Folder) {
  StoredReplica Stored;
  Stored.FirstIndex = Folder.FirstIndex;
  if (Folder.State) {
    Result<HardState> Hard = decodeRecord<HardState>(*Folder.State);
    if (isError(Hard))
      return errorOf(Hard);
    Stored.Hard = valueOf(Hard);
  }
  if (Folder.Snapshot) {
    auto Snapshot = decodeRecord<ReplicaSnapshot>(*Folder.Snapshot);
    if (isError(Snapshot))
      return errorOf(Snapshot);
    Stored.Snapshot = takeValue(std::move(Snapshot));
  }
  auto Entries = decodeEntries(Folder.Records);
  if (isError(Entries))
    return errorOf(Entries);
  Stored.Entries = takeValue(std::move(Entries));
  return Stored;
}

/// Removes the entries that the snapshot replaces. They remain if the process
/// stopped between writing the snapshot and shortening the log. Returns true if
/// the log on disk has to be shortened.
Result<bool> trimLogToSnapshot(StoredReplica &Stored, bool &DropAllEntries) {
  const uint64_t NextIndex = Stored.Snapshot.Index + 1;
  if (Stored.FirstIndex > NextIndex)
    return corruptFolderError(
        "log entries are missing after the snapshot in the data folder");
  if (Stored.FirstIndex == NextIndex)
    return false;
  const uint64_t CoveredCount = NextIndex - Stored.FirstIndex;
  DropAllEntries =
      CoveredCount > Stored.Entries.size() ||
      Stored.Entries[CoveredCount - 1].Term != Stored.Snapshot.Term;
  const std::size_t ReplacedCount =
      DropAllEntries ? Stored.Entries.size() : CoveredCount;
  Stored.Entries.erase(Stored.Entries.begin(),
                       Stored.Entries.begin() +
                           static_cast<std::ptrdiff_t>(ReplacedCount));
  return true;
}

/// Raises the stored term to that of the last entry. A process that stopped
/// between syncing the log and the hard state leaves entries of a newer term.
/// It acknowledged nothing in that term, so its vote is still free.
void raiseTerm(HardState &Hard, uint64_t Term) {
  if (Term <= Hard.Term)
    return;
  Hard.Term = Term;
  Hard.VotedFor = 0;
}

/// Persists the repaired parts and rebuilds the owner's state.
void emitRecoveryEffects(detail::ReplicaStep &Step, bool LogTrimmed,
                         bool DropAllEntries) {
  ReplicaState &State = Step.State;
  if (LogTrimmed)
    Step.emit(SaveSnapshot{++State.LastPersistNumber, State.Snapshot,
                           DropAllEntries});
  if (State.Snapshot.Index > 0)
    Step.emit(InstallSnapshot{State.Snapshot.Index, State.Snapshot.Bytes});
  const uint64_t CommitIndex = State.Hard.CommitIndex;
  State.Hard.CommitIndex = State.Snapshot.Index;
  detail::commitEntries(Step, CommitIndex);
}

Result<Done> restoreState(detail::ReplicaStep &Step, StoredReplica Stored) {
  ReplicaState &State = Step.State;
  bool DropAllEntries = false;
  Result<bool> LogTrimmed = trimLogToSnapshot(Stored, DropAllEntries);
  if (isError(LogTrimmed))
    return errorOf(LogTrimmed);
  State.Hard = Stored.Hard;
  State.Snapshot = std::move(Stored.Snapshot);
  State.Log = std::move(Stored.Entries);
  State.Hard.CommitIndex =
      std::max(State.Hard.CommitIndex, State.Snapshot.Index);
  if (State.Hard.CommitIndex > lastIndex(State))
    return corruptFolderError("a committed entry is missing at the end of the "
                              "log in the data folder");
  raiseTerm(State.Hard, detail::entryTerm(State, lastIndex(State)));
  detail::refreshVoters(State);
  emitRecoveryEffects(Step, valueOf(LogTrimmed), DropAllEntries);
  return Done{};
}

} // namespace

std::optional<StorageRequest> toStorageRequest(const ReplicaEffect &Effect) {
  if (const auto *Persist = std::get_if<PersistEntries>(&Effect)) {
    AppendRecords Records{Persist->FirstIndex, {}};
    std::ranges::transform(Persist->Entries,
                           std::back_inserter(Records.Records),
                           encode<LogEntry>);
    return StorageRequest{Persist->Number, std::move(Records)};
  }
  if (const auto *Vote = std::get_if<PersistHardState>(&Effect))
    return StorageRequest{Vote->Number, ReplaceState{encode(Vote->State)}};
  if (const auto *Truncate = std::get_if<TruncateLog>(&Effect))
    return StorageRequest{Truncate->Number, TruncateRecords{Truncate->Index}};
  if (const auto *Save = std::get_if<SaveSnapshot>(&Effect))
    return StorageRequest{Save->Number,
                          ReplaceSnapshot{encode(Save->Snapshot),
                                          Save->Snapshot.Index + 1,
                                          Save->DropAllEntries}};
  return std::nullopt;
}

ReplicaEvent toReplicaEvent(const StorageReply &Reply) {
  if (isError(Reply.Outcome))
    return StorageLost{};
  return PersistCompleted{Reply.Number};
}

Result<RecoveredReplica> recoverReplica(ReplicaConfig Config,
                                        const RecoveredFolder &Folder,
                                        Instant Now, Random &Rng) {
  Config.Self.Identity = Folder.Identity;
  Result<StoredReplica> Stored = decodeFolder(Folder);
  if (isError(Stored))
    return errorOf(Stored);
  RecoveredReplica Recovered;
  Recovered.State.Config = std::move(Config);
  detail::ReplicaStep Step{Recovered.State, Now, Rng, {}};
  detail::resetElectionDeadline(Step);
  const bool HasStoredState = Folder.Snapshot || Folder.State;
  if (!Folder.Snapshot && !Folder.Records.empty())
    return corruptFolderError(
        "the data folder has log entries but no snapshot");
  if (!HasStoredState && !Recovered.State.Config.InitialVoters.empty())
    detail::storeSnapshot(
        Step, {0, 0, Recovered.State.Config.InitialVoters, {}}, true);
  else if (Result<Done> Outcome =
               restoreState(Step, takeValue(std::move(Stored)));
           isError(Outcome))
    return errorOf(Outcome);
  Recovered.Effects = std::move(Step.Effects);
  return Recovered;
}

} // namespace sapphiremoor
