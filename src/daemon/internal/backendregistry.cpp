#include "daemon/backendregistry.h"

#include "framework/eventlog/eventlog.h"

#include <algorithm>

namespace sapphiremoor {

namespace {

constexpr Duration ExpiryPeriod = std::chrono::milliseconds(250);

void logChange(const BackendChange &Change) {
  const Fields LogFields{{"backend", Change.Backend.Id},
                         {"worker", Change.Backend.Worker},
                         {"slots", std::to_string(Change.Backend.Slots)}};
  switch (Change.Kind) {
  case BackendChangeKind::Joined:
    logEvent(events::BackendJoined, LogFields);
    break;
  case BackendChangeKind::Leaving:
  case BackendChangeKind::Drained:
    logEvent(events::BackendLeaving, LogFields);
    break;
  case BackendChangeKind::Expired:
  case BackendChangeKind::Unreachable:
    logEvent(events::BackendExpired, LogFields);
    break;
  default:
    break;
  }
}

} // namespace

BackendRegistry::BackendRegistry(EventLoop &Loop, const Settings &VmSettings,
                                 PeerBus &Bus, MembershipService &Membership)
    : Loop(Loop), VmSettings(VmSettings), Bus(Bus), Membership(Membership),
      ExpiryTimer(Loop, [this] {
        // Only the dispatcher receives renewals, so only it can tell a silent
        // backend server from a healthy one.
        if (!this->Membership.isDispatcher())
          return;
        for (const BackendChange &Change : expire(Table, this->Loop.now()))
          publishChange(Change);
      }) {}

void BackendRegistry::start(std::function<void(const std::string &)> Handler) {
  OnChange = std::move(Handler);
  Bus.onMessage<RelayAnnouncement>(
      [this](const VmId &, const RelayAnnouncement &Message) {
        publishChange(announce(Table, Message.Payload, Loop.now()).TableChange);
      });
  Bus.onMessage<BackendCommand>(
      [this](const VmId &, const BackendCommand &Message) {
        applyCommand(Message);
      });
  Bus.onMessage<BackendUpdate>(
      [this](const VmId &, const BackendUpdate &Message) {
        for (const BackendChange &Change : Message.Changes) {
          applyChange(Table, Change, Loop.now());
          OnChange(Change.Backend.Id);
        }
      });
  Bus.onPeerUp([this](const VmId &Peer) {
    // A VM that joins or was partitioned may have missed changes.
    const auto PeerIt =
        std::ranges::find(VmSettings.Peers, Peer.Name, &PeerSettings::Name);
    const bool IsLocalPeer = PeerIt != VmSettings.Peers.end() &&
                             PeerIt->DataCentre == VmSettings.DataCentre;
    if (IsLocalPeer && Membership.isDispatcher())
      Bus.send(Peer, BackendUpdate{snapshot(Table)});
  });
  Membership.onDispatcherChange([this](const VmId &) {
    if (Membership.isDispatcher())
      takeOver(Table, Loop.now());
  });
  ExpiryTimer.startPeriodic(ExpiryPeriod);
}

Duration BackendRegistry::handleAnnouncement(const Announcement &Message) {
  if (!Membership.isDispatcher()) {
    sendToDispatcher(RelayAnnouncement{Message});
    return announcementInterval(Table.Backends.size());
  }
  const AnnounceResult Result = announce(Table, Message, Loop.now());
  publishChange(Result.TableChange);
  return Result.NextAnnouncement;
}

Endpoint BackendRegistry::announcementEndpoint() const {
  const VmId Dispatcher = Membership.dispatcher();
  const auto PeerIt =
      std::ranges::find(VmSettings.Peers, Dispatcher.Name, &PeerSettings::Name);
  const bool HasEndpoint =
      PeerIt != VmSettings.Peers.end() && PeerIt->Http.Port != 0;
  return HasEndpoint ? PeerIt->Http : VmSettings.Http;
}

void BackendRegistry::handleLeave(const std::string &Id) {
  applyCommand({BackendCommand::Kind::Leave, Id});
  if (!Membership.isDispatcher())
    sendToDispatcher(BackendCommand{BackendCommand::Kind::Leave, Id});
}

Result<Done> BackendRegistry::drain(const std::string &Id, bool Undo) {
  if (!Undo && find(Table, Id) == nullptr)
    return Error{
        ErrorKind::NotFound, "no backend server '" + Id + "' is known",
        "check its id with 'sapphiremoor status' on a VM in its data centre"};
  const BackendCommand Command{
      Undo ? BackendCommand::Kind::Undrain : BackendCommand::Kind::Drain, Id};
  applyCommand(Command);
  if (!Membership.isDispatcher())
    sendToDispatcher(Command);
  return Done{};
}

void BackendRegistry::noteContact(const std::string &Id) {
  recordContact(Table, Id, Loop.now());
}

void BackendRegistry::noteConnectFailure(const std::string &Id) {
  publishChange(connectFailed(Table, Id, Loop.now()));
}

void BackendRegistry::publishChange(
    const std::optional<BackendChange> &Change) {
  if (!Change)
    return;
  logChange(*Change);
  OnChange(Change->Backend.Id);
  if (!Membership.isDispatcher())
    return;
  for (const VmId &LocalPeer : Membership.localPeers())
    Bus.send(LocalPeer, BackendUpdate{{*Change}});
}

void BackendRegistry::applyCommand(const BackendCommand &Command) {
  if (Command.Operation == BackendCommand::Kind::Leave) {
    publishChange(leave(Table, Command.Id, Loop.now()));
    return;
  }
  const Result<BackendChange> Change =
      Command.Operation == BackendCommand::Kind::Drain
          ? sapphiremoor::drain(Table, Command.Id)
          : undrain(Table, Command.Id);
  if (!isError(Change))
    publishChange(valueOf(Change));
}

void BackendRegistry::sendToDispatcher(const PeerMessage &Message) {
  Bus.send(Membership.dispatcher(), Message);
}

} // namespace sapphiremoor
