#include "framework/net/timer.h"

#include "framework/net/eventloop.h"

#include <event2/event.h>

namespace sapphiremoor {

namespace {

timeval toTimeval(Duration Delay) {
  const auto Micros = Delay.count() > 0 ? Delay.count() : 0;
  return {static_cast<time_t>(Micros / 1000000),
          static_cast<suseconds_t>(Micros % 1000000)};
}

} // namespace

Timer::Timer(EventLoop &Loop, std::function<void()> Handler)
    : Handler(std::move(Handler)),
      Event(evtimer_new(Loop.base(), onExpired, this)) {}

Timer::~Timer() { event_free(Event); }

void Timer::start(Duration Delay) {
  Period = Duration::zero();
  const timeval Timeout = toTimeval(Delay);
  evtimer_add(Event, &Timeout);
}

void Timer::startPeriodic(Duration NewPeriod) {
  start(NewPeriod);
  Period = NewPeriod;
}

void Timer::cancel() {
  Period = Duration::zero();
  evtimer_del(Event);
}

void Timer::onExpired(int, short, void *Self) {
  auto &Owner = *static_cast<Timer *>(Self);
  if (Owner.Period > Duration::zero())
    Owner.startPeriodic(Owner.Period);
  Owner.Handler();
}

} // namespace sapphiremoor
