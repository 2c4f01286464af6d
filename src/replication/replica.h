#ifndef SAPPHIREMOOR_REPLICATION_REPLICA_H
#define SAPPHIREMOOR_REPLICATION_REPLICA_H

#include "framework/core/random.h"
#include "framework/core/time.h"
#include "replication/types/replicaevent.h"
#include "replication/types/replicastate.h"

#include <string_view>
#include <vector>

namespace sapphiremoor {

/// Largest proposal in bytes. A frame between VMs holds 8 MB.
inline constexpr std::size_t MaxProposalBytes = std::size_t{4} << 20;

/// Lets \p State handle \p Event at the time \p Now. The effects are to be
/// carried out in their order.
std::vector<ReplicaEffect> step(ReplicaState &State, const ReplicaEvent &Event,
                                Instant Now, Random &Rng);

/// Index of the last entry in the log.
uint64_t lastIndex(const ReplicaState &State);

/// True if the replica's own identity is among the voters.
bool isVoter(const ReplicaState &State);

/// True if so many entries are committed since the last snapshot that the owner
/// should send SnapshotCreated.
bool needsSnapshot(const ReplicaState &State);

/// The name of \p Role as in charts/replica.json, for example "pre_candidate".
std::string_view roleName(ReplicaRole Role);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_REPLICATION_REPLICA_H
