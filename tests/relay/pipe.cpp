#include "pipe.h"

#include <algorithm>

namespace sapphiremoor::relay {

Pipe::Pipe(event_base *Base, bufferevent *To, std::function<void()> OnDrained)
    : To(To), OnDrained(std::move(OnDrained)),
      Timer(event_new(Base, -1, 0, onTimer, this)) {}

void Pipe::forward(std::string Bytes) {
  if (silent()) {
    LostBytes = true;
    return;
  }
  // Bytes never overtake earlier ones, also when the delay becomes shorter.
  if (Waiting.empty() && Delay.count() == 0) {
    bufferevent_write(To, Bytes.data(), Bytes.size());
    return;
  }
  Waiting.emplace_back(Clock::now() + Delay, std::move(Bytes));
  if (Waiting.size() == 1)
    startTimer();
}

void Pipe::startTimer() {
  const auto Pause = std::chrono::duration_cast<std::chrono::microseconds>(
      Waiting.front().first - Clock::now());
  const auto Micros = std::max<int64_t>(Pause.count(), 0);
  const timeval Time{Micros / 1000000, Micros % 1000000};
  event_add(Timer.get(), &Time);
}

void Pipe::onTimer(evutil_socket_t, short, void *Self) {
  static_cast<Pipe *>(Self)->deliverDue();
}

void Pipe::deliverDue() {
  const auto Now = Clock::now();
  while (!Waiting.empty() && Waiting.front().first <= Now) {
    const std::string &Bytes = Waiting.front().second;
    if (silent())
      LostBytes = true;
    else
      bufferevent_write(To, Bytes.data(), Bytes.size());
    Waiting.pop_front();
  }
  if (!Waiting.empty())
    return startTimer();
  OnDrained();
}

} // namespace sapphiremoor::relay
