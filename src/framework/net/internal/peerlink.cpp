#include "framework/net/internal/peerlink.h"

#include "framework/codec/serial.h"
#include "framework/core/random.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <algorithm>

namespace sapphiremoor::detail {

namespace {

/// Sequence number of the first message on an open link.
constexpr uint64_t FirstSequence = 0;

Error linkClosedError() {
  return {ErrorKind::Unreachable, "the connection to the peer VM was closed",
          "check that the peer VM runs and is reachable"};
}

} // namespace

PeerLink::PeerLink(LinkRole Role, bufferevent *Connection, const VmId &Self,
                   const std::string &ClusterKey, Callbacks LinkCallbacks)
    : Role(Role), Connection(Connection), Self(Self), ClusterKey(ClusterKey),
      LinkCallbacks(std::move(LinkCallbacks)), OwnGreeting{Self,
                                                           secureRandom64()},
      ReceiveSecret(Role == LinkRole::Accepted
                        ? helloSecret(ClusterKey)
                        : welcomeSecret(ClusterKey, OwnGreeting)) {
  bufferevent_setcb(Connection, onReadable, nullptr, onEvent, this);
  bufferevent_enable(Connection, EV_READ | EV_WRITE);
}

PeerLink::~PeerLink() { bufferevent_free(Connection); }

bool PeerLink::send(std::string_view Payload) {
  if (!Open || Closed || Payload.size() > MaxFrameBytes)
    return false;
  const std::string Bytes =
      buildFrame(FrameType::Message, SendSequence++, Payload, SendSecret);
  return bufferevent_write(Connection, Bytes.data(), Bytes.size()) == 0;
}

std::size_t PeerLink::pendingBytes() const {
  return evbuffer_get_length(bufferevent_get_output(Connection));
}

void PeerLink::onReadable(bufferevent *, void *Self) {
  static_cast<PeerLink *>(Self)->readFrames();
}

void PeerLink::onEvent(bufferevent *, short Events, void *Self) {
  auto &Link = *static_cast<PeerLink *>(Self);
  if ((Events & BEV_EVENT_CONNECTED) != 0)
    Link.sendGreeting(FrameType::Hello, helloSecret(Link.ClusterKey));
  else
    Link.close(linkClosedError());
}

void PeerLink::sendGreeting(FrameType Type, const std::string &Secret) {
  const std::string Bytes = buildFrame(Type, 0, encode(OwnGreeting), Secret);
  bufferevent_write(Connection, Bytes.data(), Bytes.size());
}

void PeerLink::readFrames() {
  evbuffer *Input = bufferevent_get_input(Connection);
  while (!Closed) {
    const std::size_t BufferedBytes = evbuffer_get_length(Input);
    const std::size_t Limit = Open ? MaxFrameBytes : MaxHelloBytes;
    // Makes the bytes of at most one frame contiguous.
    const std::size_t ViewBytes =
        std::min(BufferedBytes, FrameHeaderBytes + Limit);
    const auto *Data = reinterpret_cast<const char *>(
        evbuffer_pullup(Input, static_cast<ev_ssize_t>(ViewBytes)));
    if (Data == nullptr)
      return;
    const auto R =
        readFrame({Data, ViewBytes}, ReceiveSequence, ReceiveSecret, Limit);
    if (isError(R)) {
      close(errorOf(R));
      return;
    }
    if (!valueOf(R).has_value())
      return;
    const std::size_t FrameBytes = valueOf(R)->TotalBytes;
    const Result<Done> Outcome = handleFrame(*valueOf(R));
    if (isError(Outcome)) {
      close(errorOf(Outcome));
      return;
    }
    evbuffer_drain(Input, FrameBytes);
  }
}

Result<Done> PeerLink::handleFrame(const Frame &Received) {
  if (Open) {
    if (Received.Type != FrameType::Message)
      return Error{ErrorKind::BadFrame,
                   "the peer VM sent a greeting on an open link",
                   "check that all VMs run the same version"};
    ++ReceiveSequence;
    LinkCallbacks.OnMessage(*this, Received.Payload);
    return Done{};
  }
  const FrameType Expected =
      Role == LinkRole::Accepted ? FrameType::Hello : FrameType::Welcome;
  if (Received.Type != Expected)
    return Error{ErrorKind::BadFrame,
                 "the peer VM did not send the expected greeting",
                 "check that all VMs run the same version"};
  const Result<Greeting> Decoded = decode<Greeting>(Received.Payload);
  if (isError(Decoded))
    return errorOf(Decoded);
  return Role == LinkRole::Accepted ? acceptHello(valueOf(Decoded))
                                    : acceptWelcome(valueOf(Decoded));
}

Result<Done> PeerLink::acceptHello(const Greeting &Hello) {
  Remote = Hello.Sender;
  sendGreeting(FrameType::Welcome, welcomeSecret(ClusterKey, Hello));
  ReceiveSecret = diallerSecret(ClusterKey, Hello, OwnGreeting);
  SendSecret = acceptorSecret(ClusterKey, Hello, OwnGreeting);
  SendSequence = FirstSequence;
  Open = true;
  LinkCallbacks.OnOpened(*this);
  return Done{};
}

Result<Done> PeerLink::acceptWelcome(const Greeting &Welcome) {
  Remote = Welcome.Sender;
  SendSecret = diallerSecret(ClusterKey, OwnGreeting, Welcome);
  ReceiveSecret = acceptorSecret(ClusterKey, OwnGreeting, Welcome);
  ReceiveSequence = FirstSequence;
  Open = true;
  LinkCallbacks.OnOpened(*this);
  return Done{};
}

void PeerLink::disable() {
  Closed = true;
  Open = false;
  bufferevent_disable(Connection, EV_READ | EV_WRITE);
}

void PeerLink::close(const Error &Reason) {
  if (Closed)
    return;
  disable();
  LinkCallbacks.OnClosed(*this, Reason);
}

} // namespace sapphiremoor::detail
