#ifndef SAPPHIREMOOR_TESTS_RELAY_RELAY_H
#define SAPPHIREMOOR_TESTS_RELAY_RELAY_H

#include "handles.h"
#include "mode.h"
#include "pipe.h"

#include <netinet/in.h>

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>

namespace sapphiremoor::relay {

/// Relays TCP connections on the loopback interface and injects faults into
/// them: it can close, hold, drop or delay their data.
class Relay {
public:
  /// Relays to \p Target, an address of the loopback interface.
  Relay(event_base *Base, uint16_t ListenPort, const sockaddr_in &Target);

  /// Returns the port that the relay listens on, or 0 if it could not listen.
  uint16_t port() const;

  /// Sets the mode of open and new connections.
  void setMode(const Mode &NewMode);

  std::size_t connectionCount() const { return Connections.size(); }

private:
  /// One relayed connection.
  struct Connection {
    Relay *Owner = nullptr;
    StreamHandle Client;
    StreamHandle Server;
    std::unique_ptr<Pipe> Upstream;
    std::unique_ptr<Pipe> Downstream;
    bool Frozen = false; ///< drops all data permanently
    bool ClientClosed = false;
    bool ServerClosed = false;
    std::list<Connection>::iterator SelfIt;
  };

  static void onAccept(evconnlistener *, evutil_socket_t Socket, sockaddr *,
                       int, void *Self);
  static void onRead(bufferevent *Stream, void *Context);
  static void onOutputFlushed(bufferevent *Stream, void *Context);
  static void onEvent(bufferevent *Stream, short Events, void *Context);

  void accept(evutil_socket_t Socket);
  void applyMode(Connection &Conn, const Mode &NewMode);
  void closeIfEnded(Connection &Conn);

  event_base *Base;
  sockaddr_in Target;
  Mode NewConnectionMode;
  std::list<Connection> Connections;
  ListenerHandle Listener;
};

} // namespace sapphiremoor::relay

#endif // SAPPHIREMOOR_TESTS_RELAY_RELAY_H
