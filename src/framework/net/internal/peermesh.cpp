#include "framework/net/peermesh.h"

#include "framework/net/internal/peerlink.h"
#include "framework/net/internal/sockets.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <algorithm>
#include <ranges>

namespace sapphiremoor {

using detail::PeerLink;

namespace {
constexpr Duration SilenceCheckPeriod = std::chrono::milliseconds(100);
} // namespace

/// An address that is dialled again after each loss of its link.
struct PeerMesh::Dialled {
  Endpoint At;
  PeerLink *Link = nullptr;
  std::unique_ptr<Timer> Retry;
};

PeerMesh::PeerMesh(EventLoop &Loop, VmId Self, std::string ClusterKey,
                   const PeerLimits &Limits, PeerCallbacks Calls)
    : Loop(Loop), Self(std::move(Self)), ClusterKey(std::move(ClusterKey)),
      Limits(Limits), Calls(std::move(Calls)),
      SilenceCheck(Loop, [this] { checkSilence(); }) {
  SilenceCheck.startPeriodic(SilenceCheckPeriod);
}

PeerMesh::~PeerMesh() {
  if (Listener != nullptr)
    evconnlistener_free(Listener);
}

Result<uint16_t> PeerMesh::listen(const Endpoint &At) {
  const auto Opened = detail::listenOn(Loop.base(), At, onAccept, this);
  if (isError(Opened))
    return errorOf(Opened);
  const detail::BoundListener &Bound = valueOf(Opened);
  Listener = Bound.Listener;
  Own = {At.Address, Bound.Port};
  return Bound.Port;
}

void PeerMesh::dial(const Endpoint &At) {
  if (At == Own || Dials.contains(At))
    return;
  auto Added = std::make_unique<Dialled>();
  Added->At = At;
  Dialled &To = *Added;
  Added->Retry = std::make_unique<Timer>(Loop, [this, &To] { connect(To); });
  Dials.emplace(At, std::move(Added));
  connect(To);
}

void PeerMesh::forget(const Endpoint &At) { Dials.erase(At); }

bool PeerMesh::send(const std::string &Name, std::string_view Payload) {
  PeerLink *Link = newestLink(Name);
  return Link != nullptr && Link->pendingBytes() <= Limits.PendingBytes &&
         Link->send(Payload);
}

void PeerMesh::sendToAll(std::string_view Payload) {
  for (const auto &Link : Links)
    if (Link->open() && Link->pendingBytes() <= Limits.PendingBytes)
      Link->send(Payload);
}

std::size_t PeerMesh::pendingBytes(const std::string &Name) const {
  const PeerLink *Link = newestLink(Name);
  return Link == nullptr ? 0 : Link->pendingBytes();
}

void PeerMesh::onAccept(evconnlistener *, int Fd, sockaddr *, int, void *Self) {
  static_cast<PeerMesh *>(Self)->accept(Fd);
}

void PeerMesh::accept(int Fd) {
  detail::configureLinkSocket(Fd, Limits.SilentLimit);
  addLink(Fd, true);
}

void PeerMesh::connect(Dialled &To) {
  const Result<sockaddr_in> Address = detail::socketAddress(To.At);
  if (isError(Address))
    return;
  PeerLink &Link = addLink(-1, false);
  To.Link = &Link;
  bufferevent_socket_connect(
      Link.connection(), reinterpret_cast<const sockaddr *>(&valueOf(Address)),
      sizeof(sockaddr_in));
  const int Fd = bufferevent_getfd(Link.connection());
  if (Fd >= 0)
    detail::configureLinkSocket(Fd, Limits.SilentLimit);
}

PeerLink &PeerMesh::addLink(int Fd, bool Accepted) {
  PeerLink::Callbacks LinkCalls;
  LinkCalls.Opened = [this](PeerLink &Link) { opened(Link); };
  LinkCalls.Message = [this](PeerLink &Link, std::string_view Payload) {
    received(Link, Payload);
  };
  LinkCalls.Closed = [this](PeerLink &Link, const Error &Reason) {
    closed(Link, Reason);
  };
  const PeerLink::Role Side =
      Accepted ? PeerLink::Role::Accepted : PeerLink::Role::Dialled;
  bufferevent *Connection =
      bufferevent_socket_new(Loop.base(), Fd, BEV_OPT_CLOSE_ON_FREE);
  Links.push_back(std::make_unique<PeerLink>(Side, Connection, Self, ClusterKey,
                                             std::move(LinkCalls)));
  // A connection that never greets is closed by the silence check.
  Links.back()->LastHeard = Loop.now();
  return *Links.back();
}

void PeerMesh::opened(PeerLink &Link) {
  Link.LastHeard = Loop.now();
  // The newest link is the last one.
  const auto At =
      std::ranges::find(Links, &Link, &std::unique_ptr<PeerLink>::get);
  std::rotate(At, At + 1, Links.end());
  refresh(Link.remote().Name);
}

void PeerMesh::received(PeerLink &Link, std::string_view Payload) {
  Link.LastHeard = Loop.now();
  Calls.Message(Link.remote(), Payload);
}

void PeerMesh::closed(PeerLink &Link, const Error &Reason) {
  if (Reason.Kind == ErrorKind::BadFrame ||
      Reason.Kind == ErrorKind::CorruptData)
    Calls.Rejected(Link.remote().Name, Reason);
  const auto Found =
      std::ranges::find(Links, &Link, &std::unique_ptr<PeerLink>::get);
  if (Found == Links.end())
    return;
  // The link is still on the call stack, so a later event destroys it.
  std::shared_ptr<PeerLink> Dead(std::move(*Found));
  Links.erase(Found);
  for (const auto &[At, To] : Dials) {
    if (To->Link != &Link)
      continue;
    To->Link = nullptr;
    To->Retry->start(Limits.RetryDelay);
  }
  const std::string Name = Dead->remote().Name;
  Loop.post([Dead = std::move(Dead)] {});
  refresh(Name);
}

PeerLink *PeerMesh::newestLink(const std::string &Name) const {
  for (const auto &Link : std::views::reverse(Links))
    if (Link->open() && Link->remote().Name == Name)
      return Link.get();
  return nullptr;
}

void PeerMesh::refresh(const std::string &Name) {
  const PeerLink *Link = newestLink(Name);
  const auto Known = Up.find(Name);
  if (Known != Up.end() && Link != nullptr && Link->remote() == Known->second)
    return;
  if (Known != Up.end()) {
    const VmId Before = Known->second;
    Up.erase(Known);
    Calls.Down(Before);
  }
  if (Link == nullptr)
    return;
  const VmId Now = Link->remote();
  Up.emplace(Name, Now);
  Calls.Up(Now);
}

void PeerMesh::closeAll() {
  const Error Reason{ErrorKind::Timeout, "this VM stood still",
                     "check the load and the state of this VM"};
  while (!Links.empty())
    closed(*Links.back(), Reason);
}

void PeerMesh::checkSilence() {
  const Instant Now = Loop.now();
  const Error Silent{ErrorKind::Timeout, "the peer has been silent",
                     "check the other VM and the network"};
  std::vector<PeerLink *> Dead;
  for (const auto &Link : Links)
    if (Now - Link->LastHeard > Limits.SilentLimit)
      Dead.push_back(Link.get());
  for (PeerLink *Link : Dead)
    closed(*Link, Silent);
}

} // namespace sapphiremoor
