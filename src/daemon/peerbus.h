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

  /// Accepts links and dials all peers.
  Result<Done> start();

  /// Calls \p Handler for each received message of the type \p Message.
  template <typename Message>
  void onMessage(std::function<void(const VmId &, const Message &)> Handler) {
    Handlers[indexOf<Message>()] =
        [Handler = std::move(Handler)](const VmId &Sender,
                                       const PeerMessage &Received) {
          Handler(Sender, std::get<Message>(Received));
        };
  }

  /// Calls \p Handler when a peer can be reached or no longer can.
  void onPeerUp(std::function<void(const VmId &)> Handler);
  void onPeerDown(std::function<void(const VmId &)> Handler);

  /// Sends to exactly this incarnation. Returns false if it is not linked.
  bool send(const VmId &Target, const PeerMessage &Message);

  /// Sends to all linked VMs.
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
