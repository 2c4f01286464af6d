#ifndef SAPPHIREMOOR_REPLICATION_DURABILITY_H
#define SAPPHIREMOOR_REPLICATION_DURABILITY_H

#include "framework/storage/types/recoveredfolder.h"
#include "framework/storage/types/storagerequest.h"
#include "replication/replica.h"

#include <optional>
#include <vector>

namespace sapphiremoor {

/// A replica after a start, with the effects to carry out first: the owner's
/// state is rebuilt by InstallSnapshot and Apply.
struct RecoveredReplica {
  ReplicaState State;
  std::vector<ReplicaEffect> Effects;
};

/// Returns the storage request of a persist effect, nothing for other effects.
std::optional<StorageRequest> toStorageRequest(const ReplicaEffect &Effect);

/// Returns the event that a storage reply means to the replica.
ReplicaEvent toReplicaEvent(const StorageReply &Reply);

/// Builds the replica from its data folder. Config.Self.Identity is replaced by
/// the folder's. Errors: CorruptData if the parts of the folder do not fit each
/// other, for example if a committed entry is missing.
Result<RecoveredReplica> recoverReplica(ReplicaConfig Config,
                                        const RecoveredFolder &Folder,
                                        Instant Now, Random &Rng);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_REPLICATION_DURABILITY_H
