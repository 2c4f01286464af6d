#ifndef SAPPHIREMOOR_PLACEMENT_TYPES_JOBNUMBER_H
#define SAPPHIREMOOR_PLACEMENT_TYPES_JOBNUMBER_H

#include <cstdint>

namespace sapphiremoor {

/// Number of a job within one dispatcher. The owner of the placement state
/// never uses a number twice.
enum class JobNumber : uint64_t {};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_PLACEMENT_TYPES_JOBNUMBER_H
