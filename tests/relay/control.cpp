#include "control.h"

#include "loopback.h"

#include <event2/buffer.h>

#include <cstdlib>
#include <memory>
#include <string>

namespace sapphiremoor::relay {

ControlServer::ControlServer(event_base *Base, uint16_t ListenPort,
                             Relay &TargetRelay)
    : Base(Base), TargetRelay(TargetRelay),
      Listener(listenOnLoopback(Base, ListenPort, onAccept, this)) {}

uint16_t ControlServer::port() const {
  return Listener == nullptr ? uint16_t{0} : boundPort(Listener);
}

void ControlServer::onAccept(evconnlistener *, evutil_socket_t Socket,
                             sockaddr *, int, void *Self) {
  auto &Server = *static_cast<ControlServer *>(Self);
  bufferevent *Stream =
      bufferevent_socket_new(Server.Base, Socket, BEV_OPT_CLOSE_ON_FREE);
  Server.Streams.emplace_back(Stream);
  bufferevent_setcb(Stream, onRead, nullptr, onEvent, Self);
  bufferevent_enable(Stream, EV_READ);
}

void ControlServer::onRead(bufferevent *Stream, void *Self) {
  auto &Server = *static_cast<ControlServer *>(Self);
  evbuffer *Input = bufferevent_get_input(Stream);
  using LineHandle = std::unique_ptr<char, decltype(&std::free)>;
  while (const LineHandle Line{
      evbuffer_readln(Input, nullptr, EVBUFFER_EOL_CRLF), std::free}) {
    const auto NewMode = parseMode(Line.get());
    if (NewMode)
      Server.TargetRelay.setMode(*NewMode);
    const std::string Answer = NewMode ? "ok\n" : "error\n";
    bufferevent_write(Stream, Answer.data(), Answer.size());
  }
}

void ControlServer::onEvent(bufferevent *Stream, short Events, void *Self) {
  if ((Events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
    return;
  static_cast<ControlServer *>(Self)->Streams.remove_if(
      [Stream](const StreamHandle &OpenStream) {
        return OpenStream.get() == Stream;
      });
}

} // namespace sapphiremoor::relay
