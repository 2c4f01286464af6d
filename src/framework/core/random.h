#ifndef SAPPHIREMOOR_FRAMEWORK_CORE_RANDOM_H
#define SAPPHIREMOOR_FRAMEWORK_CORE_RANDOM_H

#include <cstdint>
#include <random>

namespace sapphiremoor {

/// The pseudo-random generator of decision modules and tests, seeded by the
/// caller.
using Random = std::mt19937_64;

/// Returns 64 unpredictable bits for incarnations, identities and nonces.
uint64_t secureRandom64();

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_FRAMEWORK_CORE_RANDOM_H
