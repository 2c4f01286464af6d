#ifndef SAPPHIREMOOR_TESTS_STANDIN_HANDLES_H
#define SAPPHIREMOOR_TESTS_STANDIN_HANDLES_H

#include <event2/event.h>
#include <event2/http.h>

#include <chrono>
#include <memory>

namespace sapphiremoor::standin {

/// Deleter for objects that libevent has allocated.
struct LibeventDeleter {
  void operator()(event_base *Base) const { event_base_free(Base); }
  void operator()(event *Event) const { event_free(Event); }
  void operator()(evhttp *Http) const { evhttp_free(Http); }
  void operator()(evhttp_connection *Connection) const {
    evhttp_connection_free(Connection);
  }
};

using EventBaseHandle = std::unique_ptr<event_base, LibeventDeleter>;
using EventHandle = std::unique_ptr<event, LibeventDeleter>;
using HttpHandle = std::unique_ptr<evhttp, LibeventDeleter>;
using ConnectionHandle = std::unique_ptr<evhttp_connection, LibeventDeleter>;

/// Converts \p Time to the type that libevent uses.
inline timeval toTimeval(std::chrono::milliseconds Time) {
  return {Time.count() / 1000, Time.count() % 1000 * 1000};
}

} // namespace sapphiremoor::standin

#endif // SAPPHIREMOOR_TESTS_STANDIN_HANDLES_H
