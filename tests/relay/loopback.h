#ifndef SAPPHIREMOOR_TESTS_RELAY_LOOPBACK_H
#define SAPPHIREMOOR_TESTS_RELAY_LOOPBACK_H

#include "handles.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdint>

namespace sapphiremoor::relay {

/// Returns the address of \p Port on the loopback interface.
inline sockaddr_in loopbackAddress(uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

/// Listens on \p Port of the loopback interface; port 0 takes a free port.
/// Returns null on failure.
inline ListenerHandle listenOnLoopback(event_base *Base, uint16_t Port,
                                       evconnlistener_cb OnAccept,
                                       void *Argument) {
  const sockaddr_in Address = loopbackAddress(Port);
  return ListenerHandle(evconnlistener_new_bind(
      Base, OnAccept, Argument, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
      reinterpret_cast<const sockaddr *>(&Address), sizeof(Address)));
}

/// Returns the port that \p Listener listens on, or 0 on failure.
inline uint16_t boundPort(const ListenerHandle &Listener) {
  sockaddr_in Address{};
  socklen_t Size = sizeof(Address);
  if (getsockname(evconnlistener_get_fd(Listener.get()),
                  reinterpret_cast<sockaddr *>(&Address), &Size) != 0)
    return 0;
  return ntohs(Address.sin_port);
}

} // namespace sapphiremoor::relay

#endif // SAPPHIREMOOR_TESTS_RELAY_LOOPBACK_H
