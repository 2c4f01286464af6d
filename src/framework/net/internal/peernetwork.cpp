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
  Endpoint RemoteEndpoint;
  std::unique_ptr<PeerLink> Outgoing;
  /// The newest accepted link from this peer. Owned by Accepted.
  PeerLink *Incoming = nullptr;
  std::unique_ptr<Timer> RetryTimer;
  std::optional<VmId> UpIncarnation;
};

PeerNetwork::PeerNetwork(EventLoop &Loop, VmId Self, std::string ClusterKey,
                         const PeerLimits &Limits, PeerCallbacks Callbacks)
    : Loop(Loop), Self(std::move(Self)), ClusterKey(std::move(ClusterKey)),
      Limits(Limits), Callbacks(std::move(Callbacks)),
      SilenceCheckTimer(Loop, [this] { checkSilence(); }) {
  SilenceCheckTimer.startPeriodic(SilenceCheckPeriod);
}

PeerNetwork::~PeerNetwork() {
  if (Listener != nullptr)
    evconnlistener_free(Listener);
}

Result<uint16_t> PeerNetwork::listen(const Endpoint &LocalEndpoint) {
  const auto ListenerOrErr =
      detail::createListener(Loop.base(), LocalEndpoint, onAccept, this);
  if (isError(ListenerOrErr))
    return errorOf(ListenerOrErr);
  const detail::BoundListener &NewListener = valueOf(ListenerOrErr);
  Listener = NewListener.Listener;
  return NewListener.Port;
}

void PeerNetwork::addPeer(const std::string &Name,
                          const Endpoint &RemoteEndpoint) {
  auto NewPeer = std::make_unique<Peer>();
  NewPeer->Name = Name;
  NewPeer->RemoteEndpoint = RemoteEndpoint;
  Peer &RemotePeer = *NewPeer;
  NewPeer->RetryTimer =
      std::make_unique<Timer>(Loop, [this, &RemotePeer] { dial(RemotePeer); });
  Peers[Name] = std::move(NewPeer);
  dial(RemotePeer);
}

bool PeerNetwork::send(const std::string &Name, std::string_view Payload) {
  const auto PeerIt = Peers.find(Name);
  if (PeerIt == Peers.end() || PeerIt->second->Outgoing == nullptr)
    return false;
  PeerLink &Link = *PeerIt->second->Outgoing;
  if (Link.pendingBytes() > Limits.MaxPendingBytes || !Link.send(Payload))
    return false;
  BytesSent += FrameHeaderBytes + Payload.size();
  return true;
}

std::optional<VmId> PeerNetwork::reachable(const std::string &Name) const {
  const auto PeerIt = Peers.find(Name);
  return PeerIt == Peers.end() ? std::nullopt : PeerIt->second->UpIncarnation;
}

void PeerNetwork::onAccept(evconnlistener *, int Fd, sockaddr *, int,
                           void *Self) {
  static_cast<PeerNetwork *>(Self)->accept(Fd);
}

void PeerNetwork::accept(int Fd) {
  detail::configureLinkSocket(Fd, Limits.SilenceTimeout);
  PeerLink::Callbacks LinkCallbacks;
  LinkCallbacks.OnOpened = [this](PeerLink &Link) {
    Link.LastActivity = Loop.now();
    const auto PeerIt = Peers.find(Link.remote().Name);
    if (PeerIt == Peers.end())
      return;
    PeerIt->second->Incoming = &Link;
    updatePeerState(*PeerIt->second);
  };
  LinkCallbacks.OnMessage = [this](PeerLink &Link, std::string_view Payload) {
    onMessage(Link, Payload);
  };
  LinkCallbacks.OnClosed = [this](PeerLink &Link, const Error &Reason) {
    onLinkClosed(Link, Reason);
  };
  bufferevent *Connection =
      bufferevent_socket_new(Loop.base(), Fd, BEV_OPT_CLOSE_ON_FREE);
  Accepted.push_back(std::make_unique<PeerLink>(PeerLink::LinkRole::Accepted,
                                                Connection, Self, ClusterKey,
                                                std::move(LinkCallbacks)));
  // The silence check closes a connection that never sends a greeting.
  Accepted.back()->LastActivity = Loop.now();
}

void PeerNetwork::dial(Peer &RemotePeer) {
  const Result<sockaddr_in> Address =
      detail::socketAddress(RemotePeer.RemoteEndpoint);
  if (isError(Address))
    return;
  PeerLink::Callbacks LinkCallbacks;
  LinkCallbacks.OnOpened = [this, &RemotePeer](PeerLink &) {
    updatePeerState(RemotePeer);
  };
  LinkCallbacks.OnMessage = [](PeerLink &, std::string_view) {};
  LinkCallbacks.OnClosed = [this](PeerLink &Link, const Error &Reason) {
    onLinkClosed(Link, Reason);
  };
  bufferevent *Connection =
      bufferevent_socket_new(Loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
  RemotePeer.Outgoing =
      std::make_unique<PeerLink>(PeerLink::LinkRole::Dialled, Connection, Self,
                                 ClusterKey, std::move(LinkCallbacks));
  RemotePeer.Outgoing->LastActivity = Loop.now();
  bufferevent_socket_connect(
      Connection, reinterpret_cast<const sockaddr *>(&valueOf(Address)),
      sizeof(sockaddr_in));
  const int Fd = bufferevent_getfd(Connection);
  if (Fd >= 0)
    detail::configureLinkSocket(Fd, Limits.SilenceTimeout);
}

void PeerNetwork::onLinkClosed(PeerLink &Link, const Error &Reason) {
  if (Reason.Kind == ErrorKind::BadFrame ||
      Reason.Kind == ErrorKind::CorruptData)
    Callbacks.OnLinkRejected(Link.remote().Name, Reason);
  // Bytes that the link has received already must not be handled any more.
  Link.disable();
  // The link is still on the call stack, so a later event destroys it.
  if (Link.role() == PeerLink::LinkRole::Accepted) {
    for (const auto &[Name, RemotePeer] : Peers) {
      if (RemotePeer->Incoming == &Link) {
        RemotePeer->Incoming = nullptr;
        updatePeerState(*RemotePeer);
      }
    }
    const auto LinkIt =
        std::ranges::find(Accepted, &Link, &std::unique_ptr<PeerLink>::get);
    if (LinkIt != Accepted.end()) {
      Loop.post([Dead = std::shared_ptr<PeerLink>(std::move(*LinkIt))] {});
      Accepted.erase(LinkIt);
    }
    return;
  }
  for (const auto &[Name, RemotePeer] : Peers) {
    if (RemotePeer->Outgoing.get() != &Link)
      continue;
    Loop.post(
        [Dead = std::shared_ptr<PeerLink>(std::move(RemotePeer->Outgoing))] {});
    RemotePeer->RetryTimer->start(Limits.RetryDelay);
    updatePeerState(*RemotePeer);
  }
}

void PeerNetwork::onMessage(PeerLink &Link, std::string_view Payload) {
  Link.LastActivity = Loop.now();
  BytesReceived += FrameHeaderBytes + Payload.size();
  Callbacks.OnMessage(Link.remote(), Payload);
}

void PeerNetwork::updatePeerState(Peer &RemotePeer) {
  const bool BothOpen =
      RemotePeer.Incoming != nullptr && RemotePeer.Outgoing != nullptr &&
      RemotePeer.Outgoing->open() &&
      RemotePeer.Incoming->remote() == RemotePeer.Outgoing->remote();
  const std::optional<VmId> Current =
      BothOpen ? std::optional(RemotePeer.Incoming->remote()) : std::nullopt;
  if (Current == RemotePeer.UpIncarnation)
    return;
  const std::optional<VmId> Previous =
      std::exchange(RemotePeer.UpIncarnation, Current);
  if (Previous.has_value())
    Callbacks.OnPeerDown(*Previous);
  if (Current.has_value())
    Callbacks.OnPeerUp(*Current);
}

void PeerNetwork::checkSilence() {
  detail::resumeAccepting(Listener);
  const Instant Now = Loop.now();
  const Error TimeoutError{
      ErrorKind::Timeout,
      "nothing was received from the peer VM within the limit",
      "check that the peer VM runs and is reachable"};
  std::vector<PeerLink *> SilentLinks;
  for (const auto &Link : Accepted)
    if (Now - Link->LastActivity > Limits.SilenceTimeout)
      SilentLinks.push_back(Link.get());
  for (const auto &[Name, RemotePeer] : Peers)
    if (RemotePeer->Outgoing != nullptr && !RemotePeer->Outgoing->open() &&
        Now - RemotePeer->Outgoing->LastActivity > Limits.SilenceTimeout)
      SilentLinks.push_back(RemotePeer->Outgoing.get());
  for (PeerLink *Link : SilentLinks)
    onLinkClosed(*Link, TimeoutError);
}

} // namespace sapphiremoor
