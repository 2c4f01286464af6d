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
#include <string>
#include <string_view>
#include <vector>

struct evconnlistener;
struct sockaddr;

namespace sapphiremoor {

/// Authenticated links in both directions over one TCP connection each, between
/// VMs that know addresses but no names beforehand: a name is learned from the
/// greeting. Used where no list of VMs is configured.
///
/// A link on which nothing arrives for PeerLimits::SilentLimit is closed, so
/// the owner has to call sendToAll() several times within that limit.
class PeerMesh {
public:
  PeerMesh(EventLoop &Loop, VmId Self, std::string ClusterKey,
           const PeerLimits &Limits, PeerCallbacks Callbacks);
  ~PeerMesh();
  PeerMesh(const PeerMesh &) = delete;
  PeerMesh &operator=(const PeerMesh &) = delete;

  /// Accepts links at \p At. Returns the bound port.
  Result<uint16_t> listen(const Endpoint &LocalEndpoint);

  /// Keeps a link to the VM at \p At until stopDialling(). Known addresses and
  /// the own one are ignored.
  void dial(const Endpoint &RemoteEndpoint);
  /// Stops dialling \p At; an open link stays until it breaks.
  void stopDialling(const Endpoint &RemoteEndpoint);

  /// Sends \p Payload on the newest link to \p Name; false if there is none.
  bool send(const std::string &Name, std::string_view Payload);
  /// Sends \p Payload once on every open link, also on parallel ones.
  void sendToAll(std::string_view Payload);

  /// Closes all links; those that were dialled are dialled again.
  void closeAll();

  bool reachable(const std::string &Name) const {
    return UpPeers.contains(Name);
  }
  /// Bytes that wait to be written to \p Name.
  std::size_t pendingBytes(const std::string &Name) const;

private:
  struct DialTarget;
  static void onAccept(evconnlistener *, int Fd, sockaddr *, int, void *Self);
  void accept(int Fd);
  void connect(DialTarget &Target);
  detail::PeerLink &addLink(int Fd, bool Accepted);
  void onLinkOpened(detail::PeerLink &Link);
  void onMessage(detail::PeerLink &Link, std::string_view Payload);
  void onLinkClosed(detail::PeerLink &Link, const Error &Reason);
  void updatePeerState(const std::string &Name);
  void checkSilence();
  detail::PeerLink *newestLink(const std::string &Name) const;

  EventLoop &Loop;
  VmId Self;
  std::string ClusterKey;
  PeerLimits Limits;
  PeerCallbacks Callbacks;
  Endpoint OwnEndpoint;
  evconnlistener *Listener = nullptr;
  /// In the order of their opening.
  std::vector<std::unique_ptr<detail::PeerLink>> Links;
  std::map<Endpoint, std::unique_ptr<DialTarget>> DialTargets;
  std::map<std::string, VmId> UpPeers;
  Timer SilenceCheckTimer;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_FRAMEWORK_NET_PEERMESH_H
