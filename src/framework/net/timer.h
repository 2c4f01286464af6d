#ifndef SAPPHIREMOOR_FRAMEWORK_NET_TIMER_H
#define SAPPHIREMOOR_FRAMEWORK_NET_TIMER_H

#include "framework/core/time.h"

#include <functional>
#include <memory>

struct event;

namespace sapphiremoor {

class EventLoop;

/// A timer that runs in an event loop. Its destructor cancels it.
class Timer {
public:
  Timer(EventLoop &Loop, std::function<void()> Handler);
  ~Timer();
  Timer(const Timer &) = delete;
  Timer &operator=(const Timer &) = delete;

  /// Calls the handler once after \p Delay. Replaces an earlier start.
  void start(Duration Delay);
  /// Calls the handler every \p Period until cancelled.
  void startPeriodic(Duration Period);
  void cancel();

private:
  static void onExpired(int Fd, short Events, void *Self);

  std::function<void()> Handler;
  Duration Period{0};
  event *Event;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_FRAMEWORK_NET_TIMER_H
