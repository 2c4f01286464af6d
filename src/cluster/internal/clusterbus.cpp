#include "cluster/clusterbus.h"

#include "framework/codec/serial.h"
#include "framework/eventlog/eventlog.h"

#include <algorithm>

namespace sapphiremoor {

namespace {

/// Several heartbeats fit into the silence limit, so that one late one does not
/// break a link.
constexpr Duration HeartbeatPeriod = std::chrono::milliseconds(150);
constexpr Duration SilentLimit = std::chrono::milliseconds(600);
constexpr Duration RetryDelay = std::chrono::milliseconds(100);

PeerLimits linkLimits() {
  PeerLimits Limits;
  Limits.SilentLimit = SilentLimit;
  Limits.RetryDelay = RetryDelay;
  return Limits;
}

} // namespace

ClusterBus::ClusterBus(EventLoop &Loop, const ClusterSettings &Of,
                       const VmId &Self, Callbacks Handlers)
    : Loop(Loop), Of(Of), Self(Self), Calls(std::move(Handlers)),
      View(MemberLimits{}),
      Mesh(Loop, Self, Of.ClusterKey, linkLimits(),
           {[this](const VmId &From, std::string_view Payload) {
              received(From, Payload);
            },
            [this](const VmId &Peer) {
              logEvent(events::PeerUp,
                       {{"peer", Peer.Name},
                        {"incarnation", std::to_string(Peer.Incarnation)}});
              Calls.Up(Peer);
              beat();
            },
            [this](const VmId &Peer) {
              logEvent(events::PeerDown, {{"peer", Peer.Name}});
              View.disconnected(Peer.Name);
              Calls.Down(Peer);
            },
            [](const std::string &Peer, const Error &Reason) {
              logEvent(events::FrameRejected,
                       {{"peer", Peer}, {"error", describe(Reason)}});
            }}),
      BeatTimer(Loop, [this] { beat(); }) {}

Result<Done> ClusterBus::start() {
  const Result<uint16_t> Bound = Mesh.listen(Of.Peer);
  if (isError(Bound))
    return errorOf(Bound);
  addSeeds(Of.Seeds);
  BeatTimer.startPeriodic(HeartbeatPeriod);
  return Done{};
}

void ClusterBus::addSeeds(const std::vector<Endpoint> &Named) {
  Seeds.insert(Named.begin(), Named.end());
  for (const Endpoint &At : Named)
    if (At != Of.Advertised)
      Mesh.dial(At);
}

bool ClusterBus::send(const std::string &To, const ClusterMessage &Message) {
  return Mesh.send(To, encode(Message));
}

void ClusterBus::sendToRole(MemberRole Role, const ClusterMessage &Message) {
  const std::string Bytes = encode(Message);
  for (const MemberInfo &Each : View.members(Role))
    if (Each.Id.Name != Self.Name)
      Mesh.send(Each.Id.Name, Bytes);
}

void ClusterBus::drain() {
  Draining = true;
  beat();
}

std::vector<MemberInfo> ClusterBus::liveControls() const {
  const Instant Now = Loop.now();
  std::vector<MemberInfo> Live = View.members(MemberRole::Control);
  std::erase_if(Live, [&](const MemberInfo &Each) {
    return Each.Draining || Each.Id.Name == Self.Name ||
           !View.live(Each.Id.Name, Now);
  });
  if (Of.Role == MemberRole::Control && !Draining)
    Live.push_back(describeSelf());
  return Live;
}

MemberInfo ClusterBus::describeSelf() const {
  return {Self, Of.Role, Of.DataCentre, Of.Advertised, Draining};
}

void ClusterBus::received(const VmId &From, std::string_view Payload) {
  if (Calls.Stalled())
    return;
  const Result<ClusterMessage> Decoded = decode<ClusterMessage>(Payload);
  if (isError(Decoded)) {
    logEvent(events::FrameRejected,
             {{"peer", From.Name}, {"error", describe(errorOf(Decoded))}});
    return;
  }
  if (const auto *Beat = std::get_if<ClusterHeartbeat>(&valueOf(Decoded)))
    heartbeat(From, *Beat);
  Calls.Message(From, valueOf(Decoded));
}

void ClusterBus::heartbeat(const VmId &From, const ClusterHeartbeat &Message) {
  if (Message.Self.Id != From)
    return;
  const Instant Now = Loop.now();
  View.heard(Message.Self, Now);
  for (const MemberSighting &Each : Message.Controls)
    if (Each.Info.Id.Name != Self.Name)
      View.told(Each, Now);
}

void ClusterBus::beat() {
  const Instant Now = Loop.now();
  View.expire(Now);
  dialControls();
  ClusterHeartbeat Message;
  Message.Self = describeSelf();
  Message.Controls = View.controlSightings(Now);
  Calls.Describe(Message);
  Mesh.sendToAll(encode(ClusterMessage(Message)));
}

void ClusterBus::dialControls() {
  const Instant Now = Loop.now();
  // A control VM that is linked already, by its own dialling, needs no second
  // link.
  for (const MemberInfo &Each : View.members(MemberRole::Control)) {
    if (Mesh.reachable(Each.Id.Name) || Each.Id.Name == Self.Name)
      continue;
    if (View.live(Each.Id.Name, Now))
      Mesh.dial(Each.Peer);
    else if (!Seeds.contains(Each.Peer) &&
             View.silence(Each.Id.Name, Now) > std::chrono::seconds(30))
      Mesh.forget(Each.Peer);
  }
}

} // namespace sapphiremoor
