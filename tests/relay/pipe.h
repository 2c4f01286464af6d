#ifndef SAPPHIREMOOR_TESTS_RELAY_PIPE_H
#define SAPPHIREMOOR_TESTS_RELAY_PIPE_H

#include "handles.h"

#include <chrono>
#include <deque>
#include <functional>
#include <string>
#include <utility>

namespace sapphiremoor::relay {

/// One direction of a relayed connection.
class Pipe {
public:
  /// \p OnDrained is called when nothing waits for delivery any more.
  Pipe(event_base *Base, bufferevent *Receiver,
       std::function<void()> OnDrained);

  void setDelay(std::chrono::milliseconds NewDelay) { Delay = NewDelay; }
  void setDropping(bool Enabled) { Dropping = Enabled; }

  /// Takes bytes from the sender.
  void forward(std::string Bytes);

  /// Returns whether the receiver sees nothing of the sender: now by the mode,
  /// or for good because bytes were lost. Later bytes without the lost ones
  /// would be a corruption that TCP never shows.
  bool silent() const { return Dropping || LostBytes; }

  bool drained() const { return DelayedChunks.empty(); }

private:
  using Clock = std::chrono::steady_clock;

  static void onTimer(evutil_socket_t, short, void *Self);

  void deliverDueChunks();
  void startTimer();

  bufferevent *Receiver;
  std::function<void()> OnDrained;
  std::chrono::milliseconds Delay{0};
  bool Dropping = false;
  bool LostBytes = false;
  std::deque<std::pair<Clock::time_point, std::string>> DelayedChunks;
  EventHandle Timer;
};

} // namespace sapphiremoor::relay

#endif // SAPPHIREMOOR_TESTS_RELAY_PIPE_H
