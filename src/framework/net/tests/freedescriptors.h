#ifndef SAPPHIREMOOR_FRAMEWORK_NET_TESTS_FREEDESCRIPTORS_H
#define SAPPHIREMOOR_FRAMEWORK_NET_TESTS_FREEDESCRIPTORS_H

#include "framework/eventlog/eventlog.h"
#include "framework/net/eventloop.h"

#include <doctest/doctest.h>
#include <event2/event.h>

#include <sys/resource.h>
#include <unistd.h>

namespace sapphiremoor {

/// Lets this process open no further descriptor while it exists.
class NoFreeDescriptors {
public:
  NoFreeDescriptors() {
    // The undefined-behaviour sanitizer opens a pipe when it first checks an
    // object of a type, and reports the object as invalid if it cannot. The
    // types of the log are checked before.
    logEvent(events::AcceptFailed, {{"error", "none yet"}});
    getrlimit(RLIMIT_NOFILE, &Original);
    const int LowestFree = dup(STDIN_FILENO);
    close(LowestFree);
    rlimit Lowered = Original;
    Lowered.rlim_cur = static_cast<rlim_t>(LowestFree);
    REQUIRE(setrlimit(RLIMIT_NOFILE, &Lowered) == 0);
  }
  ~NoFreeDescriptors() { setrlimit(RLIMIT_NOFILE, &Original); }
  NoFreeDescriptors(const NoFreeDescriptors &) = delete;
  NoFreeDescriptors &operator=(const NoFreeDescriptors &) = delete;

private:
  rlimit Original{};
};

/// Number of events that the loop waits for.
inline int waitingEvents(const EventLoop &Loop) {
  return event_base_get_num_events(Loop.base(), EVENT_BASE_COUNT_ADDED);
}

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_FRAMEWORK_NET_TESTS_FREEDESCRIPTORS_H
