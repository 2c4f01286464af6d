#ifndef SAPPHIREMOOR_REPLICATION_TYPES_REPLICAEVENT_H
#define SAPPHIREMOOR_REPLICATION_TYPES_REPLICAEVENT_H

#include "framework/core/result.h"
#include "replication/types/replicationmessage.h"

#include <string>
#include <variant>

namespace sapphiremoor {

/// Time has passed. The owner sends it at least every 50 ms.
struct Tick {};

/// A message has arrived over the authenticated connection of the VM \p From.
struct MessageReceived {
  std::string From;
  ReplicationMessage Message;
};

/// Asks for \p Bytes to be replicated.
struct ProposeCommand {
  uint64_t RequestNumber = 0;
  std::string Bytes;
};

/// Whether a voter is added or removed.
enum class VoterChangeKind { Add, Remove };

/// Asks for one voter to be added or removed.
struct ProposeVoterChange {
  uint64_t RequestNumber = 0;
  VoterChangeKind Kind = VoterChangeKind::Add;
  Voter ChangedVoter;
};

/// All persist effects up to \p Number are durable.
struct PersistCompleted {
  uint64_t Number = 0;
};

/// The data folder has failed; its contents can no longer be relied on.
struct StorageLost {};

/// Carries the owner's state after it applied the entry \p Index.
struct SnapshotCreated {
  uint64_t Index = 0;
  std::string Bytes;
};

using ReplicaEvent =
    std::variant<Tick, MessageReceived, ProposeCommand, ProposeVoterChange,
                 PersistCompleted, StorageLost, SnapshotCreated>;

/// Send \p Message to the VM \p Receiver.
struct SendReplicationMessage {
  std::string Receiver;
  ReplicationMessage Message;
};

/// Append entries to the log on disk. Persist effects must be performed in the
/// order of their numbers.
struct PersistEntries {
  uint64_t Number = 0;
  uint64_t FirstIndex = 0;
  std::vector<LogEntry> Entries;
};

/// Write the hard state to disk.
struct PersistHardState {
  uint64_t Number = 0;
  HardState State;
};

/// Remove the entry \p Index and all later ones from the log on disk.
struct TruncateLog {
  uint64_t Number = 0;
  uint64_t Index = 0;
};

/// Write the snapshot to disk and drop the entries that it replaces.
struct SaveSnapshot {
  uint64_t Number = 0;
  ReplicaSnapshot Snapshot;
  /// True if the later entries are dropped as well.
  bool DropAllEntries = false;
};

/// Replace the owner's state with the state after the entry \p Index.
struct InstallSnapshot {
  uint64_t Index = 0;
  std::string Bytes;
};

/// Apply the committed \p Bytes to the owner's state.
struct ApplyCommand {
  uint64_t Index = 0;
  std::string Bytes;
};

/// The outcome of a proposal: the index of its committed entry, or why it was
/// refused. An error of kind Timeout means that the outcome is unknown.
struct ProposeResult {
  uint64_t RequestNumber = 0;
  Result<uint64_t> Outcome;
};

/// This replica has become the leader of \p Term.
struct BecameLeader {
  uint64_t Term = 0;
};

using ReplicaEffect =
    std::variant<SendReplicationMessage, PersistEntries, PersistHardState,
                 TruncateLog, SaveSnapshot, InstallSnapshot, ApplyCommand,
                 ProposeResult, BecameLeader>;

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_REPLICATION_TYPES_REPLICAEVENT_H
