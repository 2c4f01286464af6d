#include "daemon/peerbus.h"

#include "framework/codec/serial.h"
#include "framework/eventlog/eventlog.h"

namespace sapphiremoor {

PeerBus::PeerBus(EventLoop &Loop, const Settings &Of, const VmId &Self,
                 const std::string &ClusterKey)
    : Of(Of),
      Network(Loop, Self, ClusterKey, {Of.Limits.PeerSilent},
              {[this](const VmId &From, std::string_view Payload) {
                 received(From, Payload);
               },
               [this](const VmId &Peer) { up(Peer); },
               [this](const VmId &Peer) { down(Peer); },
               [](const std::string &Name, const Error &Reason) {
                 logEvent(events::FrameRejected,
                          {{"peer", Name}, {"error", describe(Reason)}});
               }}) {}

Result<Done> PeerBus::start() {
  const Result<uint16_t> Bound = Network.listen(Of.Peer);
  if (isError(Bound))
    return errorOf(Bound);
  for (const PeerSettings &Peer : Of.Peers)
    Network.addPeer(Peer.Name, Peer.Address);
  return Done{};
}

void PeerBus::onUp(std::function<void(const VmId &)> Handler) {
  UpHandlers.push_back(std::move(Handler));
}

void PeerBus::onDown(std::function<void(const VmId &)> Handler) {
  DownHandlers.push_back(std::move(Handler));
}

bool PeerBus::send(const VmId &To, const PeerMessage &Message) {
  // A message for an incarnation that is gone must not reach its successor.
  return Network.reachable(To.Name) == To &&
         Network.send(To.Name, encode(Message));
}

void PeerBus::broadcast(const PeerMessage &Message) {
  const std::string Payload = encode(Message);
  for (const PeerSettings &Peer : Of.Peers)
    Network.send(Peer.Name, Payload);
}

void PeerBus::received(const VmId &From, std::string_view Payload) {
  const Result<PeerMessage> Message = decode<PeerMessage>(Payload);
  if (isError(Message)) {
    logEvent(events::FrameRejected,
             {{"peer", From.Name}, {"error", describe(errorOf(Message))}});
    return;
  }
  const Handler &Receiver = Handlers[valueOf(Message).index()];
  if (Receiver)
    Receiver(From, valueOf(Message));
}

void PeerBus::up(const VmId &Peer) {
  logEvent(events::PeerUp, {{"peer", Peer.Name},
                            {"incarnation", std::to_string(Peer.Incarnation)}});
  for (const auto &Handler : UpHandlers)
    Handler(Peer);
}

void PeerBus::down(const VmId &Peer) {
  logEvent(events::PeerDown, {{"peer", Peer.Name}});
  for (const auto &Handler : DownHandlers)
    Handler(Peer);
}

} // namespace sapphiremoor
