#include "daemon/membershipservice.h"

#include "framework/eventlog/eventlog.h"

namespace sapphiremoor {

MembershipService::MembershipService(EventLoop &Loop,
                                     const Settings &VmSettings,
                                     const VmId &Self, PeerBus &Bus)
    : Loop(Loop), VmSettings(VmSettings), Bus(Bus),
      HeartbeatTimer(Loop, [this] { sendHeartbeat(); }) {
  State.Self = Self;
  State.DataCentre = VmSettings.DataCentre;
  State.SilenceLimit = VmSettings.Limits.PeerSilenceLimit;
}

void MembershipService::start(std::function<Report()> ReportSource) {
  Reporter = std::move(ReportSource);
  Bus.onPeerUp([this](const VmId &Peer) {
    linkUp(State, Peer);
    // A VM counts a peer as live only once the peer's heartbeat lists the VM,
    // so a heartbeat is sent at once.
    sendHeartbeat();
  });
  Bus.onPeerDown([this](const VmId &Peer) {
    linkDown(State, Peer);
    checkDispatcher();
  });
  Bus.onMessage<Heartbeat>([this](const VmId &, const Heartbeat &Message) {
    const bool WasLive = isLive(State, Message.Sender.Name, Loop.now());
    receiveHeartbeat(State, Message, Loop.now());
    if (!WasLive)
      sendHeartbeat();
    checkDispatcher();
    for (const auto &Handler : HeartbeatHandlers)
      Handler(Message);
  });
  HeartbeatTimer.startPeriodic(VmSettings.Limits.HeartbeatInterval);
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
  return findDispatcher(State.DataCentre).value_or(State.Self);
}

std::optional<VmId>
MembershipService::findDispatcher(const std::string &DataCentre) const {
  return selectDispatcher(State, DataCentre, 0, Loop.now());
}

std::string
MembershipService::selectDataCentre(const std::string &Service,
                                    std::optional<Duration> LocalWait) const {
  return chooseDataCentre(State, VmSettings.HopDelays, Service, LocalWait,
                          Loop.now());
}

std::vector<VmId> MembershipService::grantMembers() const {
  return sapphiremoor::grantMembers(State, VmSettings.HopDelays, Loop.now());
}

std::vector<VmId> MembershipService::localPeers() const {
  std::vector<VmId> Peers;
  for (const auto &[Name, Peer] : State.Peers)
    if (Peer.LastHeartbeat.DataCentre == State.DataCentre &&
        isLive(State, Name, Loop.now()))
      Peers.push_back(Peer.LinkedId);
  return Peers;
}

void MembershipService::drain() {
  State.Draining = true;
  sendHeartbeat();
  checkDispatcher();
}

void MembershipService::sendHeartbeat() {
  Report Content = Reporter();
  Bus.broadcast(makeHeartbeat(State, Content.Revision, std::move(Content.Loads),
                              Loop.now()));
  checkDispatcher();
}

void MembershipService::checkDispatcher() {
  const VmId Dispatcher = dispatcher();
  if (LastDispatcher == Dispatcher)
    return;
  LastDispatcher = Dispatcher;
  logEvent(events::DispatcherChanged, {{"dispatcher", Dispatcher.Name}});
  for (const auto &Handler : DispatcherHandlers)
    Handler(Dispatcher);
}

} // namespace sapphiremoor
