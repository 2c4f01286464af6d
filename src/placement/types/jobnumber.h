#ifndef SAPPHIREMOOR_PLACEMENT_TYPES_JOBNUMBER_H
#define SAPPHIREMOOR_PLACEMENT_TYPES_JOBNUMBER_H

#include <cstdint>

namespace sapphiremoor {

/// Identifies a job within one dispatcher. The caller that owns the placement
/// state never reuses a number.
enum class JobNumber : uint64_t {};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_PLACEMENT_TYPES_JOBNUMBER_H
