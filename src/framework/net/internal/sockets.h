#ifndef SAPPHIREMOOR_FRAMEWORK_NET_INTERNAL_SOCKETS_H
#define SAPPHIREMOOR_FRAMEWORK_NET_INTERNAL_SOCKETS_H

#include "framework/core/result.h"
#include "framework/core/time.h"
#include "framework/core/types/endpoint.h"

#include <event2/listener.h>

#include <netinet/in.h>

struct event_base;

namespace sapphiremoor::detail {

/// Converts a numeric IPv4 address and a port to a socket address.
Result<sockaddr_in> socketAddress(const Endpoint &Ep);

/// Disables Nagle's algorithm and limits the time for which sent data may stay
/// unacknowledged to \p SilenceTimeout. This closes a connection whose state
/// was dropped by a device on the path.
void configureLinkSocket(int Fd, Duration SilenceTimeout);

/// A listener, which the caller owns, and the port that it is bound to.
struct BoundListener {
  evconnlistener *Listener = nullptr;
  uint16_t Port = 0;
};

/// Listens for links at \p LocalEndpoint. Port 0 selects a free port.
Result<BoundListener> createListener(event_base *Base,
                                     const Endpoint &LocalEndpoint,
                                     evconnlistener_cb OnAccept,
                                     void *Argument);

/// Makes \p Listener stop accepting when a connection cannot be accepted, as
/// without a free descriptor: the connection stays in the queue, and the event
/// loop would try it again at once and without end. The owner calls
/// resumeAccepting() at intervals.
void stopAcceptingOnError(evconnlistener *Listener);

/// Lets \p Listener accept again. Has no effect on one that does; may be null.
void resumeAccepting(evconnlistener *Listener);

} // namespace sapphiremoor::detail

#endif // SAPPHIREMOOR_FRAMEWORK_NET_INTERNAL_SOCKETS_H
