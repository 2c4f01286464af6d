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
  /// Calls \p OnDrained when the last delayed data has been delivered.
  Pipe(event_base *Base, bufferevent *Receiver,
       std::function<void()> OnDrained);

  void setDelay(std::chrono::milliseconds NewDelay) { Delay = NewDelay; }
  void setDropping(bool Enabled) { Dropping = Enabled; }

  /// Writes bytes from the sender to the receiver, after the delay or not at
  /// all as the mode demands.
  void forward(std::string Bytes);

  /// Returns true if the receiver gets nothing from the sender: while the mode
  /// drops data, or permanently once bytes were lost. Delivering later bytes
  /// without the lost ones would corrupt the stream in a way that TCP never
  /// does.
  bool silent() const { return Dropping || LostBytes; }

  /// Returns true if no delayed data waits for delivery.
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
