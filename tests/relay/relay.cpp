#include "relay.h"

#include "loopback.h"

#include <event2/buffer.h>
#include <event2/util.h>

#include <iterator>
#include <string>

namespace sapphiremoor::relay {

namespace {

std::string takeInput(bufferevent *Stream) {
  evbuffer *Input = bufferevent_get_input(Stream);
  std::string Bytes(evbuffer_get_length(Input), '\0');
  evbuffer_remove(Input, Bytes.data(), Bytes.size());
  return Bytes;
}

bool outputFlushed(const StreamHandle &Stream) {
  return evbuffer_get_length(bufferevent_get_output(Stream.get())) == 0;
}

} // namespace

Relay::Relay(event_base *Base, uint16_t ListenPort, const sockaddr_in &Target)
    : Base(Base), Target(Target),
      Listener(listenOnLoopback(Base, ListenPort, onAccept, this)) {}

uint16_t Relay::port() const {
  return Listener == nullptr ? uint16_t{0} : boundPort(Listener);
}

void Relay::setMode(const Mode &NewMode) {
  NewConnectionMode = NewMode.ExistingOnly ? Mode() : NewMode;
  if (NewMode.Cut) {
    Connections.clear();
    return;
  }
  for (Connection &Conn : Connections) {
    Conn.Frozen = Conn.Frozen || NewMode.ExistingOnly;
    // Enabling reads again also reports a close that was not forwarded while
    // data was dropped.
    applyMode(Conn, NewMode);
  }
}

void Relay::applyMode(Connection &Conn, const Mode &NewMode) {
  Conn.Upstream->setDropping(NewMode.DropUpstream || Conn.Frozen);
  Conn.Downstream->setDropping(NewMode.DropDownstream || Conn.Frozen);
  Conn.Upstream->setDelay(NewMode.Delay);
  Conn.Downstream->setDelay(NewMode.Delay);
  for (bufferevent *Stream : {Conn.Client.get(), Conn.Server.get()})
    if (NewMode.Hold)
      bufferevent_disable(Stream, EV_READ);
    else
      bufferevent_enable(Stream, EV_READ);
}

void Relay::onAccept(evconnlistener *, evutil_socket_t Socket, sockaddr *, int,
                     void *Self) {
  static_cast<Relay *>(Self)->accept(Socket);
}

void Relay::accept(evutil_socket_t Socket) {
  if (NewConnectionMode.Cut) {
    evutil_closesocket(Socket);
    return;
  }
  Connection &NewConnection = Connections.emplace_back();
  NewConnection.SelfIt = std::prev(Connections.end());
  NewConnection.Owner = this;
  NewConnection.Client.reset(
      bufferevent_socket_new(Base, Socket, BEV_OPT_CLOSE_ON_FREE));
  NewConnection.Server.reset(
      bufferevent_socket_new(Base, -1, BEV_OPT_CLOSE_ON_FREE));
  const auto OnDrained = [this, &NewConnection] {
    closeIfEnded(NewConnection);
  };
  NewConnection.Upstream =
      std::make_unique<Pipe>(Base, NewConnection.Server.get(), OnDrained);
  NewConnection.Downstream =
      std::make_unique<Pipe>(Base, NewConnection.Client.get(), OnDrained);
  for (bufferevent *Stream :
       {NewConnection.Client.get(), NewConnection.Server.get()})
    bufferevent_setcb(Stream, onRead, onOutputFlushed, onEvent, &NewConnection);
  bufferevent_socket_connect(NewConnection.Server.get(),
                             reinterpret_cast<const sockaddr *>(&Target),
                             sizeof(Target));
  applyMode(NewConnection, NewConnectionMode);
}

void Relay::onRead(bufferevent *Stream, void *Context) {
  auto &Conn = *static_cast<Connection *>(Context);
  Pipe &Direction =
      Stream == Conn.Client.get() ? *Conn.Upstream : *Conn.Downstream;
  Direction.forward(takeInput(Stream));
}

void Relay::onOutputFlushed(bufferevent *, void *Context) {
  auto &Conn = *static_cast<Connection *>(Context);
  Conn.Owner->closeIfEnded(Conn);
}

void Relay::onEvent(bufferevent *Stream, short Events, void *Context) {
  if ((Events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
    return;
  auto &Conn = *static_cast<Connection *>(Context);
  const bool FromClient = Stream == Conn.Client.get();
  (FromClient ? Conn.ClientClosed : Conn.ServerClosed) = true;
  Conn.Owner->closeIfEnded(Conn);
}

/// A direction that drops data does not forward the close of its sender either,
/// so the connection stays open until both sides have closed.
void Relay::closeIfEnded(Connection &Conn) {
  const bool ClientDone = Conn.ClientClosed && !Conn.Upstream->silent() &&
                          Conn.Upstream->drained() &&
                          outputFlushed(Conn.Server);
  const bool ServerDone = Conn.ServerClosed && !Conn.Downstream->silent() &&
                          Conn.Downstream->drained() &&
                          outputFlushed(Conn.Client);
  if (ClientDone || ServerDone || (Conn.ClientClosed && Conn.ServerClosed))
    Connections.erase(Conn.SelfIt);
}

} // namespace sapphiremoor::relay
