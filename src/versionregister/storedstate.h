#ifndef SAPPHIREMOOR_VERSIONREGISTER_STOREDSTATE_H
#define SAPPHIREMOOR_VERSIONREGISTER_STOREDSTATE_H

#include "framework/core/result.h"
#include "versionregister/types/acceptorstate.h"

#include <string_view>

namespace sapphiremoor {

/// Decodes a state that encode() wrote, also one of an earlier release, which
/// did not store the chosen voters. Errors: CorruptData.
Result<AcceptorState> decodeStoredState(std::string_view Bytes);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_VERSIONREGISTER_STOREDSTATE_H
