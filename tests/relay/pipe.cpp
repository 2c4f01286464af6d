#include "pipe.h"

#include <algorithm>

namespace sapphiremoor::relay {

Pipe::Pipe(event_base *Base, bufferevent *Receiver,
           std::function<void()> OnDrained)
    : Receiver(Receiver), OnDrained(std::move(OnDrained)),
      Timer(event_new(Base, -1, 0, onTimer, this)) {}

void Pipe::forward(std::string Bytes) {
  if (silent()) {
    LostBytes = true;
    return;
  }
  // Keeps the order of the bytes also when the delay becomes shorter.
  if (DelayedChunks.empty() && Delay.count() == 0) {
    bufferevent_write(Receiver, Bytes.data(), Bytes.size());
    return;
  }
  DelayedChunks.emplace_back(Clock::now() + Delay, std::move(Bytes));
  if (DelayedChunks.size() == 1)
    startTimer();
}

void Pipe::startTimer() {
  const auto RemainingTime =
      std::chrono::duration_cast<std::chrono::microseconds>(
          DelayedChunks.front().first - Clock::now());
  const auto RemainingUs = std::max<int64_t>(RemainingTime.count(), 0);
  const timeval Timeout{RemainingUs / 1000000, RemainingUs % 1000000};
  event_add(Timer.get(), &Timeout);
}

void Pipe::onTimer(evutil_socket_t, short, void *Self) {
  static_cast<Pipe *>(Self)->deliverDueChunks();
}

void Pipe::deliverDueChunks() {
  const auto Now = Clock::now();
  while (!DelayedChunks.empty() && DelayedChunks.front().first <= Now) {
    const std::string &Bytes = DelayedChunks.front().second;
    if (silent())
      LostBytes = true;
    else
      bufferevent_write(Receiver, Bytes.data(), Bytes.size());
    DelayedChunks.pop_front();
  }
  if (!DelayedChunks.empty())
    return startTimer();
  OnDrained();
}

} // namespace sapphiremoor::relay
