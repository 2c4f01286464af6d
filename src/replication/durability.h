#ifndef SAPPHIREMOOR_REPLICATION_DURABILITY_H
#define SAPPHIREMOOR_REPLICATION_DURABILITY_H

#include "framework/storage/types/recoveredfolder.h"
#include "framework/storage/types/storagerequest.h"
#include "replication/replica.h"

#include <optional>
#include <vector>

namespace sapphiremoor {

/// A replica after a start, with the effects to perform first. The
/// InstallSnapshot and ApplyCommand effects rebuild the owner's state.
struct RecoveredReplica {
  ReplicaState State;
  std::vector<ReplicaEffect> Effects;
};

/// Returns the storage request of a persist effect, or nothing for other
/// effects.
std::optional<StorageRequest> toStorageRequest(const ReplicaEffect &Effect);

/// Converts a storage reply to the event for the replica.
ReplicaEvent toReplicaEvent(const StorageReply &Reply);

/// Rebuilds the replica from its data folder. Config.Self.Identity is replaced
/// by the identity of the folder. Returns CorruptData if the parts of the
/// folder do not fit together, for example if a committed entry is missing.
Result<RecoveredReplica> recoverReplica(ReplicaConfig Config,
                                        const RecoveredFolder &Folder,
                                        Instant Now, Random &Rng);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_REPLICATION_DURABILITY_H
