#ifndef SAPPHIREMOOR_DAEMON_PEERBUS_H
#define SAPPHIREMOOR_DAEMON_PEERBUS_H

#include "configuration/types/settings.h"
#include "daemon/types/peermessage.h"
#include "framework/net/peernetwork.h"

#include <array>
#include <functional>
#include <string>
#include <type_traits>
#include <variant>
#include <vector>

namespace sapphiremoor {

/// Sends and receives typed messages between daemons.
class PeerBus {
public:
  PeerBus(EventLoop &Loop, const Settings &VmSettings, const VmId &Self,
          const std::string &ClusterKey);

  /// Listens for links from peers and connects to all configured peers. Fails
  /// if the address cannot be bound.
  Result<Done> start();

  /// Calls \p Handler for each received message of type \p Message. A second
  /// call for the same type replaces the handler.
  template <typename Message>
  void onMessage(std::function<void(const VmId &, const Message &)> Handler) {
    Handlers[indexOf<Message>()] =
        [Handler = std::move(Handler)](const VmId &Sender,
                                       const PeerMessage &Received) {
          Handler(Sender, std::get<Message>(Received));
        };
  }

  /// Adds a handler that is called when a peer becomes reachable or
  /// unreachable.
  void onPeerUp(std::function<void(const VmId &)> Handler);
  void onPeerDown(std::function<void(const VmId &)> Handler);

  /// Sends to exactly this incarnation of a VM. Returns false if no link to it
  /// is up.
  bool send(const VmId &Target, const PeerMessage &Message);

  /// Sends to all VMs whose link is up.
  void broadcast(const PeerMessage &Message);

  const PeerNetwork &network() const { return Network; }

private:
  template <typename Message, std::size_t Index = 0>
  static constexpr std::size_t indexOf() {
    if constexpr (std::is_same_v<std::variant_alternative_t<Index, PeerMessage>,
                                 Message>)
      return Index;
    else
      return indexOf<Message, Index + 1>();
  }
  void handlePayload(const VmId &Sender, std::string_view Payload);
  void handlePeerUp(const VmId &Peer);
  void handlePeerDown(const VmId &Peer);

  using MessageHandler = std::function<void(const VmId &, const PeerMessage &)>;

  const Settings &VmSettings;
  std::array<MessageHandler, std::variant_size_v<PeerMessage>> Handlers;
  std::vector<std::function<void(const VmId &)>> PeerUpHandlers;
  std::vector<std::function<void(const VmId &)>> PeerDownHandlers;
  PeerNetwork Network;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_DAEMON_PEERBUS_H
