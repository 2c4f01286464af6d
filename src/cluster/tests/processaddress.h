#ifndef SAPPHIREMOOR_CLUSTER_TESTS_PROCESSADDRESS_H
#define SAPPHIREMOOR_CLUSTER_TESTS_PROCESSADDRESS_H

#include "framework/core/types/endpoint.h"

#include <unistd.h>

#include <cstdint>
#include <string>

namespace sapphiremoor::testing {

/// Returns the loopback endpoint \p Number of this process. Test cases that run
/// at the same time in several processes get different addresses.
inline Endpoint processEndpoint(std::size_t Number) {
  constexpr uint16_t PeerPort = 27790;
  const auto Process = static_cast<uint32_t>(getpid());
  return {"127." + std::to_string(100 + (Process >> 8) % 100) + "." +
              std::to_string(Process % 256) + "." + std::to_string(Number + 1),
          PeerPort};
}

} // namespace sapphiremoor::testing

#endif // SAPPHIREMOOR_CLUSTER_TESTS_PROCESSADDRESS_H
