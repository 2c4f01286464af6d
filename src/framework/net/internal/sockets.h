#ifndef SAPPHIREMOOR_FRAMEWORK_NET_INTERNAL_SOCKETS_H
#define SAPPHIREMOOR_FRAMEWORK_NET_INTERNAL_SOCKETS_H

#include "framework/core/result.h"
#include "framework/core/time.h"
#include "framework/net/types/endpoint.h"

#include <netinet/in.h>

namespace sapphiremoor::detail {

/// Converts a numeric IPv4 address and port for the socket calls.
Result<sockaddr_in> socketAddress(const Endpoint &At);

/// Disables Nagle's algorithm and bounds the time that sent data may stay
/// unacknowledged, so that a connection that a device on the way has forgotten
/// is closed after \p SilentLimit.
void configureLinkSocket(int Fd, Duration SilentLimit);

} // namespace sapphiremoor::detail

#endif // SAPPHIREMOOR_FRAMEWORK_NET_INTERNAL_SOCKETS_H
