#ifndef SAPPHIREMOOR_FRAMEWORK_NET_INTERNAL_SOCKETS_H
#define SAPPHIREMOOR_FRAMEWORK_NET_INTERNAL_SOCKETS_H

#include "framework/core/result.h"
#include "framework/core/time.h"
#include "framework/core/types/endpoint.h"

#include <event2/listener.h>

#include <netinet/in.h>

struct event_base;

namespace sapphiremoor::detail {

/// Converts a numeric IPv4 address and port for the socket calls.
Result<sockaddr_in> socketAddress(const Endpoint &Ep);

/// Disables Nagle's algorithm and bounds the time that sent data may stay
/// unacknowledged, so that a connection that a device on the way has forgotten
/// is closed after \p SilenceTimeout.
void configureLinkSocket(int Fd, Duration SilenceTimeout);

/// A listener, which the receiver owns, and the port that it is bound to.
struct BoundListener {
  evconnlistener *Listener = nullptr;
  uint16_t Port = 0;
};

/// Listens for links at \p At; port 0 takes a free port.
Result<BoundListener> createListener(event_base *Base,
                                     const Endpoint &LocalEndpoint,
                                     evconnlistener_cb OnAccept,
                                     void *Argument);

} // namespace sapphiremoor::detail

#endif // SAPPHIREMOOR_FRAMEWORK_NET_INTERNAL_SOCKETS_H
