#include "relay.h"

#include "loopback.h"

#include <event2/buffer.h>
#include <event2/util.h>

#include <iterator>
#include <string>

namespace sapphiremoor::relay {

namespace {

std::string takeInput(bufferevent *From) {
  evbuffer *Input = bufferevent_get_input(From);
  std::string Bytes(evbuffer_get_length(Input), '\0');
  evbuffer_remove(Input, Bytes.data(), Bytes.size());
  return Bytes;
}

bool written(const StreamHandle &Stream) {
  return evbuffer_get_length(bufferevent_get_output(Stream.get())) == 0;
}

} // namespace

Relay::Relay(event_base *Base, uint16_t ListenPort, const sockaddr_in &Target)
    : Base(Base), Target(Target),
      Listener(listenOn(Base, ListenPort, onAccept, this)) {}

uint16_t Relay::port() const {
  return Listener == nullptr ? uint16_t{0} : portOf(Listener);
}

void Relay::setMode(const Mode &Wanted) {
  ForNew = Wanted.OpenOnly ? Mode() : Wanted;
  if (Wanted.Cut) {
    Links.clear();
    return;
  }
  for (Link &Open : Links) {
    Open.Frozen = Open.Frozen || Wanted.OpenOnly;
    // Reading again also reports an end that was ignored during a silence.
    apply(Open, Wanted);
  }
}

void Relay::apply(Link &To, const Mode &Wanted) {
  To.Up->setSwallow(Wanted.SwallowUp || To.Frozen);
  To.Down->setSwallow(Wanted.SwallowDown || To.Frozen);
  To.Up->setDelay(Wanted.Delay);
  To.Down->setDelay(Wanted.Delay);
  for (bufferevent *Stream : {To.Client.get(), To.Server.get()})
    if (Wanted.Hold)
      bufferevent_disable(Stream, EV_READ);
    else
      bufferevent_enable(Stream, EV_READ);
}

void Relay::onAccept(evconnlistener *, evutil_socket_t Socket, sockaddr *, int,
                     void *Self) {
  static_cast<Relay *>(Self)->accept(Socket);
}

void Relay::accept(evutil_socket_t Socket) {
  if (ForNew.Cut) {
    evutil_closesocket(Socket);
    return;
  }
  Link &Added = Links.emplace_back();
  Added.Place = std::prev(Links.end());
  Added.Owner = this;
  Added.Client.reset(
      bufferevent_socket_new(Base, Socket, BEV_OPT_CLOSE_ON_FREE));
  Added.Server.reset(bufferevent_socket_new(Base, -1, BEV_OPT_CLOSE_ON_FREE));
  const auto OnDrained = [this, &Added] { closeIfEnded(Added); };
  Added.Up = std::make_unique<Pipe>(Base, Added.Server.get(), OnDrained);
  Added.Down = std::make_unique<Pipe>(Base, Added.Client.get(), OnDrained);
  for (bufferevent *Stream : {Added.Client.get(), Added.Server.get()})
    bufferevent_setcb(Stream, onRead, onWritten, onEvent, &Added);
  bufferevent_socket_connect(Added.Server.get(),
                             reinterpret_cast<const sockaddr *>(&Target),
                             sizeof(Target));
  apply(Added, ForNew);
}

void Relay::onRead(bufferevent *From, void *Which) {
  auto &Here = *static_cast<Link *>(Which);
  Pipe &Way = From == Here.Client.get() ? *Here.Up : *Here.Down;
  Way.forward(takeInput(From));
}

void Relay::onWritten(bufferevent *, void *Which) {
  auto &Here = *static_cast<Link *>(Which);
  Here.Owner->closeIfEnded(Here);
}

void Relay::onEvent(bufferevent *From, short What, void *Which) {
  if ((What & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
    return;
  auto &Here = *static_cast<Link *>(Which);
  const bool FromClient = From == Here.Client.get();
  (FromClient ? Here.ClientEnded : Here.ServerEnded) = true;
  Here.Owner->closeIfEnded(Here);
}

/// A silent direction does not show the end of its sender either, so the
/// connection is kept until both sides have ended.
void Relay::closeIfEnded(Link &Of) {
  const bool ClientDone = Of.ClientEnded && !Of.Up->silent() &&
                          Of.Up->drained() && written(Of.Server);
  const bool ServerDone = Of.ServerEnded && !Of.Down->silent() &&
                          Of.Down->drained() && written(Of.Client);
  if (ClientDone || ServerDone || (Of.ClientEnded && Of.ServerEnded))
    Links.erase(Of.Place);
}

} // namespace sapphiremoor::relay
