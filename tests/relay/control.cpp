#include "control.h"

#include "loopback.h"

#include <event2/buffer.h>

#include <cstdlib>
#include <memory>
#include <string>

namespace sapphiremoor::relay {

Control::Control(event_base *Base, uint16_t ListenPort, Relay &Controlled)
    : Base(Base), Controlled(Controlled),
      Listener(listenOn(Base, ListenPort, onAccept, this)) {}

uint16_t Control::port() const {
  return Listener == nullptr ? uint16_t{0} : portOf(Listener);
}

void Control::onAccept(evconnlistener *, evutil_socket_t Socket, sockaddr *,
                       int, void *Self) {
  auto &Here = *static_cast<Control *>(Self);
  bufferevent *Stream =
      bufferevent_socket_new(Here.Base, Socket, BEV_OPT_CLOSE_ON_FREE);
  Here.Streams.emplace_back(Stream);
  bufferevent_setcb(Stream, onRead, nullptr, onEvent, Self);
  bufferevent_enable(Stream, EV_READ);
}

void Control::onRead(bufferevent *From, void *Self) {
  auto &Here = *static_cast<Control *>(Self);
  evbuffer *Input = bufferevent_get_input(From);
  using LineHandle = std::unique_ptr<char, decltype(&std::free)>;
  while (const LineHandle Line{
      evbuffer_readln(Input, nullptr, EVBUFFER_EOL_CRLF), std::free}) {
    const auto Wanted = parseMode(Line.get());
    if (Wanted)
      Here.Controlled.setMode(*Wanted);
    const std::string Answer = Wanted ? "ok\n" : "error\n";
    bufferevent_write(From, Answer.data(), Answer.size());
  }
}

void Control::onEvent(bufferevent *From, short What, void *Self) {
  if ((What & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
    return;
  static_cast<Control *>(Self)->Streams.remove_if(
      [From](const StreamHandle &Each) { return Each.get() == From; });
}

} // namespace sapphiremoor::relay
