#include "framework/core/random.h"

#include <openssl/rand.h>

#include <cstdlib>

namespace sapphiremoor {

uint64_t secureRandom64() {
  uint64_t Bits = 0;
  // Aborts if no unpredictable bits are available: two incarnations could
  // collide, and a collision would break the rules of claims.
  if (RAND_bytes(reinterpret_cast<unsigned char *>(&Bits), sizeof(Bits)) != 1)
    std::abort();
  return Bits;
}

} // namespace sapphiremoor
