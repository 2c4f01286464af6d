#ifndef SAPPHIREMOOR_TESTS_RELAY_CONTROL_H
#define SAPPHIREMOOR_TESTS_RELAY_CONTROL_H

#include "handles.h"
#include "relay.h"

#include <cstdint>
#include <list>

namespace sapphiremoor::relay {

/// Takes commands for a relay on a port of the loopback interface: one line
/// each, answered with "ok" or "error" once the mode is in force.
class ControlServer {
public:
  ControlServer(event_base *Base, uint16_t ListenPort, Relay &TargetRelay);

  /// Returns the port that is listened on, or 0 if that failed.
  uint16_t port() const;

private:
  static void onAccept(evconnlistener *, evutil_socket_t Socket, sockaddr *,
                       int, void *Self);
  static void onRead(bufferevent *Stream, void *Self);
  static void onEvent(bufferevent *Stream, short Events, void *Self);

  event_base *Base;
  Relay &TargetRelay;
  std::list<StreamHandle> Streams;
  ListenerHandle Listener;
};

} // namespace sapphiremoor::relay

#endif // SAPPHIREMOOR_TESTS_RELAY_CONTROL_H
