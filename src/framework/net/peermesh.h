#ifndef SAPPHIREMOOR_FRAMEWORK_NET_PEERMESH_H
#define SAPPHIREMOOR_FRAMEWORK_NET_PEERMESH_H

#include "framework/core/result.h"
#include "framework/core/types/endpoint.h"
#include "framework/core/types/vmid.h"
#include "framework/net/eventloop.h"
#include "framework/net/peernetwork.h"
#include "framework/net/timer.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

struct evconnlistener;
struct sockaddr;

namespace sapphiremoor {

/// Authenticated links between VMs. Each link is one TCP connection that
/// carries messages in both directions. VMs are dialled by address; the name of
/// a VM is learned from its greeting. Used where no list of VMs is configured.
///
/// A link on which nothing arrives for PeerLimits::SilenceTimeout is closed, so
/// the owner must call sendToAll() several times within that time.
class PeerMesh {
public:
  PeerMesh(EventLoop &Loop, VmId Self, std::string ClusterKey,
           const PeerLimits &Limits, PeerCallbacks Callbacks);
  ~PeerMesh();
  PeerMesh(const PeerMesh &) = delete;
  PeerMesh &operator=(const PeerMesh &) = delete;

  /// Accepts links at \p LocalEndpoint. Returns the bound port.
  Result<uint16_t> listen(const Endpoint &LocalEndpoint);

  /// Dials \p RemoteEndpoint, and again after each loss of the link, until
  /// stopDialling(). Addresses that are already dialled and the own address are
  /// ignored.
  void dial(const Endpoint &RemoteEndpoint);
  /// Stops dialling \p RemoteEndpoint. An open link stays until it breaks.
  void stopDialling(const Endpoint &RemoteEndpoint);

  /// Sends \p Payload on the newest link to the process \p Peer. Returns false
  /// if there is no open link to this process, even if there is one to another
  /// process of its VM, or if more than PeerLimits::MaxPendingBytes are unsent
  /// on it.
  bool send(const VmId &Peer, std::string_view Payload);
  /// Sends \p Payload once on every open link, including parallel links to the
  /// same VM. Links with more than PeerLimits::MaxPendingBytes unsent bytes are
  /// skipped.
  void sendToAll(std::string_view Payload);

  /// Closes all links. Messages that have arrived on them are not delivered.
  /// Dialled links are dialled again.
  void closeAll();

  /// Returns the process of the VM \p Name that is reachable, if any.
  std::optional<VmId> reachable(const std::string &Name) const;
  bool isReachable(const VmId &Peer) const;
  /// Returns the number of unsent bytes on the newest link to \p Peer.
  std::size_t pendingBytes(const VmId &Peer) const;

private:
  struct DialTarget;
  static void onAccept(evconnlistener *, int Fd, sockaddr *, int, void *Self);
  void accept(int Fd);
  void connect(DialTarget &Target);
  detail::PeerLink &addLink(int Fd, bool Accepted);
  void onLinkOpened(detail::PeerLink &Link);
  void onMessage(detail::PeerLink &Link, std::string_view Payload);
  void onLinkClosed(detail::PeerLink &Link, const Error &Reason);
  /// Disables a link that is no longer in Links, and destroys it in a later
  /// event. If it was dialled, its address is dialled again.
  void discard(std::unique_ptr<detail::PeerLink> Link);
  void updatePeerState(const std::string &Name);
  void checkSilence();
  detail::PeerLink *newestLink(const std::string &Name) const;
  detail::PeerLink *newestLink(const VmId &Peer) const;

  EventLoop &Loop;
  VmId Self;
  std::string ClusterKey;
  PeerLimits Limits;
  PeerCallbacks Callbacks;
  Endpoint OwnEndpoint;
  evconnlistener *Listener = nullptr;
  /// Open links are in the order of their opening, the newest last.
  std::vector<std::unique_ptr<detail::PeerLink>> Links;
  std::map<Endpoint, std::unique_ptr<DialTarget>> DialTargets;
  std::map<std::string, VmId> UpPeers;
  Timer SilenceCheckTimer;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_FRAMEWORK_NET_PEERMESH_H
