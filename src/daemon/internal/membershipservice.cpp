#include "daemon/membershipservice.h"

#include "framework/eventlog/eventlog.h"

namespace sapphiremoor {

MembershipService::MembershipService(EventLoop &Loop, const Settings &Of,
                                     const VmId &Self, PeerBus &Bus)
    : Loop(Loop), Of(Of), Bus(Bus), Beat(Loop, [this] { beat(); }) {
  State.Self = Self;
  State.DataCentre = Of.DataCentre;
  State.SilentLimit = Of.Limits.PeerSilent;
}

void MembershipService::start(std::function<Report()> ReportSource) {
  Reporter = std::move(ReportSource);
  Bus.onUp([this](const VmId &Peer) {
    linkUp(State, Peer);
    // The peer counts as live only after a heartbeat that names it, so one is
    // sent at once.
    beat();
  });
  Bus.onDown([this](const VmId &Peer) {
    linkDown(State, Peer);
    checkDispatcher();
  });
  Bus.on<Heartbeat>([this](const VmId &, const Heartbeat &Message) {
    const bool WasLive = isLive(State, Message.Sender.Name, Loop.now());
    heard(State, Message, Loop.now());
    if (!WasLive)
      beat();
    checkDispatcher();
    for (const auto &Handler : HeartbeatHandlers)
      Handler(Message);
  });
  Beat.startPeriodic(Of.Limits.Heartbeat);
  checkDispatcher();
}

void MembershipService::onHeartbeat(
    std::function<void(const Heartbeat &)> Handler) {
  HeartbeatHandlers.push_back(std::move(Handler));
}

void MembershipService::onDispatcherChange(
    std::function<void(const VmId &)> Handler) {
  DispatcherHandlers.push_back(std::move(Handler));
}

VmId MembershipService::dispatcher() const {
  return dispatcherAt(State.DataCentre).value_or(State.Self);
}

std::optional<VmId>
MembershipService::dispatcherAt(const std::string &DataCentre) const {
  return dispatcherOf(State, DataCentre, 0, Loop.now());
}

std::string MembershipService::placeFor(const std::string &Service,
                                        std::optional<Duration> Wait) const {
  return chooseDataCentre(State, Of.Hops, Service, Wait, Loop.now());
}

std::vector<VmId> MembershipService::grantMembers() const {
  return sapphiremoor::grantMembers(State, Of.Hops, Loop.now());
}

std::vector<VmId> MembershipService::neighbours() const {
  std::vector<VmId> Found;
  for (const auto &[Name, Peer] : State.Peers)
    if (Peer.Last.DataCentre == State.DataCentre &&
        isLive(State, Name, Loop.now()))
      Found.push_back(Peer.LinkedAs);
  return Found;
}

void MembershipService::drain() {
  State.Draining = true;
  beat();
  checkDispatcher();
}

void MembershipService::beat() {
  Report Now = Reporter();
  Bus.broadcast(
      makeHeartbeat(State, Now.Revision, std::move(Now.Loads), Loop.now()));
  checkDispatcher();
}

void MembershipService::checkDispatcher() {
  const VmId Now = dispatcher();
  if (LastDispatcher == Now)
    return;
  LastDispatcher = Now;
  logEvent(events::DispatcherChanged, {{"dispatcher", Now.Name}});
  for (const auto &Handler : DispatcherHandlers)
    Handler(Now);
}

} // namespace sapphiremoor
