#ifndef SAPPHIREMOOR_CONFIGURATION_CONFIGSTATE_H
#define SAPPHIREMOOR_CONFIGURATION_CONFIGSTATE_H

#include "configuration/types/changefile.h"
#include "configuration/types/changeresult.h"
#include "configuration/types/configchunk.h"
#include "configuration/types/configstate.h"
#include "framework/core/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace sapphiremoor {

/// Maximum size of a request id and of an operator's name. Together with the
/// next three limits it ensures that a full ConfigChunk fits into one frame of
/// 8 MB between VMs.
inline constexpr std::size_t MaxIdBytes = 64;

/// Maximum number of decided requests kept for resends. They cover more than a
/// day at 2,600 changes per day.
inline constexpr std::size_t MaxDecidedRequests = 4096;

/// Maximum number of history records: a day and a half of changes.
inline constexpr std::size_t MaxHistoryRecords = 4000;

/// Maximum number of removed files that are recorded for collectChanges().
inline constexpr std::size_t MaxRemovedFiles = 2000;

/// Applies one committed change. All replicas that apply the same changes in
/// the same order reach the same state and return the same results.
///
/// A change is accepted if its expected revision is the one in force and the
/// files are valid when merged. It is a conflict if another change was accepted
/// first. It is rejected if it is invalid. If the same operator sends a request
/// id again with the same content, the first result is returned again; with
/// other content the request is rejected.
ChangeResult applyChange(ConfigState &State, const ChangeFile &Change);

/// Encodes a state for a snapshot, with a checksum.
std::string encodeState(const ConfigState &State);

/// Decodes the output of encodeState(). Fails with CorruptData for any other
/// bytes.
Result<ConfigState> decodeState(std::string_view Bytes);

/// Returns the files changed since \p BaseRevision, or the whole configuration
/// if \p BaseRevision is too old. Decided requests are not included, so the
/// receiver can be brought up to date but cannot decide changes.
ConfigChunk collectChanges(const ConfigState &State, uint64_t BaseRevision);

/// Applies the file changes in \p Chunk to \p State. A chunk whose revision is
/// not higher than that of the state is ignored without an error. Fails with
/// Conflict if the chunk starts after the state's revision (fetch again with
/// that revision) and with CorruptData if the files are not valid when merged.
/// After an error the state is unchanged.
///
/// For states to which the replicated log is not applied. A voter must keep the
/// state to which it applies the log separate: a chunk may be ahead of the log,
/// and the same changes in the log would then be treated as conflicts.
Result<Done> applyChunk(ConfigState &State, const ConfigChunk &Chunk);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CONFIGURATION_CONFIGSTATE_H
