#ifndef SAPPHIREMOOR_TESTS_RELAY_HANDLES_H
#define SAPPHIREMOOR_TESTS_RELAY_HANDLES_H

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <memory>

namespace sapphiremoor::relay {

/// Releases what libevent created.
struct Release {
  void operator()(event_base *Base) const { event_base_free(Base); }
  void operator()(event *Event) const { event_free(Event); }
  void operator()(bufferevent *Stream) const { bufferevent_free(Stream); }
  void operator()(evconnlistener *Socket) const { evconnlistener_free(Socket); }
};

using BaseHandle = std::unique_ptr<event_base, Release>;
using EventHandle = std::unique_ptr<event, Release>;
using StreamHandle = std::unique_ptr<bufferevent, Release>;
using ListenerHandle = std::unique_ptr<evconnlistener, Release>;

} // namespace sapphiremoor::relay

#endif // SAPPHIREMOOR_TESTS_RELAY_HANDLES_H
