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

/// Relays TCP connections on the loopback interface and can disturb them.
class Relay {
public:
  /// Relays to \p Target, an address of the loopback interface.
  Relay(event_base *Base, uint16_t ListenPort, const sockaddr_in &Target);

  /// Returns the port that the relay listens on, or 0 if it could not.
  uint16_t port() const;

  /// Changes what happens to open and new connections.
  void setMode(const Mode &Wanted);

  std::size_t connections() const { return Links.size(); }

private:
  /// One relayed connection.
  struct Link {
    Relay *Owner = nullptr;
    StreamHandle Client;
    StreamHandle Server;
    std::unique_ptr<Pipe> Up;
    std::unique_ptr<Pipe> Down;
    bool Frozen = false; ///< silent for good
    bool ClientEnded = false;
    bool ServerEnded = false;
    std::list<Link>::iterator Place;
  };

  static void onAccept(evconnlistener *, evutil_socket_t Socket, sockaddr *,
                       int, void *Self);
  static void onRead(bufferevent *From, void *Which);
  static void onWritten(bufferevent *To, void *Which);
  static void onEvent(bufferevent *From, short What, void *Which);

  void accept(evutil_socket_t Socket);
  void apply(Link &To, const Mode &Wanted);
  void closeIfEnded(Link &Of);

  event_base *Base;
  sockaddr_in Target;
  Mode ForNew;
  std::list<Link> Links;
  ListenerHandle Listener;
};

} // namespace sapphiremoor::relay

#endif // SAPPHIREMOOR_TESTS_RELAY_RELAY_H
