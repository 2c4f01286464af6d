#include "daemon/replicaservice.h"

#include "framework/core/random.h"
#include "framework/eventlog/eventlog.h"

#include <algorithm>

namespace sapphiremoor {

namespace {

constexpr Duration TickPeriod = std::chrono::milliseconds(50);

Error notFormedError() {
  return {ErrorKind::NotLeader, "the voters have not formed a set yet",
          "start all VMs that the setting 'voters' names, then try again"};
}

} // namespace

ReplicaService::ReplicaService(EventLoop &Loop, const Settings &VmSettings,
                               PeerBus &Bus)
    : Loop(Loop), VmSettings(VmSettings), Bus(Bus), Rng(secureRandom64()),
      TickTimer(Loop, [this] {
        if (Replica)
          handle(Tick{});
        else
          tryForm();
      }) {}

Result<Done> ReplicaService::start(StateMachineCallbacks NewCallbacks) {
  Callbacks = std::move(NewCallbacks);
  auto OpenResult = RecordLog::open(*VmSettings.DataFolder);
  if (isError(OpenResult))
    return errorOf(OpenResult);
  auto OpenedFolder = takeValue(std::move(OpenResult));
  Folder = std::move(OpenedFolder.Recovered);
  RecoveredLog = std::move(OpenedFolder.Log);
  logEvent(events::LogRecovered,
           {{"records", std::to_string(Folder.Records.size())},
            {"cut_bytes", std::to_string(Folder.TruncatedBytes)}});
  FormationProgress = {
      {VmSettings.Name, Folder.Identity}, VmSettings.Voters, {}};
  Bus.onMessage<VoterStatus>(
      [this](const VmId &Sender, const VoterStatus &Status) {
        handleStatus(Sender, Status);
      });
  Bus.onMessage<ReplicationMessage>(
      [this](const VmId &Sender, const ReplicationMessage &Message) {
        if (Replica)
          handle(MessageReceived{Sender.Name, Message});
      });
  Bus.onPeerUp([this](const VmId &Peer) { Bus.send(Peer, status()); });
  TickTimer.startPeriodic(TickPeriod);
  const bool HasState = Folder.Snapshot.has_value() || Folder.State.has_value();
  if (HasState)
    return openReplica({});
  tryForm();
  return Done{};
}

Result<Done>
ReplicaService::openReplica(const std::vector<Voter> &FirstVoters) {
  ReplicaConfig Config;
  Config.Self = FormationProgress.Self;
  Config.InitialVoters = FirstVoters;
  std::ranges::transform(VmSettings.Peers, std::back_inserter(Config.Peers),
                         &PeerSettings::Name);
  auto Recovered = recoverReplica(Config, Folder, Loop.now(), Rng);
  if (isError(Recovered))
    return errorOf(Recovered);
  auto RecoveredState = takeValue(std::move(Recovered));
  Replica = std::move(RecoveredState.State);
  Storage = std::make_unique<StorageTask>(
      std::move(RecoveredLog), [this, Guard = std::weak_ptr<bool>(Alive)](
                                   std::vector<StorageReply> Replies) {
        Loop.post([this, Guard, Replies = std::move(Replies)] {
          if (Guard.expired())
            return;
          for (const StorageReply &Reply : Replies) {
            if (isError(Reply.Outcome))
              handleStorageLoss(errorOf(Reply.Outcome));
            else
              handle(toReplicaEvent(Reply));
          }
        });
      });
  runEffects(RecoveredState.Effects);
  return Done{};
}

void ReplicaService::propose(const std::string &Bytes, ResultHandler Handler) {
  if (!Replica) {
    Handler(notFormedError());
    return;
  }
  Proposals.emplace(++LastProposal, std::move(Handler));
  handle(ProposeCommand{LastProposal, Bytes});
}

void ReplicaService::changeVoter(const std::string &Name, bool Remove,
                                 ResultHandler Handler) {
  const std::optional<Voter> ChangedVoter = findVoter(Name, Remove);
  if (!ChangedVoter) {
    Handler(
        Error{ErrorKind::NotFound,
              Remove ? "'" + Name + "' is not a voter"
                     : "'" + Name + "' is not a non-voting follower",
              "check 'sapphiremoor config voters show'; a new voter needs a "
              "data folder and must have caught up"});
    return;
  }
  Proposals.emplace(++LastProposal, std::move(Handler));
  handle(ProposeVoterChange{
      LastProposal, Remove ? VoterChangeKind::Remove : VoterChangeKind::Add,
      *ChangedVoter});
}

std::optional<Voter> ReplicaService::findVoter(const std::string &Name,
                                               bool Remove) const {
  if (!Replica)
    return std::nullopt;
  if (Remove) {
    const auto VoterIt = std::ranges::find(Replica->Voters, Name, &Voter::Name);
    return VoterIt == Replica->Voters.end() ? std::nullopt
                                            : std::optional(*VoterIt);
  }
  // Of the non-voting followers with this name, the one that replied last has
  // the newest identity.
  std::optional<Voter> Newest;
  Instant NewestReply{};
  for (const auto &[Candidate, Progress] : Replica->Followers) {
    const bool IsVoter =
        std::ranges::find(Replica->Voters, Candidate) != Replica->Voters.end();
    if (Candidate.Name != Name || IsVoter || Progress.LastReply < NewestReply)
      continue;
    Newest = Candidate;
    NewestReply = Progress.LastReply;
  }
  return Newest;
}

std::optional<std::string> ReplicaService::leader() const {
  if (!Replica || !Replica->Leader)
    return std::nullopt;
  return Replica->Leader->Name;
}

const ReplicaState *ReplicaService::state() const {
  return Replica ? &*Replica : nullptr;
}

void ReplicaService::handle(const ReplicaEvent &Event) {
  runEffects(step(*Replica, Event, Loop.now(), Rng));
  if (needsSnapshot(*Replica))
    runEffects(step(*Replica,
                    SnapshotCreated{AppliedIndex, Callbacks.Snapshot()},
                    Loop.now(), Rng));
}

void ReplicaService::runEffects(const std::vector<ReplicaEffect> &Effects) {
  for (const ReplicaEffect &Effect : Effects)
    runEffect(Effect);
}

void ReplicaService::runEffect(const ReplicaEffect &Effect) {
  if (std::optional<StorageRequest> Request = toStorageRequest(Effect)) {
    Storage->submit(std::move(*Request));
  } else if (const auto *SendEffect =
                 std::get_if<SendReplicationMessage>(&Effect)) {
    if (const auto Target = Bus.network().reachable(SendEffect->Receiver))
      Bus.send(*Target, SendEffect->Message);
  } else if (const auto *ApplyEffect = std::get_if<ApplyCommand>(&Effect)) {
    AppliedIndex = ApplyEffect->Index;
    Callbacks.Apply(ApplyEffect->Index, ApplyEffect->Bytes);
  } else if (const auto *InstallEffect =
                 std::get_if<InstallSnapshot>(&Effect)) {
    AppliedIndex = InstallEffect->Index;
    const Result<Done> Outcome = Callbacks.Install(InstallEffect->Bytes);
    if (isError(Outcome))
      handleStorageLoss(errorOf(Outcome));
  } else if (const auto *ProposalEffect = std::get_if<ProposeResult>(&Effect)) {
    finishProposal(*ProposalEffect);
  } else if (const auto *LeaderEffect = std::get_if<BecameLeader>(&Effect)) {
    logEvent(events::LeaderElected,
             {{"leader", VmSettings.Name},
              {"term", std::to_string(LeaderEffect->Term)}});
  }
}

void ReplicaService::handleStorageLoss(const Error &Reason) {
  logEvent(events::StorageFailed, {{"error", describe(Reason)}});
  handle(StorageLost{});
}

void ReplicaService::finishProposal(const ProposeResult &Result) {
  auto Extracted = Proposals.extract(Result.RequestNumber);
  if (!Extracted.empty())
    Extracted.mapped()(Result.Outcome);
}

VoterStatus ReplicaService::status() const {
  return {FormationProgress.Self, Replica.has_value(),
          Replica ? Replica->Voters : std::vector<Voter>()};
}

void ReplicaService::handleStatus(const VmId &Sender,
                                  const VoterStatus &Status) {
  if (Replica) {
    if (!Status.Formed)
      Bus.send(Sender, status());
    return;
  }
  recordStatus(FormationProgress, Status);
  tryForm();
}

void ReplicaService::tryForm() {
  const std::optional<Formation> Decision = decideFormation(FormationProgress);
  if (!Decision)
    return;
  const Result<Done> OpenResult = openReplica(Decision->FirstVoters);
  if (isError(OpenResult))
    logEvent(events::StorageFailed, {{"error", describe(errorOf(OpenResult))}});
  Bus.broadcast(status());
}

} // namespace sapphiremoor
