#include "framework/net/eventloop.h"

#include <event2/event.h>

#include <sys/eventfd.h>
#include <unistd.h>

#include <csignal>
#include <ctime>

namespace sapphiremoor {

struct EventLoop::Signal {
  std::function<void()> Handler;
  std::unique_ptr<event, EventDeleter> Event;
};

void EventLoop::BaseDeleter::operator()(event_base *Pointer) const {
  event_base_free(Pointer);
}

void EventLoop::EventDeleter::operator()(event *Pointer) const {
  event_free(Pointer);
}

EventLoop::EventLoop()
    : Base(event_base_new()), WakeFd(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)),
      WakeEvent(event_new(Base.get(), WakeFd, EV_READ | EV_PERSIST,
                          runPostedWork, this)) {
  // Writing to a connection that the peer has closed must return an error and
  // not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  event_add(WakeEvent.get(), nullptr);
}

EventLoop::~EventLoop() {
  WakeEvent.reset();
  close(WakeFd);
}

void EventLoop::run() { event_base_loop(Base.get(), EVLOOP_NO_EXIT_ON_EMPTY); }

void EventLoop::runOnce(bool Wait) {
  event_base_loop(Base.get(), EVLOOP_ONCE | (Wait ? 0 : EVLOOP_NONBLOCK));
}

void EventLoop::stop() { event_base_loopbreak(Base.get()); }

Instant EventLoop::now() const {
  timespec Time{};
  clock_gettime(CLOCK_MONOTONIC, &Time);
  return instantAt(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(Time.tv_sec) +
      std::chrono::nanoseconds(Time.tv_nsec)));
}

void EventLoop::post(std::function<void()> Work) {
  {
    const std::lock_guard Lock(PostedMutex);
    PostedWork.push_back(std::move(Work));
  }
  const uint64_t Increment = 1;
  // The write always succeeds: the counter of the eventfd cannot overflow here,
  // and a short write is impossible.
  [[maybe_unused]] const ssize_t WrittenBytes =
      write(WakeFd, &Increment, sizeof(Increment));
}

void EventLoop::onSignal(int SignalNumber, std::function<void()> Handler) {
  auto NewSignal = std::make_unique<Signal>();
  NewSignal->Handler = std::move(Handler);
  NewSignal->Event.reset(
      evsignal_new(Base.get(), SignalNumber, runSignal, &NewSignal->Handler));
  event_add(NewSignal->Event.get(), nullptr);
  Signals.push_back(std::move(NewSignal));
}

void EventLoop::runPostedWork(int Fd, short, void *Self) {
  auto &Loop = *static_cast<EventLoop *>(Self);
  uint64_t Count = 0;
  [[maybe_unused]] const ssize_t ReadBytes = read(Fd, &Count, sizeof(Count));
  std::vector<std::function<void()>> Work;
  {
    const std::lock_guard Lock(Loop.PostedMutex);
    Work.swap(Loop.PostedWork);
  }
  for (const auto &Item : Work)
    Item();
}

void EventLoop::runSignal(int, short, void *Handler) {
  (*static_cast<std::function<void()> *>(Handler))();
}

} // namespace sapphiremoor
