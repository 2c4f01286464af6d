#include "daemon/peerbus.h"

#include "framework/codec/serial.h"
#include "framework/eventlog/eventlog.h"

namespace sapphiremoor {

PeerBus::PeerBus(EventLoop &Loop, const Settings &VmSettings, const VmId &Self,
                 const std::string &ClusterKey)
    : VmSettings(VmSettings),
      Network(Loop, Self, ClusterKey, {VmSettings.Limits.PeerSilenceLimit},
              {[this](const VmId &Sender, std::string_view Payload) {
                 handlePayload(Sender, Payload);
               },
               [this](const VmId &Peer) { handlePeerUp(Peer); },
               [this](const VmId &Peer) { handlePeerDown(Peer); },
               [](const std::string &Name, const Error &Reason) {
                 logEvent(events::FrameRejected,
                          {{"peer", Name}, {"error", describe(Reason)}});
               }}) {}

Result<Done> PeerBus::start() {
  const Result<uint16_t> Bound = Network.listen(VmSettings.Peer);
  if (isError(Bound))
    return errorOf(Bound);
  for (const PeerSettings &Peer : VmSettings.Peers)
    Network.addPeer(Peer.Name, Peer.Address);
  return Done{};
}

void PeerBus::onPeerUp(std::function<void(const VmId &)> Handler) {
  PeerUpHandlers.push_back(std::move(Handler));
}

void PeerBus::onPeerDown(std::function<void(const VmId &)> Handler) {
  PeerDownHandlers.push_back(std::move(Handler));
}

bool PeerBus::send(const VmId &Target, const PeerMessage &Message) {
  // A message for an incarnation that has ended must not reach its successor.
  return Network.reachable(Target.Name) == Target &&
         Network.send(Target.Name, encode(Message));
}

void PeerBus::broadcast(const PeerMessage &Message) {
  const std::string Payload = encode(Message);
  for (const PeerSettings &Peer : VmSettings.Peers)
    Network.send(Peer.Name, Payload);
}

void PeerBus::handlePayload(const VmId &Sender, std::string_view Payload) {
  const Result<PeerMessage> Message = decode<PeerMessage>(Payload);
  if (isError(Message)) {
    logEvent(events::FrameRejected,
             {{"peer", Sender.Name}, {"error", describe(errorOf(Message))}});
    return;
  }
  const MessageHandler &Receiver = Handlers[valueOf(Message).index()];
  if (Receiver)
    Receiver(Sender, valueOf(Message));
}

void PeerBus::handlePeerUp(const VmId &Peer) {
  logEvent(events::PeerUp, {{"peer", Peer.Name},
                            {"incarnation", std::to_string(Peer.Incarnation)}});
  for (const auto &Handler : PeerUpHandlers)
    Handler(Peer);
}

void PeerBus::handlePeerDown(const VmId &Peer) {
  logEvent(events::PeerDown, {{"peer", Peer.Name}});
  for (const auto &Handler : PeerDownHandlers)
    Handler(Peer);
}

} // namespace sapphiremoor
