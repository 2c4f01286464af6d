#ifndef SAPPHIREMOOR_FRAMEWORK_NET_EVENTLOOP_H
#define SAPPHIREMOOR_FRAMEWORK_NET_EVENTLOOP_H

#include "framework/core/time.h"

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

struct event;
struct event_base;

namespace sapphiremoor {

/// The libevent loop of one thread. The sockets and the decision state of the
/// thread are accessed only from run(). Other threads pass work to it with
/// post().
class EventLoop {
public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  /// Runs until stop() is called.
  void run();
  /// Runs pending events once; waits for at least one if \p Wait is set.
  void runOnce(bool Wait);
  /// Ends run() after the current event.
  void stop();

  /// Reads the monotonic clock.
  Instant now() const;

  /// Runs \p Work in the thread of the loop. May be called from any thread.
  void post(std::function<void()> Work);

  /// Calls \p Handler in the loop on each arrival of signal \p SignalNumber.
  void onSignal(int SignalNumber, std::function<void()> Handler);

  event_base *base() const { return Base.get(); }

private:
  struct Signal;
  static void runPostedWork(int Fd, short Events, void *Self);
  static void runSignal(int SignalNumber, short Events, void *Handler);

  struct BaseDeleter {
    void operator()(event_base *Pointer) const;
  };
  struct EventDeleter {
    void operator()(event *Pointer) const;
  };

  std::unique_ptr<event_base, BaseDeleter> Base;
  int WakeFd = -1;
  std::unique_ptr<event, EventDeleter> WakeEvent;
  std::mutex PostedMutex;
  std::vector<std::function<void()>> PostedWork;
  std::vector<std::unique_ptr<Signal>> Signals;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_FRAMEWORK_NET_EVENTLOOP_H
