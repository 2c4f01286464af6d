#include "framework/net/peernetwork.h"

#include "framework/net/internal/peerlink.h"
#include "framework/net/internal/sockets.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <algorithm>

namespace sapphiremoor {

using detail::PeerLink;

namespace {
constexpr Duration SilenceCheckPeriod = std::chrono::milliseconds(250);
} // namespace

struct PeerNetwork::Peer {
  std::string Name;
  Endpoint At;
  std::unique_ptr<PeerLink> Outgoing;
  /// The newest accepted link from this peer; owned by Accepted.
  PeerLink *Incoming = nullptr;
  std::unique_ptr<Timer> Retry;
  std::optional<VmId> Up;
};

PeerNetwork::PeerNetwork(EventLoop &Loop, VmId Self, std::string ClusterKey,
                         const PeerLimits &Limits, PeerCallbacks Calls)
    : Loop(Loop), Self(std::move(Self)), ClusterKey(std::move(ClusterKey)),
      Limits(Limits), Calls(std::move(Calls)),
      SilenceCheck(Loop, [this] { checkSilence(); }) {
  SilenceCheck.startPeriodic(SilenceCheckPeriod);
}

PeerNetwork::~PeerNetwork() {
  if (Listener != nullptr)
    evconnlistener_free(Listener);
}

Result<uint16_t> PeerNetwork::listen(const Endpoint &At) {
  const auto Opened = detail::listenOn(Loop.base(), At, onAccept, this);
  if (isError(Opened))
    return errorOf(Opened);
  const detail::BoundListener &Bound = valueOf(Opened);
  Listener = Bound.Listener;
  return Bound.Port;
}

void PeerNetwork::addPeer(const std::string &Name, const Endpoint &At) {
  auto Added = std::make_unique<Peer>();
  Added->Name = Name;
  Added->At = At;
  Peer &To = *Added;
  Added->Retry = std::make_unique<Timer>(Loop, [this, &To] { dial(To); });
  Peers[Name] = std::move(Added);
  dial(To);
}

bool PeerNetwork::send(const std::string &Name, std::string_view Payload) {
  const auto Found = Peers.find(Name);
  if (Found == Peers.end() || Found->second->Outgoing == nullptr)
    return false;
  PeerLink &Link = *Found->second->Outgoing;
  if (Link.pendingBytes() > Limits.PendingBytes || !Link.send(Payload))
    return false;
  BytesSent += FrameHeaderBytes + Payload.size();
  return true;
}

std::optional<VmId> PeerNetwork::reachable(const std::string &Name) const {
  const auto Found = Peers.find(Name);
  return Found == Peers.end() ? std::nullopt : Found->second->Up;
}

void PeerNetwork::onAccept(evconnlistener *, int Fd, sockaddr *, int,
                           void *Self) {
  static_cast<PeerNetwork *>(Self)->accept(Fd);
}

void PeerNetwork::accept(int Fd) {
  detail::configureLinkSocket(Fd, Limits.SilentLimit);
  PeerLink::Callbacks LinkCalls;
  LinkCalls.Opened = [this](PeerLink &Link) {
    Link.LastHeard = Loop.now();
    const auto Found = Peers.find(Link.remote().Name);
    if (Found == Peers.end())
      return;
    Found->second->Incoming = &Link;
    refresh(*Found->second);
  };
  LinkCalls.Message = [this](PeerLink &Link, std::string_view Payload) {
    received(Link, Payload);
  };
  LinkCalls.Closed = [this](PeerLink &Link, const Error &Reason) {
    linkClosed(Link, Reason);
  };
  bufferevent *Connection =
      bufferevent_socket_new(Loop.base(), Fd, BEV_OPT_CLOSE_ON_FREE);
  Accepted.push_back(std::make_unique<PeerLink>(PeerLink::Role::Accepted,
                                                Connection, Self, ClusterKey,
                                                std::move(LinkCalls)));
  // A connection that never greets is closed by the silence check.
  Accepted.back()->LastHeard = Loop.now();
}

void PeerNetwork::dial(Peer &To) {
  const Result<sockaddr_in> Address = detail::socketAddress(To.At);
  if (isError(Address))
    return;
  PeerLink::Callbacks LinkCalls;
  LinkCalls.Opened = [this, &To](PeerLink &) { refresh(To); };
  LinkCalls.Message = [](PeerLink &, std::string_view) {};
  LinkCalls.Closed = [this](PeerLink &Link, const Error &Reason) {
    linkClosed(Link, Reason);
  };
  bufferevent *Connection =
      bufferevent_socket_new(Loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
  To.Outgoing =
      std::make_unique<PeerLink>(PeerLink::Role::Dialled, Connection, Self,
                                 ClusterKey, std::move(LinkCalls));
  To.Outgoing->LastHeard = Loop.now();
  bufferevent_socket_connect(
      Connection, reinterpret_cast<const sockaddr *>(&valueOf(Address)),
      sizeof(sockaddr_in));
  const int Fd = bufferevent_getfd(Connection);
  if (Fd >= 0)
    detail::configureLinkSocket(Fd, Limits.SilentLimit);
}

void PeerNetwork::linkClosed(PeerLink &Link, const Error &Reason) {
  if (Reason.Kind == ErrorKind::BadFrame ||
      Reason.Kind == ErrorKind::CorruptData)
    Calls.Rejected(Link.remote().Name, Reason);
  // The link is still on the call stack, so a later event destroys it.
  if (Link.side() == PeerLink::Role::Accepted) {
    for (const auto &[Name, Known] : Peers) {
      if (Known->Incoming == &Link) {
        Known->Incoming = nullptr;
        refresh(*Known);
      }
    }
    const auto Found =
        std::ranges::find(Accepted, &Link, &std::unique_ptr<PeerLink>::get);
    if (Found != Accepted.end()) {
      Loop.post([Dead = std::shared_ptr<PeerLink>(std::move(*Found))] {});
      Accepted.erase(Found);
    }
    return;
  }
  for (const auto &[Name, Known] : Peers) {
    if (Known->Outgoing.get() != &Link)
      continue;
    Loop.post(
        [Dead = std::shared_ptr<PeerLink>(std::move(Known->Outgoing))] {});
    Known->Retry->start(Limits.RetryDelay);
    refresh(*Known);
  }
}

void PeerNetwork::received(PeerLink &Link, std::string_view Payload) {
  Link.LastHeard = Loop.now();
  BytesReceived += FrameHeaderBytes + Payload.size();
  Calls.Message(Link.remote(), Payload);
}

void PeerNetwork::refresh(Peer &Changed) {
  const bool BothOpen =
      Changed.Incoming != nullptr && Changed.Outgoing != nullptr &&
      Changed.Outgoing->open() &&
      Changed.Incoming->remote() == Changed.Outgoing->remote();
  const std::optional<VmId> Now =
      BothOpen ? std::optional(Changed.Incoming->remote()) : std::nullopt;
  if (Now == Changed.Up)
    return;
  const std::optional<VmId> Before = std::exchange(Changed.Up, Now);
  if (Before.has_value())
    Calls.Down(*Before);
  if (Now.has_value())
    Calls.Up(*Now);
}

void PeerNetwork::checkSilence() {
  const Instant Now = Loop.now();
  const Error Silent{ErrorKind::Timeout, "the peer has been silent",
                     "check the other VM and the network"};
  std::vector<PeerLink *> Dead;
  for (const auto &Link : Accepted)
    if (Now - Link->LastHeard > Limits.SilentLimit)
      Dead.push_back(Link.get());
  for (const auto &[Name, Known] : Peers)
    if (Known->Outgoing != nullptr && !Known->Outgoing->open() &&
        Now - Known->Outgoing->LastHeard > Limits.SilentLimit)
      Dead.push_back(Known->Outgoing.get());
  for (PeerLink *Link : Dead)
    linkClosed(*Link, Silent);
}

} // namespace sapphiremoor
