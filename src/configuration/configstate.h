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

/// Largest size of a request id and of an operator's name. This and the next
/// three bounds keep a whole configuration within one frame of 8 MB between
/// VMs.
inline constexpr std::size_t MaxIdBytes = 64;

/// Number of decided requests kept for resends: over a day of changes at 2,600
/// a day.
inline constexpr std::size_t MaxDecidedRequests = 4096;

/// Number of history records kept: a day and a half of changes.
inline constexpr std::size_t MaxHistoryRecords = 4000;

/// Number of removed files remembered for collectChanges().
inline constexpr std::size_t MaxRemovedFiles = 2000;

/// Applies one committed change. Every replica that applies the same changes in
/// the same order reaches the same state and the same results.
///
/// A change is accepted if its expected revision is the one in force and the
/// files are valid when merged. It is a conflict if another change was accepted
/// first, and rejected if it is invalid by itself. A request of the same
/// operator with the same id and content gets its first result again, and with
/// other content is rejected.
ChangeResult applyChange(ConfigState &State, const ChangeFile &Change);

/// Encodes a state for a snapshot, with a checksum.
std::string encodeState(const ConfigState &State);

/// Decodes what encodeState() wrote; CorruptData for anything else.
Result<ConfigState> decodeState(std::string_view Bytes);

/// Returns what a VM at \p BaseRevision lacks: the files changed since then, or
/// the whole configuration if \p BaseRevision is too old. Decided requests are
/// not included, so the receiver can be brought up to date but cannot take part
/// in decisions.
ConfigChunk collectChanges(const ConfigState &State, uint64_t BaseRevision);

/// Takes the files of \p Chunk into \p State. A chunk whose revision is not
/// higher than the state's changes nothing and is no error. Conflict if the
/// chunk starts after the state's revision (fetch again with that revision);
/// CorruptData if the files are not valid when merged. After an error the state
/// is unchanged.
///
/// For VMs that do not apply the log to \p State. A voter keeps the state that
/// it applies the log to apart: a chunk may run ahead of the log, and changes
/// that the log then repeats would be taken for conflicts.
Result<Done> applyChunk(ConfigState &State, const ConfigChunk &Chunk);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CONFIGURATION_CONFIGSTATE_H
