#ifndef SAPPHIREMOOR_TESTS_RELAY_CONTROL_H
#define SAPPHIREMOOR_TESTS_RELAY_CONTROL_H

#include "handles.h"
#include "relay.h"

#include <cstdint>
#include <list>

namespace sapphiremoor::relay {

/// Accepts commands for a relay on a port of the loopback interface. A command
/// is one line; the reply is "ok" after the mode has been set, or "error" if
/// the command is invalid.
class ControlServer {
public:
  ControlServer(event_base *Base, uint16_t ListenPort, Relay &TargetRelay);

  /// Returns the port that the server listens on, or 0 if it could not listen.
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
