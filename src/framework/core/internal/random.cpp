#include "framework/core/random.h"

#include <openssl/rand.h>

#include <cstdlib>

namespace sapphiremoor {

uint64_t secureRandom64() {
  uint64_t Bits = 0;
  // Without unpredictable bits two incarnations could collide, which would
  // break the claim rules, so the process stops instead.
  if (RAND_bytes(reinterpret_cast<unsigned char *>(&Bits), sizeof(Bits)) != 1)
    std::abort();
  return Bits;
}

} // namespace sapphiremoor
