#ifndef SAPPHIREMOOR_FRAMEWORK_CORE_RANDOM_H
#define SAPPHIREMOOR_FRAMEWORK_CORE_RANDOM_H

#include <cstdint>
#include <random>

namespace sapphiremoor {

/// The seeded generator of decision modules and tests.
using Random = std::mt19937_64;

/// Returns 64 unpredictable bits for incarnations, identities and nonces.
uint64_t secureRandom64();

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_FRAMEWORK_CORE_RANDOM_H
