#ifndef SAPPHIREMOOR_TESTS_RELAY_HANDLES_H
#define SAPPHIREMOOR_TESTS_RELAY_HANDLES_H

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <memory>

namespace sapphiremoor::relay {

/// Frees objects that libevent allocated.
struct LibeventDeleter {
  void operator()(event_base *Base) const { event_base_free(Base); }
  void operator()(event *Event) const { event_free(Event); }
  void operator()(bufferevent *Stream) const { bufferevent_free(Stream); }
  void operator()(evconnlistener *Listener) const {
    evconnlistener_free(Listener);
  }
};

using EventBaseHandle = std::unique_ptr<event_base, LibeventDeleter>;
using EventHandle = std::unique_ptr<event, LibeventDeleter>;
using StreamHandle = std::unique_ptr<bufferevent, LibeventDeleter>;
using ListenerHandle = std::unique_ptr<evconnlistener, LibeventDeleter>;

} // namespace sapphiremoor::relay

#endif // SAPPHIREMOOR_TESTS_RELAY_HANDLES_H
