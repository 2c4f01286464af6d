#include "cluster/registerservice.h"

#include "framework/codec/serial.h"
#include "framework/core/random.h"
#include "framework/eventlog/eventlog.h"
#include "versionregister/voterset.h"

#include <algorithm>

namespace sapphiremoor {

namespace {

constexpr Duration TickPeriod = std::chrono::milliseconds(25);
constexpr Duration VoterCheckPeriod = std::chrono::seconds(1);

/// A voter that has been silent for this time is exchanged if a spare control
/// VM is live. Restarts and short partitions are over sooner.
constexpr Duration VoterGoneAfter = std::chrono::seconds(12);

VoterSet firstVoters(const ClusterSettings &Of) {
  VoterSet First{1, {}};
  std::ranges::transform(Of.Seeds, std::back_inserter(First.Voters),
                         [](const Endpoint &At) { return describe(At); });
  std::ranges::sort(First.Voters);
  const auto Repeated = std::ranges::unique(First.Voters);
  First.Voters.erase(Repeated.begin(), Repeated.end());
  return First;
}

} // namespace

RegisterService::RegisterService(EventLoop &Loop, const ClusterSettings &Of,
                                 ClusterBus &Bus)
    : Loop(Loop), Of(Of), Bus(Bus), TickTimer(Loop, [this] { tick(); }) {}

Result<Done>
RegisterService::start(std::function<void(const RegisterValue &)> Handler) {
  OnChosen = std::move(Handler);
  auto Opened = RecordLog::open(Of.DataFolder);
  if (isError(Opened))
    return errorOf(Opened);
  OpenedLog Parts = takeValue(std::move(Opened));
  RegisterStart Start{describe(Of.Advertised), {}, {}};
  if (Parts.Recovered.State) {
    Result<AcceptorState> Read = decode<AcceptorState>(*Parts.Recovered.State);
    if (isError(Read))
      return errorOf(Read);
    Start.StoredState = takeValue(std::move(Read));
  } else if (Of.FirstStart) {
    Start.InitialVoters = firstVoters(Of);
  }
  logEvent(events::LogRecovered,
           {{"stored", Start.StoredState ? "yes" : "no"},
            {"first_start", Of.FirstStart ? "yes" : "no"},
            {"version",
             Start.StoredState
                 ? std::to_string(Start.StoredState->Value.Document.Version)
                 : "none"}});
  Storage = std::make_unique<StorageTask>(
      std::move(Parts.Log), [this](std::vector<StorageReply> Replies) {
        Loop.post([this, Replies = std::move(Replies)] { stored(Replies); });
      });
  Node =
      std::make_unique<RegisterNode>(Start, RegisterLimits{}, secureRandom64());
  run();
  if (Node->chosen())
    OnChosen(Node->chosen()->Value);
  TickTimer.startPeriodic(TickPeriod);
  return Done{};
}

void RegisterService::put(const VersionedDocument &Document,
                          OperationHandler Handler) {
  Handlers.emplace(Node->put(Document, Loop.now()), std::move(Handler));
  run();
}

void RegisterService::read(OperationHandler Handler) {
  Handlers.emplace(Node->read(Loop.now()), std::move(Handler));
  run();
}

void RegisterService::received(const VmId &From,
                               const RegisterMessage &Message) {
  const MemberInfo *Sender = Bus.members().find(From.Name);
  if (Sender == nullptr)
    return;
  Node->receive(describe(Sender->Peer), Message, Loop.now());
  run();
}

void RegisterService::peerUp(const VmId &Peer) {
  Bus.send(Peer.Name, RegisterMessage(ChosenRequest{}));
}

Ballot RegisterService::chosenBallot() const {
  return Node->chosen() ? Node->chosen()->ChosenBallot : Ballot{};
}

void RegisterService::run() {
  for (auto Effects = Node->takeEffects(); !Effects.empty();
       Effects = Node->takeEffects())
    for (const RegisterEffect &Each : Effects)
      perform(Each);
}

void RegisterService::perform(const RegisterEffect &Effect) {
  if (const auto *Send = std::get_if<SendToVoter>(&Effect))
    sendTo(*Send);
  else if (const auto *Store = std::get_if<StoreState>(&Effect)) {
    if (!StorageLost)
      Storage->submit({Store->Number, ReplaceState{encode(Store->State)}});
  } else if (const auto *Ended = std::get_if<OperationEnded>(&Effect))
    ended(*Ended);
  else if (const auto *Chosen = std::get_if<ValueChosen>(&Effect)) {
    logEvent(events::ChangeInForce,
             {{"version", std::to_string(Chosen->Value.Document.Version)},
              {"voters_epoch", std::to_string(Chosen->Value.Voters.Epoch)}});
    OnChosen(Chosen->Value);
  }
}

void RegisterService::sendTo(const SendToVoter &Message) {
  if (Message.Receiver == describe(Of.Advertised)) {
    Loop.post([this, Own = Message.Message] {
      Node->receive(describe(Of.Advertised), Own, Loop.now());
      run();
    });
    return;
  }
  if (const MemberInfo *To = Bus.members().findByAddress(Message.Receiver))
    Bus.send(To->Id.Name, Message.Message);
}

void RegisterService::stored(const std::vector<StorageReply> &Replies) {
  for (const StorageReply &Each : Replies) {
    if (isError(Each.Outcome)) {
      if (!StorageLost)
        logEvent(events::StorageFailed,
                 {{"error", describe(errorOf(Each.Outcome))}});
      // Nothing is durable any more, so no vote is given.
      StorageLost = true;
      return;
    }
    Node->confirmStored(Each.Number);
  }
  run();
}

void RegisterService::ended(const OperationEnded &Ended) {
  if (StartupRead == Ended.Operation)
    StartupRead.reset();
  const auto Found = Handlers.find(Ended.Operation);
  if (Found == Handlers.end())
    return;
  const OperationHandler Handler = std::move(Found->second);
  Handlers.erase(Found);
  Handler(Ended.Outcome, Ended.Newest);
}

void RegisterService::tick() {
  const Instant Now = Loop.now();
  Node->tick(Now);
  if (!Node->chosen() && !StartupRead && !Node->voters().Voters.empty())
    StartupRead = Node->read(Now);
  if (Now >= NextVoterCheck) {
    NextVoterCheck = Now + VoterCheckPeriod;
    considerVoters();
  }
  run();
}

void RegisterService::considerVoters() {
  const VoterSet &Voters = Node->voters();
  if (!Node->chosen() || !isVoter(Voters, describe(Of.Advertised)))
    return;
  const Instant Now = Loop.now();
  VoterCandidates Known;
  Known.TargetSize = 2 * Of.ToleratedLosses + 1;
  for (const MemberInfo &Each : Bus.liveControls())
    Known.Live.insert(describe(Each.Peer));
  for (const std::string &Voter : Voters.Voters) {
    const MemberInfo *Member = Bus.members().findByAddress(Voter);
    if (Voter == describe(Of.Advertised) || Member == nullptr)
      continue;
    const auto Silence = Bus.members().silence(Member->Id.Name, Now);
    if (Silence && *Silence > VoterGoneAfter)
      Known.Unresponsive.insert(Voter);
  }
  // One live voter proposes; two at once would only delay each other.
  const auto First =
      std::ranges::find_if(Voters.Voters, [&Known](const std::string &Voter) {
        return Known.Live.contains(Voter);
      });
  if (First == Voters.Voters.end() || *First != describe(Of.Advertised))
    return;
  if (const auto Next = nextVoters(Voters, Known)) {
    logEvent(events::VotersChanging,
             {{"epoch", std::to_string(Next->Epoch)},
              {"voters", std::to_string(Next->Voters.size())}});
    Node->changeVoters(*Next, Now);
  }
}

} // namespace sapphiremoor
