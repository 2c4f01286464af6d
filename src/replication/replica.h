#ifndef SAPPHIREMOOR_REPLICATION_REPLICA_H
#define SAPPHIREMOOR_REPLICATION_REPLICA_H

#include "framework/core/random.h"
#include "framework/core/time.h"
#include "replication/types/replicaevent.h"
#include "replication/types/replicastate.h"

#include <string_view>
#include <vector>

namespace sapphiremoor {

/// Size limit of a proposal. A frame between VMs holds 8 MB.
inline constexpr std::size_t MaxProposalBytes = std::size_t{4} << 20;

/// Handles \p Event at the time \p Now. The caller must perform the returned
/// effects in their order.
std::vector<ReplicaEffect> step(ReplicaState &State, const ReplicaEvent &Event,
                                Instant Now, Random &Rng);

/// Returns the index of the last entry in the log.
uint64_t lastIndex(const ReplicaState &State);

/// Returns true if this replica's identity is among the voters.
bool isVoter(const ReplicaState &State);

/// Returns true if enough entries are committed since the last snapshot that
/// the owner should send SnapshotCreated.
bool needsSnapshot(const ReplicaState &State);

/// Returns the name of \p Role as in charts/replica.json, for example
/// "pre_candidate".
std::string_view roleName(ReplicaRole Role);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_REPLICATION_REPLICA_H
