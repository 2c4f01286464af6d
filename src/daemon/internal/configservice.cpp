#include "daemon/configservice.h"

#include "framework/codec/serial.h"
#include "framework/eventlog/eventlog.h"

namespace sapphiremoor {

namespace {

/// An election takes up to 2 s; the change itself then takes a few synced
/// writes.
constexpr Duration ProposalTimeout = std::chrono::seconds(5);
constexpr Duration ExpiryPeriod = std::chrono::milliseconds(500);
constexpr std::size_t MaxRecentResults = 1000;

Error noVoterError() {
  return {ErrorKind::Unreachable,
          "no voter that can decide the change is reachable",
          "send the change again with the same request_id; check that a "
          "majority of the voters runs and is connected"};
}

Error noReplyError() {
  return {ErrorKind::Timeout, "the change was not confirmed in time",
          "send it again with the same request_id to learn its result"};
}

} // namespace

ConfigService::ConfigService(EventLoop &Loop, const Settings &VmSettings,
                             PeerBus &Bus, MembershipService &Membership,
                             ReplicaService *Replica)
    : Loop(Loop), VmSettings(VmSettings), Bus(Bus), Membership(Membership),
      Replica(Replica), ExpiryTimer(Loop, [this] { expireProposals(); }) {}

Result<Done>
ConfigService::start(std::function<void(const ServiceConfig &)> Handler) {
  ConfigHandler = std::move(Handler);
  Membership.onHeartbeat([this](const Heartbeat &Message) {
    if (Message.Revision > revision())
      Bus.send(Message.Sender, ConfigFetch{FetchedState.Revision});
  });
  Bus.onMessage<ConfigFetch>(
      [this](const VmId &Sender, const ConfigFetch &Message) {
        Bus.send(Sender, collectChanges(state(), Message.Revision));
      });
  Bus.onMessage<ConfigChunk>(
      [this](const VmId &, const ConfigChunk &Chunk) { handleChunk(Chunk); });
  Bus.onMessage<ProposeChange>([this](const VmId &Sender,
                                      const ProposeChange &Message) {
    proposeLocally(Message.Change, [this, Sender, Request = Message.Request](
                                       const Result<ChangeResult> &Outcome) {
      Bus.send(Sender, ProposeReply{Request, Outcome});
    });
  });
  Bus.onMessage<ProposeVoter>(
      [this](const VmId &Sender, const ProposeVoter &Message) {
        changeVoterLocally(Message.Name, Message.Remove,
                           [this, Sender, Request = Message.Request](
                               const Result<ChangeResult> &Outcome) {
                             Bus.send(Sender, ProposeReply{Request, Outcome});
                           });
      });
  Bus.onMessage<ProposeReply>(
      [this](const VmId &Sender, const ProposeReply &Message) {
        auto Extracted = Proposals.extract(Message.Request);
        if (Extracted.empty())
          return;
        if (isError(Message.Result))
          Extracted.mapped().Handler(Message.Result);
        else
          answerWhenInForce(Sender, valueOf(Message.Result),
                            std::move(Extracted.mapped().Handler));
      });
  ExpiryTimer.startPeriodic(ExpiryPeriod);
  if (Replica == nullptr)
    return Done{};
  return Replica->start(
      {[this](uint64_t Index, const std::string &Bytes) {
         applyEntry(Index, Bytes);
       },
       [this](const std::string &Bytes) { return installSnapshot(Bytes); },
       [this] { return encodeState(LogState); }});
}

Result<Done> ConfigService::installSnapshot(const std::string &Bytes) {
  const uint64_t PreviousRevision = revision();
  // The first snapshot of a new cluster is empty.
  Result<ConfigState> Decoded =
      Bytes.empty() ? Result<ConfigState>(ConfigState()) : decodeState(Bytes);
  if (isError(Decoded))
    return errorOf(Decoded);
  LogState = takeValue(std::move(Decoded));
  handleRevisionChange(PreviousRevision);
  return Done{};
}

const ConfigState &ConfigService::state() const {
  return FetchedState.Revision > LogState.Revision ? FetchedState : LogState;
}

const ReplicaState *ConfigService::replica() const {
  return Replica == nullptr ? nullptr : Replica->state();
}

void ConfigService::change(const ChangeFile &Change, ChangeHandler Handler) {
  if (Replica != nullptr && Replica->leader() == VmSettings.Name)
    proposeLocally(Change, Handler);
  else
    forwardToLeader(
        [&](RequestNumber Request) {
          return ProposeChange{Request, Change};
        },
        std::move(Handler));
}

void ConfigService::changeVoter(const std::string &Name, bool Remove,
                                ChangeHandler Handler) {
  if (Replica != nullptr && Replica->leader() == VmSettings.Name)
    changeVoterLocally(Name, Remove, Handler);
  else
    forwardToLeader(
        [&](RequestNumber Request) {
          return ProposeVoter{Request, Name, Remove};
        },
        std::move(Handler));
}

bool ConfigService::rejectOrForward(
    const std::function<PeerMessage(RequestNumber)> &MakeMessage,
    const ChangeHandler &Handler) {
  if (Replica == nullptr) {
    Handler(noVoterError());
    return true;
  }
  // A VM without a disk may have sent the proposal to any voter, but only the
  // leader can decide it.
  if (!Replica->leader() || Replica->leader() == VmSettings.Name)
    return false;
  forwardToLeader(MakeMessage, Handler);
  return true;
}

void ConfigService::proposeLocally(const ChangeFile &Change,
                                   const ChangeHandler &Handler) {
  const auto MakeMessage = [&](RequestNumber Request) {
    return ProposeChange{Request, Change};
  };
  if (rejectOrForward(MakeMessage, Handler))
    return;
  Replica->propose(encode(Change),
                   [this, Handler](const Result<uint64_t> &Index) {
                     if (isError(Index))
                       Handler(errorOf(Index));
                     else
                       Handler(RecentResults[valueOf(Index)]);
                   });
}

void ConfigService::changeVoterLocally(const std::string &Name, bool Remove,
                                       const ChangeHandler &Handler) {
  const auto MakeMessage = [&](RequestNumber Request) {
    return ProposeVoter{Request, Name, Remove};
  };
  if (rejectOrForward(MakeMessage, Handler))
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

std::optional<VmId> ConfigService::proposalTarget() const {
  if (Replica != nullptr && Replica->leader())
    return Bus.network().reachable(*Replica->leader());
  for (const std::string &Name : VmSettings.Voters)
    if (auto Vm = Bus.network().reachable(Name))
      return Vm;
  return std::nullopt;
}

void ConfigService::forwardToLeader(
    const std::function<PeerMessage(RequestNumber)> &MakeMessage,
    ChangeHandler Handler) {
  const RequestNumber Request = ++LastRequest;
  const std::optional<VmId> Target = proposalTarget();
  if (!Target || !Bus.send(*Target, MakeMessage(Request))) {
    Handler(noVoterError());
    return;
  }
  Proposals.emplace(Request, Proposal{*Target, Loop.now() + ProposalTimeout,
                                      std::move(Handler)});
}

void ConfigService::applyEntry(uint64_t Index, const std::string &Bytes) {
  const Result<ChangeFile> Change = decode<ChangeFile>(Bytes);
  if (isError(Change)) {
    logEvent(events::StorageFailed, {{"error", describe(errorOf(Change))}});
    return;
  }
  const uint64_t PreviousRevision = revision();
  const ChangeResult Result = applyChange(LogState, valueOf(Change));
  RecentResults[Index] = Result;
  if (RecentResults.size() > MaxRecentResults)
    RecentResults.erase(RecentResults.begin());
  if (Result.Outcome == ChangeOutcome::Accepted &&
      revision() != PreviousRevision)
    logEvent(events::ChangeAccepted,
             {{"file", valueOf(Change).Name},
              {"revision", std::to_string(Result.Revision)},
              {"operator", valueOf(Change).Operator}});
  handleRevisionChange(PreviousRevision);
}

void ConfigService::handleChunk(const ConfigChunk &Chunk) {
  const uint64_t PreviousRevision = revision();
  const Result<Done> Outcome = applyChunk(FetchedState, Chunk);
  if (isError(Outcome))
    logEvent(events::ChunkRejected, {{"error", describe(errorOf(Outcome))}});
  else
    handleRevisionChange(PreviousRevision);
}

void ConfigService::handleRevisionChange(uint64_t PreviousRevision) {
  if (revision() == PreviousRevision)
    return;
  logEvent(events::ChangeInForce, {{"revision", std::to_string(revision())}});
  ConfigHandler(config());
  // With the heartbeat the other VMs fetch the change now, not only at the next
  // periodic one.
  if (Replica != nullptr && Replica->leader() == VmSettings.Name)
    Membership.sendHeartbeat();
  answerReadyChanges();
}

void ConfigService::answerWhenInForce(const VmId &Sender,
                                      const ChangeResult &Result,
                                      ChangeHandler Handler) {
  // The operator's next command on this VM must see the change.
  if (Result.CurrentRevision > revision())
    Bus.send(Sender, ConfigFetch{FetchedState.Revision});
  PendingChanges.push_back(
      {Result, Loop.now() + ProposalTimeout, std::move(Handler)});
  answerReadyChanges();
}

void ConfigService::answerReadyChanges() {
  std::vector<AcceptedChange> ReadyChanges;
  std::erase_if(PendingChanges, [&](AcceptedChange &Change) {
    if (Change.Result.CurrentRevision > revision() &&
        Change.Deadline > Loop.now())
      return false;
    ReadyChanges.push_back(std::move(Change));
    return true;
  });
  for (const AcceptedChange &Change : ReadyChanges)
    Change.Handler(Change.Result);
}

void ConfigService::expireProposals() {
  answerReadyChanges();
  const Instant Now = Loop.now();
  std::vector<ChangeHandler> ExpiredHandlers;
  std::erase_if(Proposals, [&](auto &Entry) {
    if (Entry.second.Deadline > Now)
      return false;
    ExpiredHandlers.push_back(std::move(Entry.second.Handler));
    return true;
  });
  for (const ChangeHandler &Handler : ExpiredHandlers)
    Handler(noReplyError());
}

} // namespace sapphiremoor
