#include "replication/durability.h"
#include "replication/internal/replicastep.h"

#include "framework/codec/serial.h"

#include <algorithm>

namespace sapphiremoor {

namespace {

Error corruptFolder(std::string Why) {
  return {ErrorKind::CorruptData, std::move(Why),
          "move the whole data folder away and start again; then exchange this "
          "voter with \"config voters replace\""};
}

template <typename T> Result<T> decodeRecord(const std::string &Bytes) {
  Result<T> Decoded = decode<T>(Bytes);
  if (isError(Decoded))
    return corruptFolder("a record of the data folder cannot be decoded");
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

/// Removes the entries that the snapshot replaces. A stop between the writes of
/// the snapshot and of the shortened log leaves them there. Returns true if the
/// log has to be shortened.
Result<bool> fitLogToSnapshot(StoredReplica &Stored, bool &KeepNone) {
  const uint64_t Next = Stored.Snapshot.Index + 1;
  if (Stored.FirstIndex > Next)
    return corruptFolder("entries are missing between snapshot and log");
  if (Stored.FirstIndex == Next)
    return false;
  const uint64_t Covered = Next - Stored.FirstIndex;
  KeepNone = Covered > Stored.Entries.size() ||
             Stored.Entries[Covered - 1].Term != Stored.Snapshot.Term;
  const std::size_t Replaced = KeepNone ? Stored.Entries.size() : Covered;
  Stored.Entries.erase(Stored.Entries.begin(),
                       Stored.Entries.begin() +
                           static_cast<std::ptrdiff_t>(Replaced));
  return true;
}

/// A stop between the syncs of the log and of the hard state leaves entries of
/// a newer term. Nothing was acknowledged in it, so its vote is free.
void raiseTerm(HardState &Hard, uint64_t Term) {
  if (Term <= Hard.Term)
    return;
  Hard.Term = Term;
  Hard.VotedFor = 0;
}

/// Persists what was repaired, and rebuilds the owner's state.
void emitRecovery(detail::ReplicaStep &Step, bool Shorten, bool KeepNone) {
  ReplicaState &State = Step.State;
  if (Shorten)
    Step.emit(SaveSnapshot{++State.LastPersist, State.Snapshot, KeepNone});
  if (State.Snapshot.Index > 0)
    Step.emit(InstallSnapshot{State.Snapshot.Index, State.Snapshot.Bytes});
  const uint64_t Commit = State.Hard.Commit;
  State.Hard.Commit = State.Snapshot.Index;
  detail::commitUpTo(Step, Commit);
}

Result<Done> restore(detail::ReplicaStep &Step, StoredReplica Stored) {
  ReplicaState &State = Step.State;
  bool KeepNone = false;
  Result<bool> Shorten = fitLogToSnapshot(Stored, KeepNone);
  if (isError(Shorten))
    return errorOf(Shorten);
  State.Hard = Stored.Hard;
  State.Snapshot = std::move(Stored.Snapshot);
  State.Log = std::move(Stored.Entries);
  State.Hard.Commit = std::max(State.Hard.Commit, State.Snapshot.Index);
  if (State.Hard.Commit > lastIndex(State))
    return corruptFolder("a committed entry is missing at the end of the log");
  raiseTerm(State.Hard, detail::termAt(State, lastIndex(State)));
  detail::refreshVoters(State);
  emitRecovery(Step, valueOf(Shorten), KeepNone);
  return Done{};
}

} // namespace

std::optional<StorageRequest> storageRequestFor(const ReplicaEffect &Effect) {
  if (const auto *Append = std::get_if<PersistEntries>(&Effect)) {
    AppendRecords Records{Append->FirstIndex, {}};
    std::ranges::transform(Append->Entries, std::back_inserter(Records.Records),
                           encode<LogEntry>);
    return StorageRequest{Append->Number, std::move(Records)};
  }
  if (const auto *Vote = std::get_if<PersistVote>(&Effect))
    return StorageRequest{Vote->Number, ReplaceState{encode(Vote->State)}};
  if (const auto *Truncate = std::get_if<TruncateFrom>(&Effect))
    return StorageRequest{Truncate->Number, TruncateRecords{Truncate->Index}};
  if (const auto *Save = std::get_if<SaveSnapshot>(&Effect))
    return StorageRequest{Save->Number,
                          ReplaceSnapshot{encode(Save->Snapshot),
                                          Save->Snapshot.Index + 1,
                                          Save->KeepNone}};
  return std::nullopt;
}

ReplicaEvent eventFor(const StorageReply &Reply) {
  if (isError(Reply.Outcome))
    return StorageLost{};
  return Persisted{Reply.Number};
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
  const bool Used = Folder.Snapshot || Folder.State;
  if (!Folder.Snapshot && !Folder.Records.empty())
    return corruptFolder("the log has entries but the snapshot is missing");
  if (!Used && !Recovered.State.Config.FirstVoters.empty())
    detail::takeSnapshot(Step, {0, 0, Recovered.State.Config.FirstVoters, {}},
                         true);
  else if (Result<Done> Outcome = restore(Step, takeValue(std::move(Stored)));
           isError(Outcome))
    return errorOf(Outcome);
  Recovered.Effects = std::move(Step.Effects);
  return Recovered;
}

} // namespace sapphiremoor
