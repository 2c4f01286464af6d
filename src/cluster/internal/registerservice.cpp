#include "cluster/registerservice.h"

#include "cluster/clustersettingsfile.h"
#include "framework/codec/serial.h"
#include "framework/core/random.h"
#include "framework/eventlog/eventlog.h"
#include "versionregister/storedstate.h"
#include "versionregister/voterset.h"

#include <algorithm>
#include <utility>

namespace sapphiremoor {

namespace {

constexpr Duration TickPeriod = std::chrono::milliseconds(25);
constexpr Duration VoterCheckPeriod = std::chrono::milliseconds(200);

/// A voter that has been silent for this time is reported in the log.
constexpr Duration SilenceReportLimit = std::chrono::seconds(1);

VoterSet firstVoters(const ClusterSettings &Settings) {
  VoterSet Voters{1, {}};
  std::ranges::transform(Settings.Seeds, std::back_inserter(Voters.Voters),
                         [](const Endpoint &Seed) { return describe(Seed); });
  std::ranges::sort(Voters.Voters);
  const auto Duplicates = std::ranges::unique(Voters.Voters);
  Voters.Voters.erase(Duplicates.begin(), Duplicates.end());
  return Voters;
}

constexpr std::string_view PutOperation = "put";
constexpr std::string_view ReadOperation = "read";

std::string_view outcomeName(RoundOutcome Outcome) {
  switch (Outcome) {
  case RoundOutcome::Decided:
    return "decided";
  case RoundOutcome::TimedOut:
    return "timed_out";
  case RoundOutcome::Overtaken:
    return "overtaken";
  }
  return "decided";
}

Counter &roundCounter(Registry &Metrics, RoundOutcome Outcome) {
  return Metrics.counter(
      "sapphiremoor_register_rounds_total",
      "Rounds of the configuration register that this VM proposed.",
      {{"outcome", std::string(outcomeName(Outcome))}});
}

std::string milliseconds(Duration Time) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(Time).count());
}

} // namespace

RegisterService::RegisterMetrics::RegisterMetrics(Registry &Metrics)
    : VoterCount(Metrics.gauge("sapphiremoor_register_voters",
                               "Voters of the configuration register.")),
      SilentVoterCount(
          Metrics.gauge("sapphiremoor_register_silent_voters",
                        "Voters that were not heard for a second or longer.")),
      Voting(Metrics.gauge("sapphiremoor_register_voting",
                           "1 if this VM votes, 0 if not.")),
      DecidedRounds(roundCounter(Metrics, RoundOutcome::Decided)),
      TimedOutRounds(roundCounter(Metrics, RoundOutcome::TimedOut)),
      OvertakenRounds(roundCounter(Metrics, RoundOutcome::Overtaken)),
      StoreTimes(
          Metrics.histogram("sapphiremoor_register_store_seconds",
                            "Time until a state of the register is durable.")) {
}

RegisterService::RegisterService(EventLoop &Loop,
                                 const ClusterSettings &Settings,
                                 ClusterBus &Bus, Registry &Metrics)
    : Loop(Loop), Settings(Settings), Bus(Bus),
      Storage(Loop, Settings.DataFolder,
              {[this](const std::vector<uint64_t> &Numbers) {
                 confirmStored(Numbers);
               },
               [this](const RecoveredFolder &) { storeAgain(); }}),
      ServiceMetrics(Metrics), TickTimer(Loop, [this] { tick(); }) {}

Result<Done>
RegisterService::start(std::function<void(const RegisterValue &)> Handler) {
  OnChosen = std::move(Handler);
  StartTime = Loop.now();
  ExchangedAt = StartTime;
  const Result<RecoveredFolder> Recovered = Storage.open();
  if (isError(Recovered))
    return errorOf(Recovered);
  RegisterStart Start{Bus.selfProcess(), {}, {}};
  if (valueOf(Recovered).State) {
    Result<AcceptorState> State = decodeStoredState(*valueOf(Recovered).State);
    if (isError(State))
      return errorOf(State);
    Start.StoredState = takeValue(std::move(State));
  } else if (Settings.FirstStart) {
    Start.InitialVoters = firstVoters(Settings);
  }
  logEvent(events::LogRecovered,
           {{"stored", Start.StoredState ? "yes" : "no"},
            {"first_start", Settings.FirstStart ? "yes" : "no"},
            {"version",
             Start.StoredState
                 ? std::to_string(Start.StoredState->Value.Document.Version)
                 : "none"}});
  Node =
      std::make_unique<RegisterNode>(Start, RegisterLimits{}, secureRandom64());
  announceVoters();
  run();
  if (Node->chosen())
    OnChosen(Node->chosen()->Value);
  TickTimer.startPeriodic(TickPeriod);
  return Done{};
}

void RegisterService::put(const VersionedDocument &Document,
                          OperationHandler Handler) {
  Requests.emplace(Node->put(Document, Loop.now()),
                   PendingRequest{PutOperation, std::move(Handler)});
  run();
}

void RegisterService::read(OperationHandler Handler) {
  Requests.emplace(Node->read(Loop.now()),
                   PendingRequest{ReadOperation, std::move(Handler)});
  run();
}

void RegisterService::handleMessage(const VmId &Sender,
                                    const RegisterMessage &Message) {
  const MemberInfo *Member = Bus.members().find(Sender);
  if (Member == nullptr)
    return;
  Node->receive(peerProcess(*Member), Message, Loop.now());
  run();
}

void RegisterService::handlePeerUp(const VmId &Peer) {
  Bus.send(Peer, RegisterMessage(ChosenRequest{}));
}

Ballot RegisterService::chosenBallot() const {
  return Node->chosen() ? Node->chosen()->ChosenBallot : Ballot{};
}

void RegisterService::run() {
  for (auto Effects = Node->takeEffects(); !Effects.empty();
       Effects = Node->takeEffects())
    for (const RegisterEffect &Effect : Effects)
      perform(Effect);
}

void RegisterService::perform(const RegisterEffect &Effect) {
  if (const auto *Send = std::get_if<SendToVoter>(&Effect))
    sendToVoter(*Send);
  else if (const auto *Reply = std::get_if<RegisterReply>(&Effect))
    reply(*Reply);
  else if (const auto *Store = std::get_if<StoreState>(&Effect))
    store(*Store);
  else if (const auto *Ended = std::get_if<OperationEnded>(&Effect))
    handleOperationEnd(*Ended);
  else if (const auto *Round = std::get_if<RoundEnded>(&Effect))
    handleRoundEnd(*Round);
  else if (const auto *Chosen = std::get_if<ValueChosen>(&Effect)) {
    logEvent(events::ChangeInForce,
             {{"version", std::to_string(Chosen->Value.Document.Version)},
              {"voters_epoch", std::to_string(Chosen->Value.Voters.Epoch)}});
    if (std::exchange(KnownEpoch, Chosen->Value.Voters.Epoch) !=
        Chosen->Value.Voters.Epoch) {
      ExchangedAt = Loop.now();
      announceVoters();
    }
    OnChosen(Chosen->Value);
  }
}

void RegisterService::announceVoters() {
  std::set<Endpoint> Endpoints;
  for (const std::string &Voter : Node->voters().Voters) {
    const Result<Endpoint> Parsed = parseEndpoint(Voter);
    if (!isError(Parsed))
      Endpoints.insert(valueOf(Parsed));
  }
  Bus.setVoters(std::move(Endpoints));
}

void RegisterService::sendToVoter(const SendToVoter &Message) {
  if (Message.Receiver == describe(Settings.AdvertisedPeer)) {
    receiveFromSelf(Message.Message);
    return;
  }
  if (const MemberInfo *Member = Bus.members().findByAddress(Message.Receiver))
    Bus.send(Member->Id, Message.Message);
}

void RegisterService::reply(const RegisterReply &Reply) {
  if (Reply.Receiver == Bus.selfProcess())
    receiveFromSelf(Reply.Message);
  else if (const auto Receiver = Bus.findProcess(Reply.Receiver))
    Bus.send(*Receiver, Reply.Message);
}

void RegisterService::receiveFromSelf(const RegisterMessage &Message) {
  Loop.post([this, Message] {
    Node->receive(Bus.selfProcess(), Message, Loop.now());
    run();
  });
}

void RegisterService::store(const StoreState &Effect) {
  UnsyncedWrites.emplace(Effect.Number, Loop.now());
  Storage.submit({Effect.Number, ReplaceState{encode(Effect.State)}});
}

void RegisterService::confirmStored(const std::vector<uint64_t> &Numbers) {
  for (const uint64_t Number : Numbers) {
    if (const auto Write = UnsyncedWrites.extract(Number))
      ServiceMetrics.StoreTimes.record(Loop.now() - Write.mapped());
    Node->confirmStored(Number);
  }
  run();
}

void RegisterService::storeAgain() {
  UnsyncedWrites.clear();
  Node->storeAgain();
  run();
}

void RegisterService::handleRoundEnd(const RoundEnded &Effect) {
  LastRound = Effect;
  switch (Effect.Outcome) {
  case RoundOutcome::Decided:
    ServiceMetrics.DecidedRounds.add();
    return;
  case RoundOutcome::TimedOut:
    ServiceMetrics.TimedOutRounds.add();
    return;
  case RoundOutcome::Overtaken:
    ServiceMetrics.OvertakenRounds.add();
    return;
  }
}

void RegisterService::handleOperationEnd(const OperationEnded &Effect) {
  if (StartupRead == Effect.Operation)
    StartupRead.reset();
  const auto Request = Requests.extract(Effect.Operation);
  if (!Request)
    return;
  if (Effect.Outcome == OperationOutcome::Unavailable)
    logUnavailable(Request.mapped().Operation);
  Request.mapped().Handler(Effect.Outcome, Effect.Newest);
}

void RegisterService::logUnavailable(std::string_view Operation) const {
  const Duration OldestWrite =
      UnsyncedWrites.empty() ? Duration{}
                             : Loop.now() - UnsyncedWrites.begin()->second;
  logEvent(
      events::ConfigurationUnavailable,
      {{"operation", std::string(Operation)},
       {"voting", isVoting() ? "yes" : "no"},
       {"last_round",
        LastRound ? std::string(outcomeName(LastRound->Outcome)) : "none"},
       {"last_round_ms", LastRound ? milliseconds(LastRound->Elapsed) : "0"},
       {"unsynced_ms", milliseconds(OldestWrite)}});
}

void RegisterService::tick() {
  const Instant Now = Loop.now();
  Node->tick(Now);
  if (!Node->chosen() && !StartupRead && !Node->voters().Voters.empty())
    StartupRead = Node->read(Now);
  if (Now >= NextVoterCheck) {
    NextVoterCheck = Now + VoterCheckPeriod;
    checkVoters();
  }
  run();
}

ControlVmSightings RegisterService::sightings() const {
  const Instant Now = Loop.now();
  ControlVmSightings Sightings;
  Sightings.Self = describe(Settings.AdvertisedPeer);
  Sightings.Uptime = Now - StartTime;
  Sightings.SinceExchange = Now - ExchangedAt;
  for (const MemberInfo &Member : Bus.liveControlVms()) {
    Sightings.Live.insert(describe(Member.PeerEndpoint));
    Sightings.DataCentres.emplace(describe(Member.PeerEndpoint),
                                  Member.DataCentre);
  }
  for (const std::string &Voter : Node->voters().Voters)
    if (const MemberInfo *Member = Bus.members().findByAddress(Voter)) {
      Sightings.DataCentres.emplace(Voter, Member->DataCentre);
      if (Member->Draining && Bus.members().isLive(Member->Id.Name, Now))
        Sightings.Leaving.insert(Voter);
      if (const auto Silence =
              Bus.members().silenceDuration(Member->Id.Name, Now))
        Sightings.Silence.emplace(Voter, *Silence);
    }
  return Sightings;
}

void RegisterService::checkVoters() {
  const ControlVmSightings Sightings = sightings();
  reportSilentVoters(Sightings);
  const VoterSet &Voters = Node->voters();
  if (!Node->chosen() || !isVoter(Voters, Sightings.Self))
    return;
  VoterWatchLimits Limits;
  Limits.TargetSize = 2 * Settings.ToleratedLosses + 1;
  const auto NewVoters = proposeVoters(Voters, Sightings, Limits);
  if (NewVoters && NewVoters != LastProposal)
    logProposal(Voters, *NewVoters);
  if (NewVoters)
    Node->changeVoters(*NewVoters, Loop.now());
  LastProposal = NewVoters;
}

void RegisterService::logProposal(const VoterSet &Voters,
                                  const VoterSet &NewVoters) const {
  std::vector<std::string> Added;
  std::ranges::set_difference(NewVoters.Voters, Voters.Voters,
                              std::back_inserter(Added));
  std::vector<std::string> Removed;
  std::ranges::set_difference(Voters.Voters, NewVoters.Voters,
                              std::back_inserter(Removed));
  logEvent(events::VotersChanging,
           {{"epoch", std::to_string(NewVoters.Epoch)},
            {"voters", std::to_string(NewVoters.Voters.size())},
            {"added", Added.empty() ? "" : Added.front()},
            {"removed", Removed.empty() ? "" : Removed.front()}});
}

void RegisterService::reportSilentVoters(const ControlVmSightings &Sightings) {
  const VoterSet &Voters = Node->voters();
  const std::vector<SilentVoter> Silent =
      silentVoters(Voters, Sightings, SilenceReportLimit);
  std::set<std::string> Addresses;
  for (const SilentVoter &Voter : Silent) {
    Addresses.insert(Voter.Address);
    if (ReportedVoters.contains(Voter.Address))
      continue;
    logEvent(events::VoterSilent,
             {{"voter", Voter.Address},
              {"heard", Voter.EverHeard ? "yes" : "no"},
              {"silence_ms", milliseconds(Voter.Silence)},
              {"silent", std::to_string(Silent.size())},
              {"voters", std::to_string(Voters.Voters.size())},
              {"voters_epoch", std::to_string(Voters.Epoch)},
              {"live_control_vms", std::to_string(Sightings.Live.size())}});
  }
  for (const std::string &Address : ReportedVoters)
    if (!Addresses.contains(Address))
      logEvent(events::VoterHeard,
               {{"voter", Address},
                {"votes", isVoter(Voters, Address) ? "yes" : "no"},
                {"voters_epoch", std::to_string(Voters.Epoch)}});
  ReportedVoters = std::move(Addresses);
  ServiceMetrics.VoterCount.set(static_cast<double>(Voters.Voters.size()));
  ServiceMetrics.SilentVoterCount.set(static_cast<double>(Silent.size()));
  ServiceMetrics.Voting.set(isVoting() ? 1 : 0);
}

} // namespace sapphiremoor
