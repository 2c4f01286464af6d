#include "daemon/backendregistry.h"

#include "framework/eventlog/eventlog.h"

#include <algorithm>

namespace sapphiremoor {

namespace {

constexpr Duration ExpiryPeriod = std::chrono::milliseconds(250);

void logChange(const BackendChange &Change) {
  const Fields Common{{"backend", Change.Backend.Id},
                      {"worker", Change.Backend.Worker},
                      {"slots", std::to_string(Change.Backend.Slots)}};
  switch (Change.Kind) {
  case BackendChangeKind::Joined:
    logEvent(events::BackendJoined, Common);
    break;
  case BackendChangeKind::Leaving:
  case BackendChangeKind::Drained:
    logEvent(events::BackendLeaving, Common);
    break;
  case BackendChangeKind::Expired:
  case BackendChangeKind::Unreachable:
    logEvent(events::BackendExpired, Common);
    break;
  default:
    break;
  }
}

} // namespace

BackendRegistry::BackendRegistry(EventLoop &Loop, const Settings &Of,
                                 PeerBus &Bus, MembershipService &Membership)
    : Loop(Loop), Of(Of), Bus(Bus), Membership(Membership),
      Expiry(Loop, [this] {
        // Only the dispatcher hears renewals, so only it can tell a silent
        // server from a healthy one.
        if (!this->Membership.dispatching())
          return;
        for (const BackendChange &Change : expire(Table, this->Loop.now()))
          take(Change);
      }) {}

void BackendRegistry::start(std::function<void(const std::string &)> Handler) {
  Changed = std::move(Handler);
  Bus.on<RelayAnnouncement>(
      [this](const VmId &, const RelayAnnouncement &Message) {
        take(announce(Table, Message.Told, Loop.now()).Tell);
      });
  Bus.on<BackendOrder>(
      [this](const VmId &, const BackendOrder &Message) { order(Message); });
  Bus.on<BackendNews>([this](const VmId &, const BackendNews &Message) {
    for (const BackendChange &Change : Message.Changes) {
      adopt(Table, Change, Loop.now());
      Changed(Change.Backend.Id);
    }
  });
  Bus.onUp([this](const VmId &Peer) {
    // A VM that joins or was cut off may have missed changes.
    const auto Settings =
        std::ranges::find(Of.Peers, Peer.Name, &PeerSettings::Name);
    const bool Neighbour =
        Settings != Of.Peers.end() && Settings->DataCentre == Of.DataCentre;
    if (Neighbour && Membership.dispatching())
      Bus.send(Peer, BackendNews{snapshot(Table)});
  });
  Membership.onDispatcherChange([this](const VmId &) {
    if (Membership.dispatching())
      takeOver(Table, Loop.now());
  });
  Expiry.startPeriodic(ExpiryPeriod);
}

Duration BackendRegistry::announced(const Announcement &Told) {
  if (!Membership.dispatching()) {
    relay(RelayAnnouncement{Told});
    return announcementInterval(Table.Backends.size());
  }
  const AnnounceResult Result = announce(Table, Told, Loop.now());
  take(Result.Tell);
  return Result.NextAnnouncement;
}

Endpoint BackendRegistry::announceTo() const {
  const VmId Dispatcher = Membership.dispatcher();
  const auto Peer =
      std::ranges::find(Of.Peers, Dispatcher.Name, &PeerSettings::Name);
  const bool Known = Peer != Of.Peers.end() && Peer->Http.Port != 0;
  return Known ? Peer->Http : Of.Http;
}

void BackendRegistry::leaving(const std::string &Id) {
  order({BackendOrder::Kind::Leave, Id});
  if (!Membership.dispatching())
    relay(BackendOrder{BackendOrder::Kind::Leave, Id});
}

Result<Done> BackendRegistry::drain(const std::string &Id, bool Undo) {
  if (!Undo && find(Table, Id) == nullptr)
    return Error{ErrorKind::NotFound, "no backend server '" + Id + "' is known",
                 "see 'sapphiremoor status' of a VM in its data centre"};
  const BackendOrder Order{
      Undo ? BackendOrder::Kind::Undrain : BackendOrder::Kind::Drain, Id};
  order(Order);
  if (!Membership.dispatching())
    relay(Order);
  return Done{};
}

void BackendRegistry::contacted(const std::string &Id) {
  contact(Table, Id, Loop.now());
}

void BackendRegistry::unreachable(const std::string &Id) {
  take(connectFailed(Table, Id, Loop.now()));
}

void BackendRegistry::take(const std::optional<BackendChange> &Change) {
  if (!Change)
    return;
  logChange(*Change);
  Changed(Change->Backend.Id);
  if (!Membership.dispatching())
    return;
  for (const VmId &Neighbour : Membership.neighbours())
    Bus.send(Neighbour, BackendNews{{*Change}});
}

void BackendRegistry::order(const BackendOrder &What) {
  if (What.What == BackendOrder::Kind::Leave) {
    take(leave(Table, What.Id, Loop.now()));
    return;
  }
  const Result<BackendChange> Change = What.What == BackendOrder::Kind::Drain
                                           ? sapphiremoor::drain(Table, What.Id)
                                           : undrain(Table, What.Id);
  if (!isError(Change))
    take(valueOf(Change));
}

void BackendRegistry::relay(const PeerMessage &Message) {
  Bus.send(Membership.dispatcher(), Message);
}

} // namespace sapphiremoor
