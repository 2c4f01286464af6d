#include "cluster/clusterbus.h"

#include "framework/codec/serial.h"
#include "framework/eventlog/eventlog.h"

#include <algorithm>
#include <utility>

namespace sapphiremoor {

namespace {

constexpr Duration SilenceTimeout = std::chrono::milliseconds(600);
constexpr Duration RetryDelay = std::chrono::milliseconds(100);

PeerLimits linkLimits() {
  PeerLimits Limits;
  Limits.SilenceTimeout = SilenceTimeout;
  Limits.RetryDelay = RetryDelay;
  return Limits;
}

} // namespace

ClusterBus::ClusterBus(EventLoop &Loop, const ClusterSettings &Settings,
                       const VmId &Self, Callbacks EventHandlers)
    : Loop(Loop), Settings(Settings), Self(Self),
      Handlers(std::move(EventHandlers)), View(MemberLimits{}),
      Mesh(Loop, Self, Settings.ClusterKey, linkLimits(),
           {[this](const VmId &Sender, std::string_view Payload) {
              handlePayload(Sender, Payload);
            },
            [this](const VmId &Peer) {
              logEvent(events::PeerUp,
                       {{"peer", Peer.Name},
                        {"incarnation", std::to_string(Peer.Incarnation)}});
              // First, since a request of an unknown VM is not answered. Only
              // to the new peer: when many links come up at once, a heartbeat
              // to all of them for each one grows with the square of their
              // number.
              Mesh.send(Peer, makeHeartbeat());
              Handlers.OnPeerUp(Peer);
            },
            [this](const VmId &Peer) {
              logEvent(events::PeerDown, {{"peer", Peer.Name}});
              View.recordDisconnect(Peer.Name);
              Handlers.OnPeerDown(Peer);
            },
            [](const std::string &Peer, const Error &Reason) {
              logEvent(events::FrameRejected,
                       {{"peer", Peer}, {"error", describe(Reason)}});
            }}),
      HeartbeatTimer(Loop, [this] { sendHeartbeat(); }) {}

Result<Done> ClusterBus::start() {
  const Result<uint16_t> Bound = Mesh.listen(Settings.Peer);
  if (isError(Bound))
    return errorOf(Bound);
  addSeeds(Settings.Seeds);
  HeartbeatTimer.startPeriodic(HeartbeatPeriod);
  return Done{};
}

void ClusterBus::addSeeds(const std::vector<Endpoint> &NewSeeds) {
  Seeds.insert(NewSeeds.begin(), NewSeeds.end());
  for (const Endpoint &Seed : NewSeeds)
    if (Seed != Settings.AdvertisedPeer)
      Mesh.dial(Seed);
}

void ClusterBus::setVoters(std::set<Endpoint> NewVoters) {
  for (const Endpoint &Voter : Voters)
    if (!NewVoters.contains(Voter) && !Seeds.contains(Voter) &&
        View.findByAddress(describe(Voter)) == nullptr)
      Mesh.stopDialling(Voter);
  Voters = std::move(NewVoters);
}

bool ClusterBus::send(const VmId &Peer, const ClusterMessage &Message) {
  return Mesh.send(Peer, encode(Message));
}

std::optional<VmId> ClusterBus::findProcess(const PeerProcess &Process) const {
  const MemberInfo *Member = View.findByAddress(Process.Address);
  return Member != nullptr && peerProcess(*Member) == Process
             ? std::optional(Member->Id)
             : std::nullopt;
}

void ClusterBus::sendToRole(MemberRole Role, const ClusterMessage &Message) {
  const std::string Bytes = encode(Message);
  for (const MemberInfo &Member : View.members(Role))
    if (Member.Id.Name != Self.Name)
      Mesh.send(Member.Id, Bytes);
}

void ClusterBus::drain() {
  Draining = true;
  sendHeartbeat();
}

std::vector<MemberInfo> ClusterBus::liveControlVms() const {
  const Instant Now = Loop.now();
  std::vector<MemberInfo> LiveVms = View.members(MemberRole::Control);
  std::erase_if(LiveVms, [&](const MemberInfo &Member) {
    return Member.Draining || Member.Id.Name == Self.Name ||
           !View.isLive(Member.Id.Name, Now);
  });
  if (Settings.Role == MemberRole::Control && !Draining)
    LiveVms.push_back(selfInfo());
  return LiveVms;
}

MemberInfo ClusterBus::selfInfo() const {
  return {Self, Settings.Role, Settings.DataCentre, Settings.AdvertisedPeer,
          Draining};
}

void ClusterBus::handlePayload(const VmId &Sender, std::string_view Payload) {
  if (Handlers.CheckStall())
    return;
  const Result<ClusterMessage> Decoded = decode<ClusterMessage>(Payload);
  if (isError(Decoded)) {
    logEvent(events::FrameRejected,
             {{"peer", Sender.Name}, {"error", describe(errorOf(Decoded))}});
    return;
  }
  if (const auto *Heartbeat =
          std::get_if<ClusterHeartbeat>(&valueOf(Decoded))) {
    if (Heartbeat->Self.Id != Sender)
      return;
    handleHeartbeat(*Heartbeat);
  }
  Handlers.OnMessage(Sender, valueOf(Decoded));
}

void ClusterBus::handleHeartbeat(const ClusterHeartbeat &Message) {
  const Instant Now = Loop.now();
  View.recordContact(Message.Self, Now);
  for (const MemberSighting &Sighting : Message.ControlSightings)
    if (Sighting.Info.Id.Name != Self.Name)
      View.recordSighting(Sighting, Now);
}

void ClusterBus::sendHeartbeat() {
  View.expire(Loop.now());
  dialControlVms();
  dialUnknownVoters();
  Mesh.sendToAll(makeHeartbeat());
}

std::string ClusterBus::makeHeartbeat() const {
  ClusterHeartbeat Message;
  Message.Self = selfInfo();
  Message.ControlSightings = View.controlSightings(Loop.now());
  Handlers.FillHeartbeat(Message);
  return encode(ClusterMessage(Message));
}

void ClusterBus::dialControlVms() {
  const Instant Now = Loop.now();
  // A control VM that has already dialled this VM needs no second link.
  for (const MemberInfo &Member : View.members(MemberRole::Control)) {
    if (linkedProcess(Member.Id.Name) || Member.Id.Name == Self.Name)
      continue;
    if (View.isLive(Member.Id.Name, Now))
      Mesh.dial(Member.PeerEndpoint);
    else if (!Seeds.contains(Member.PeerEndpoint) &&
             !Voters.contains(Member.PeerEndpoint) &&
             View.silenceDuration(Member.Id.Name, Now) >
                 std::chrono::seconds(30))
      Mesh.stopDialling(Member.PeerEndpoint);
  }
}

void ClusterBus::dialUnknownVoters() {
  for (const Endpoint &Voter : Voters)
    if (Voter != Settings.AdvertisedPeer &&
        View.findByAddress(describe(Voter)) == nullptr)
      Mesh.dial(Voter);
}

} // namespace sapphiremoor
