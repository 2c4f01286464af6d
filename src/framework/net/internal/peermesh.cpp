#include "framework/net/peermesh.h"

#include "framework/net/internal/peerlink.h"
#include "framework/net/internal/sockets.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

namespace sapphiremoor {

using detail::PeerLink;

namespace {
constexpr Duration SilenceCheckPeriod = std::chrono::milliseconds(100);
} // namespace

/// An address that is dialled again after each loss of its link.
struct PeerMesh::DialTarget {
  Endpoint RemoteEndpoint;
  PeerLink *Link = nullptr;
  std::unique_ptr<Timer> RetryTimer;
};

PeerMesh::PeerMesh(EventLoop &Loop, VmId Self, std::string ClusterKey,
                   const PeerLimits &Limits, PeerCallbacks Callbacks)
    : Loop(Loop), Self(std::move(Self)), ClusterKey(std::move(ClusterKey)),
      Limits(Limits), Callbacks(std::move(Callbacks)),
      SilenceCheckTimer(Loop, [this] { checkSilence(); }) {
  SilenceCheckTimer.startPeriodic(SilenceCheckPeriod);
}

PeerMesh::~PeerMesh() {
  if (Listener != nullptr)
    evconnlistener_free(Listener);
}

Result<uint16_t> PeerMesh::listen(const Endpoint &LocalEndpoint) {
  const auto ListenerOrErr =
      detail::createListener(Loop.base(), LocalEndpoint, onAccept, this);
  if (isError(ListenerOrErr))
    return errorOf(ListenerOrErr);
  const detail::BoundListener &NewListener = valueOf(ListenerOrErr);
  Listener = NewListener.Listener;
  OwnEndpoint = {LocalEndpoint.Address, NewListener.Port};
  return NewListener.Port;
}

void PeerMesh::dial(const Endpoint &RemoteEndpoint) {
  if (RemoteEndpoint == OwnEndpoint || DialTargets.contains(RemoteEndpoint))
    return;
  auto NewTarget = std::make_unique<DialTarget>();
  NewTarget->RemoteEndpoint = RemoteEndpoint;
  DialTarget &Target = *NewTarget;
  NewTarget->RetryTimer =
      std::make_unique<Timer>(Loop, [this, &Target] { connect(Target); });
  DialTargets.emplace(RemoteEndpoint, std::move(NewTarget));
  connect(Target);
}

void PeerMesh::stopDialling(const Endpoint &RemoteEndpoint) {
  DialTargets.erase(RemoteEndpoint);
}

bool PeerMesh::send(const VmId &Peer, std::string_view Payload) {
  PeerLink *Link = newestLink(Peer);
  return Link != nullptr && Link->pendingBytes() <= Limits.MaxPendingBytes &&
         Link->send(Payload);
}

void PeerMesh::sendToAll(std::string_view Payload) {
  for (const auto &Link : Links)
    if (Link->open() && Link->pendingBytes() <= Limits.MaxPendingBytes)
      Link->send(Payload);
}

std::optional<VmId> PeerMesh::reachable(const std::string &Name) const {
  const auto UpIt = UpPeers.find(Name);
  return UpIt == UpPeers.end() ? std::nullopt : std::optional(UpIt->second);
}

bool PeerMesh::isReachable(const VmId &Peer) const {
  const auto UpIt = UpPeers.find(Peer.Name);
  return UpIt != UpPeers.end() && UpIt->second == Peer;
}

std::size_t PeerMesh::pendingBytes(const VmId &Peer) const {
  const PeerLink *Link = newestLink(Peer);
  return Link == nullptr ? 0 : Link->pendingBytes();
}

void PeerMesh::onAccept(evconnlistener *, int Fd, sockaddr *, int, void *Self) {
  static_cast<PeerMesh *>(Self)->accept(Fd);
}

void PeerMesh::accept(int Fd) {
  detail::configureLinkSocket(Fd, Limits.SilenceTimeout);
  addLink(Fd, true);
}

void PeerMesh::connect(DialTarget &Target) {
  const Result<sockaddr_in> Address =
      detail::socketAddress(Target.RemoteEndpoint);
  if (isError(Address))
    return;
  PeerLink &Link = addLink(-1, false);
  Target.Link = &Link;
  bufferevent_socket_connect(
      Link.connection(), reinterpret_cast<const sockaddr *>(&valueOf(Address)),
      sizeof(sockaddr_in));
  const int Fd = bufferevent_getfd(Link.connection());
  if (Fd >= 0)
    detail::configureLinkSocket(Fd, Limits.SilenceTimeout);
}

PeerLink &PeerMesh::addLink(int Fd, bool Accepted) {
  PeerLink::Callbacks LinkCallbacks;
  LinkCallbacks.OnOpened = [this](PeerLink &Link) { onLinkOpened(Link); };
  LinkCallbacks.OnMessage = [this](PeerLink &Link, std::string_view Payload) {
    onMessage(Link, Payload);
  };
  LinkCallbacks.OnClosed = [this](PeerLink &Link, const Error &Reason) {
    onLinkClosed(Link, Reason);
  };
  const PeerLink::LinkRole Role =
      Accepted ? PeerLink::LinkRole::Accepted : PeerLink::LinkRole::Dialled;
  bufferevent *Connection =
      bufferevent_socket_new(Loop.base(), Fd, BEV_OPT_CLOSE_ON_FREE);
  Links.push_back(std::make_unique<PeerLink>(Role, Connection, Self, ClusterKey,
                                             std::move(LinkCallbacks)));
  // The silence check closes a connection that never sends a greeting.
  Links.back()->LastActivity = Loop.now();
  return *Links.back();
}

void PeerMesh::onLinkOpened(PeerLink &Link) {
  Link.LastActivity = Loop.now();
  // Moves the link to the end, because the newest link is the last one.
  const auto LinkIt =
      std::ranges::find(Links, &Link, &std::unique_ptr<PeerLink>::get);
  std::rotate(LinkIt, LinkIt + 1, Links.end());
  updatePeerState(Link.remote().Name);
}

void PeerMesh::onMessage(PeerLink &Link, std::string_view Payload) {
  Link.LastActivity = Loop.now();
  // The owner has been told that a former process is down and has dropped what
  // belongs to it, so a late message of that process must not be handled.
  if (isReachable(Link.remote()))
    Callbacks.OnMessage(Link.remote(), Payload);
}

void PeerMesh::onLinkClosed(PeerLink &Link, const Error &Reason) {
  if (Reason.Kind == ErrorKind::BadFrame ||
      Reason.Kind == ErrorKind::CorruptData)
    Callbacks.OnLinkRejected(Link.remote().Name, Reason);
  const auto LinkIt =
      std::ranges::find(Links, &Link, &std::unique_ptr<PeerLink>::get);
  if (LinkIt == Links.end())
    return;
  std::unique_ptr<PeerLink> ClosedLink = std::move(*LinkIt);
  Links.erase(LinkIt);
  const std::string Name = ClosedLink->remote().Name;
  discard(std::move(ClosedLink));
  updatePeerState(Name);
}

void PeerMesh::discard(std::unique_ptr<PeerLink> Link) {
  // Bytes that the link has received already must not be handled any more: it
  // is not listed in Links.
  Link->disable();
  for (const auto &[RemoteEndpoint, Target] : DialTargets) {
    if (Target->Link != Link.get())
      continue;
    Target->Link = nullptr;
    Target->RetryTimer->start(Limits.RetryDelay);
  }
  // The link may be on the call stack, so a later event destroys it.
  Loop.post([Dead = std::shared_ptr<PeerLink>(std::move(Link))] {});
}

PeerLink *PeerMesh::newestLink(const std::string &Name) const {
  for (const auto &Link : std::views::reverse(Links))
    if (Link->open() && Link->remote().Name == Name)
      return Link.get();
  return nullptr;
}

PeerLink *PeerMesh::newestLink(const VmId &Peer) const {
  for (const auto &Link : std::views::reverse(Links))
    if (Link->open() && Link->remote() == Peer)
      return Link.get();
  return nullptr;
}

void PeerMesh::updatePeerState(const std::string &Name) {
  const PeerLink *Link = newestLink(Name);
  const auto UpIt = UpPeers.find(Name);
  if (UpIt != UpPeers.end() && Link != nullptr &&
      Link->remote() == UpIt->second)
    return;
  if (UpIt != UpPeers.end()) {
    const VmId Previous = UpIt->second;
    UpPeers.erase(UpIt);
    Callbacks.OnPeerDown(Previous);
  }
  if (Link == nullptr)
    return;
  const VmId Current = Link->remote();
  UpPeers.emplace(Name, Current);
  Callbacks.OnPeerUp(Current);
}

void PeerMesh::closeAll() {
  // All links are closed before any peer is reported as down, so that no peer
  // is reported as up because of a parallel link that is closed next.
  for (std::unique_ptr<PeerLink> &Link : std::exchange(Links, {}))
    discard(std::move(Link));
  std::vector<std::string> Names;
  std::ranges::copy(std::views::keys(UpPeers), std::back_inserter(Names));
  for (const std::string &Name : Names)
    updatePeerState(Name);
}

void PeerMesh::checkSilence() {
  detail::resumeAccepting(Listener);
  const Instant Now = Loop.now();
  const Error TimeoutError{
      ErrorKind::Timeout,
      "nothing was received from the peer VM within the limit",
      "check that the peer VM runs and is reachable"};
  std::vector<PeerLink *> SilentLinks;
  for (const auto &Link : Links)
    if (Now - Link->LastActivity > Limits.SilenceTimeout)
      SilentLinks.push_back(Link.get());
  for (PeerLink *Link : SilentLinks)
    onLinkClosed(*Link, TimeoutError);
}

} // namespace sapphiremoor
