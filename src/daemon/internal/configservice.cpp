#include "daemon/configservice.h"

#include "framework/eventlog/eventlog.h"

namespace sapphiremoor {

ConfigService::ConfigService(const Settings &Of, const VmId &Self, PeerBus &Bus,
                             MembershipService &Membership)
    : Of(Of), Self(Self), Bus(Bus), Membership(Membership) {}

void ConfigService::start(std::function<void(const ServiceConfig &)> Handler) {
  InForce = std::move(Handler);
  Membership.onHeartbeat([this](const Heartbeat &Message) {
    if (Message.Revision > State.Revision)
      Bus.send(Message.Sender, ConfigFetch{State.Revision});
  });
  Bus.on<ConfigFetch>([this](const VmId &From, const ConfigFetch &Message) {
    Bus.send(From, changesSince(State, Message.Revision));
  });
  Bus.on<ConfigChunk>(
      [this](const VmId &, const ConfigChunk &Chunk) { adopt(Chunk); });
  Bus.on<ProposeChange>([this](const VmId &From, const ProposeChange &Message) {
    Bus.send(From, ProposeReply{Message.Request, decide(Message.Change)});
  });
  Bus.on<ProposeReply>([this](const VmId &, const ProposeReply &Message) {
    auto Found = Proposals.extract(Message.Request);
    if (!Found.empty())
      Found.mapped()(Message.Result);
  });
}

void ConfigService::change(const ChangeFile &Change, ChangeHandler Handler) {
  if (Of.Voters.empty() || Of.Voters.front() == Self.Name) {
    Handler(decide(Change));
    return;
  }
  const RequestNumber Request = ++LastRequest;
  const auto Leader = Bus.network().reachable(Of.Voters.front());
  if (!Leader || !Bus.send(*Leader, ProposeChange{Request, Change})) {
    Handler(Error{ErrorKind::Unreachable,
                  "no VM that decides changes can be reached",
                  "send the change again with the same request_id"});
    return;
  }
  Proposals.emplace(Request, std::move(Handler));
}

ChangeResult ConfigService::decide(const ChangeFile &Change) {
  const uint64_t Before = State.Revision;
  const ChangeResult Result = applyChange(State, Change);
  if (State.Revision != Before) {
    logEvent(events::ChangeAccepted,
             {{"file", Change.Name},
              {"revision", std::to_string(State.Revision)},
              {"operator", Change.Operator}});
    inForce();
  }
  return Result;
}

void ConfigService::adopt(const ConfigChunk &Chunk) {
  const uint64_t Before = State.Revision;
  const Result<Done> Adopted = adoptChunk(State, Chunk);
  if (!isError(Adopted) && State.Revision != Before)
    inForce();
}

void ConfigService::inForce() {
  logEvent(events::ChangeInForce,
           {{"revision", std::to_string(State.Revision)}});
  InForce(config());
}

} // namespace sapphiremoor
