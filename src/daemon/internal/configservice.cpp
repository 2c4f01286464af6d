#include "daemon/configservice.h"

#include "framework/codec/serial.h"
#include "framework/eventlog/eventlog.h"

namespace sapphiremoor {

namespace {

/// An election takes up to 2 s, then a change is a few synced writes.
constexpr Duration ProposalLimit = std::chrono::seconds(5);
constexpr Duration ExpiryPeriod = std::chrono::milliseconds(500);
constexpr std::size_t KeptResults = 1000;

Error noVoter() {
  return {ErrorKind::Unreachable, "no VM that decides changes can be reached",
          "send the change again with the same request_id; check that a "
          "majority of the voters runs and is connected"};
}

Error noReply() {
  return {ErrorKind::Timeout, "the change was not confirmed in time",
          "send it again with the same request_id to learn its result"};
}

} // namespace

ConfigService::ConfigService(EventLoop &Loop, const Settings &Of, PeerBus &Bus,
                             MembershipService &Membership,
                             ReplicaService *Replica)
    : Loop(Loop), Of(Of), Bus(Bus), Membership(Membership), Replica(Replica),
      Expiry(Loop, [this] { expireProposals(); }) {}

Result<Done>
ConfigService::start(std::function<void(const ServiceConfig &)> Handler) {
  InForce = std::move(Handler);
  Membership.onHeartbeat([this](const Heartbeat &Message) {
    if (Message.Revision > revision())
      Bus.send(Message.Sender, ConfigFetch{Adopted.Revision});
  });
  Bus.on<ConfigFetch>([this](const VmId &From, const ConfigFetch &Message) {
    Bus.send(From, changesSince(state(), Message.Revision));
  });
  Bus.on<ConfigChunk>(
      [this](const VmId &, const ConfigChunk &Chunk) { adopt(Chunk); });
  Bus.on<ProposeChange>([this](const VmId &From, const ProposeChange &Message) {
    decideHere(Message.Change, [this, From, Request = Message.Request](
                                   const Result<ChangeResult> &Outcome) {
      Bus.send(From, ProposeReply{Request, Outcome});
    });
  });
  Bus.on<ProposeVoter>([this](const VmId &From, const ProposeVoter &Message) {
    changeVoterHere(Message.Name, Message.Remove,
                    [this, From, Request = Message.Request](
                        const Result<ChangeResult> &Outcome) {
                      Bus.send(From, ProposeReply{Request, Outcome});
                    });
  });
  Bus.on<ProposeReply>([this](const VmId &From, const ProposeReply &Message) {
    auto Found = Proposals.extract(Message.Request);
    if (Found.empty())
      return;
    if (isError(Message.Result))
      Found.mapped().Handler(Message.Result);
    else
      answerWhenInForce(From, valueOf(Message.Result),
                        std::move(Found.mapped().Handler));
  });
  Expiry.startPeriodic(ExpiryPeriod);
  if (Replica == nullptr)
    return Done{};
  return Replica->start(
      {[this](uint64_t Index, const std::string &Bytes) {
         applied(Index, Bytes);
       },
       [this](const std::string &Bytes) { return install(Bytes); },
       [this] { return encodeState(Logged); }});
}

Result<Done> ConfigService::install(const std::string &Bytes) {
  const uint64_t Before = revision();
  // The first snapshot of a new cluster is empty.
  Result<ConfigState> Decoded =
      Bytes.empty() ? Result<ConfigState>(ConfigState()) : decodeState(Bytes);
  if (isError(Decoded))
    return errorOf(Decoded);
  Logged = takeValue(std::move(Decoded));
  noteInForce(Before);
  return Done{};
}

const ConfigState &ConfigService::state() const {
  return Adopted.Revision > Logged.Revision ? Adopted : Logged;
}

const ReplicaState *ConfigService::replica() const {
  return Replica == nullptr ? nullptr : Replica->state();
}

void ConfigService::change(const ChangeFile &Change, ChangeHandler Handler) {
  if (Replica != nullptr && Replica->leader() == Of.Name)
    decideHere(Change, Handler);
  else
    passOn(
        [&](RequestNumber Request) {
          return ProposeChange{Request, Change};
        },
        std::move(Handler));
}

void ConfigService::changeVoter(const std::string &Name, bool Remove,
                                ChangeHandler Handler) {
  if (Replica != nullptr && Replica->leader() == Of.Name)
    changeVoterHere(Name, Remove, Handler);
  else
    passOn(
        [&](RequestNumber Request) {
          return ProposeVoter{Request, Name, Remove};
        },
        std::move(Handler));
}

bool ConfigService::decidesElsewhere(
    const std::function<PeerMessage(RequestNumber)> &Build,
    const ChangeHandler &Handler) {
  if (Replica == nullptr) {
    Handler(noVoter());
    return true;
  }
  // A VM without a disk may have chosen any voter; only the leader decides.
  if (!Replica->leader() || Replica->leader() == Of.Name)
    return false;
  passOn(Build, Handler);
  return true;
}

void ConfigService::decideHere(const ChangeFile &Change,
                               const ChangeHandler &Handler) {
  const auto Build = [&](RequestNumber Request) {
    return ProposeChange{Request, Change};
  };
  if (decidesElsewhere(Build, Handler))
    return;
  Replica->propose(encode(Change),
                   [this, Handler](const Result<uint64_t> &Index) {
                     if (isError(Index))
                       Handler(errorOf(Index));
                     else
                       Handler(Results[valueOf(Index)]);
                   });
}

void ConfigService::changeVoterHere(const std::string &Name, bool Remove,
                                    const ChangeHandler &Handler) {
  const auto Build = [&](RequestNumber Request) {
    return ProposeVoter{Request, Name, Remove};
  };
  if (decidesElsewhere(Build, Handler))
    return;
  Replica->changeVoter(Name, Remove,
                       [this, Handler](const Result<uint64_t> &Index) {
                         if (isError(Index)) {
                           Handler(errorOf(Index));
                           return;
                         }
                         ChangeResult Accepted;
                         Accepted.Outcome = ChangeOutcome::Accepted;
                         Accepted.Revision = revision();
                         Handler(Accepted);
                       });
}

std::optional<VmId> ConfigService::leaderOrVoter() const {
  if (Replica != nullptr && Replica->leader())
    return Bus.network().reachable(*Replica->leader());
  for (const std::string &Name : Of.Voters)
    if (auto Linked = Bus.network().reachable(Name))
      return Linked;
  return std::nullopt;
}

void ConfigService::passOn(
    const std::function<PeerMessage(RequestNumber)> &Build,
    ChangeHandler Handler) {
  const RequestNumber Request = ++LastRequest;
  const std::optional<VmId> To = leaderOrVoter();
  if (!To || !Bus.send(*To, Build(Request))) {
    Handler(noVoter());
    return;
  }
  Proposals.emplace(
      Request, Proposal{*To, Loop.now() + ProposalLimit, std::move(Handler)});
}

void ConfigService::applied(uint64_t Index, const std::string &Bytes) {
  const Result<ChangeFile> Change = decode<ChangeFile>(Bytes);
  if (isError(Change)) {
    logEvent(events::StorageFailed, {{"error", describe(errorOf(Change))}});
    return;
  }
  const uint64_t Before = revision();
  const ChangeResult Result = applyChange(Logged, valueOf(Change));
  Results[Index] = Result;
  if (Results.size() > KeptResults)
    Results.erase(Results.begin());
  if (Result.Outcome == ChangeOutcome::Accepted && revision() != Before)
    logEvent(events::ChangeAccepted,
             {{"file", valueOf(Change).Name},
              {"revision", std::to_string(Result.Revision)},
              {"operator", valueOf(Change).Operator}});
  noteInForce(Before);
}

void ConfigService::adopt(const ConfigChunk &Chunk) {
  const uint64_t Before = revision();
  const Result<Done> Taken = adoptChunk(Adopted, Chunk);
  if (isError(Taken))
    logEvent(events::ChunkRejected, {{"error", describe(errorOf(Taken))}});
  else
    noteInForce(Before);
}

void ConfigService::noteInForce(uint64_t Before) {
  if (revision() == Before)
    return;
  logEvent(events::ChangeInForce, {{"revision", std::to_string(revision())}});
  InForce(config());
  // The other VMs fetch the change now rather than at the next heartbeat.
  if (Replica != nullptr && Replica->leader() == Of.Name)
    Membership.beat();
  answerReached();
}

void ConfigService::answerWhenInForce(const VmId &From,
                                      const ChangeResult &Result,
                                      ChangeHandler Handler) {
  // An operator's next command at this VM must see the change.
  if (Result.CurrentRevision > revision())
    Bus.send(From, ConfigFetch{Adopted.Revision});
  Reaching.push_back({Result, Loop.now() + ProposalLimit, std::move(Handler)});
  answerReached();
}

void ConfigService::answerReached() {
  std::vector<AcceptedChange> Reached;
  std::erase_if(Reaching, [&](AcceptedChange &Change) {
    if (Change.Result.CurrentRevision > revision() &&
        Change.Deadline > Loop.now())
      return false;
    Reached.push_back(std::move(Change));
    return true;
  });
  for (const AcceptedChange &Change : Reached)
    Change.Handler(Change.Result);
}

void ConfigService::expireProposals() {
  answerReached();
  const Instant Now = Loop.now();
  std::vector<ChangeHandler> Expired;
  std::erase_if(Proposals, [&](auto &Entry) {
    if (Entry.second.Deadline > Now)
      return false;
    Expired.push_back(std::move(Entry.second.Handler));
    return true;
  });
  for (const ChangeHandler &Handler : Expired)
    Handler(noReply());
}

} // namespace sapphiremoor
