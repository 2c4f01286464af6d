#ifndef SAPPHIREMOOR_FRAMEWORK_NET_PEERNETWORK_H
#define SAPPHIREMOOR_FRAMEWORK_NET_PEERNETWORK_H

#include "framework/core/result.h"
#include "framework/core/types/endpoint.h"
#include "framework/core/types/vmid.h"
#include "framework/net/eventloop.h"
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

namespace detail {
class PeerLink;
} // namespace detail

/// Limits of the links between VMs.
struct PeerLimits {
  /// A link on which nothing arrives for this time is closed.
  Duration SilenceTimeout = std::chrono::seconds(3);
  Duration RetryDelay = std::chrono::milliseconds(250);
  /// Messages are refused on a link with more unsent bytes.
  std::size_t MaxPendingBytes = std::size_t{64} << 20;
};

/// Callbacks to the owner of a PeerNetwork or a PeerMesh.
struct PeerCallbacks {
  /// With a PeerMesh, called only between OnPeerUp and OnPeerDown of the
  /// sender.
  std::function<void(const VmId &, std::string_view)> OnMessage;
  /// Called when messages can be exchanged with the peer in both directions.
  std::function<void(const VmId &)> OnPeerUp;
  std::function<void(const VmId &)> OnPeerDown;
  std::function<void(const std::string &, const Error &)> OnLinkRejected;
};

/// Authenticated links to all other VMs, with one TCP connection for each
/// direction. A message is delivered at most once. It is lost if the link
/// breaks.
class PeerNetwork {
public:
  PeerNetwork(EventLoop &Loop, VmId Self, std::string ClusterKey,
              const PeerLimits &Limits, PeerCallbacks Callbacks);
  ~PeerNetwork();
  PeerNetwork(const PeerNetwork &) = delete;
  PeerNetwork &operator=(const PeerNetwork &) = delete;

  /// Accepts links at \p LocalEndpoint. Returns the bound port.
  Result<uint16_t> listen(const Endpoint &LocalEndpoint);

  /// Dials the VM \p Name at \p RemoteEndpoint, and again after each loss of
  /// the link.
  void addPeer(const std::string &Name, const Endpoint &RemoteEndpoint);

  /// Sends \p Payload to \p Name. Returns false if there is no open link or if
  /// more than PeerLimits::MaxPendingBytes are unsent on it.
  bool send(const std::string &Name, std::string_view Payload);

  /// Returns the reachable incarnation of \p Name, if any.
  std::optional<VmId> reachable(const std::string &Name) const;

  uint64_t bytesSent() const { return BytesSent; }
  uint64_t bytesReceived() const { return BytesReceived; }

private:
  struct Peer;
  static void onAccept(evconnlistener *, int Fd, sockaddr *, int, void *Self);
  void accept(int Fd);
  void dial(Peer &RemotePeer);
  void onLinkClosed(detail::PeerLink &Link, const Error &Reason);
  void onMessage(detail::PeerLink &Link, std::string_view Payload);
  void updatePeerState(Peer &RemotePeer);
  void checkSilence();

  EventLoop &Loop;
  VmId Self;
  std::string ClusterKey;
  PeerLimits Limits;
  PeerCallbacks Callbacks;
  evconnlistener *Listener = nullptr;
  std::map<std::string, std::unique_ptr<Peer>> Peers;
  std::vector<std::unique_ptr<detail::PeerLink>> Accepted;
  Timer SilenceCheckTimer;
  uint64_t BytesSent = 0;
  uint64_t BytesReceived = 0;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_FRAMEWORK_NET_PEERNETWORK_H
