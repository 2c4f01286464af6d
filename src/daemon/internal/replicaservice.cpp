#include "daemon/replicaservice.h"

#include "framework/core/random.h"
#include "framework/eventlog/eventlog.h"

#include <algorithm>

namespace sapphiremoor {

namespace {

constexpr Duration TickPeriod = std::chrono::milliseconds(50);

Error notFormed() {
  return {ErrorKind::NotLeader, "the voters have not formed yet",
          "start all VMs that the setting 'voters' names, then try again"};
}

} // namespace

ReplicaService::ReplicaService(EventLoop &Loop, const Settings &Of,
                               PeerBus &Bus)
    : Loop(Loop), Of(Of), Bus(Bus), Rng(secureRandom64()),
      TickTimer(Loop, [this] {
        if (Replica)
          handle(Tick{});
        else
          tryForm();
      }) {}

Result<Done> ReplicaService::start(Callbacks Handlers) {
  Calls = std::move(Handlers);
  auto Opened = RecordLog::open(*Of.DataFolder);
  if (isError(Opened))
    return errorOf(Opened);
  auto Parts = takeValue(std::move(Opened));
  Folder = std::move(Parts.Recovered);
  OpenedLog = std::move(Parts.Log);
  logEvent(events::LogRecovered,
           {{"records", std::to_string(Folder.Records.size())},
            {"cut_bytes", std::to_string(Folder.CutBytes)}});
  Forming = {{Of.Name, Folder.Identity}, Of.Voters, {}};
  Bus.on<VoterStatus>([this](const VmId &From, const VoterStatus &Status) {
    receivedStatus(From, Status);
  });
  Bus.on<ReplicationMessage>(
      [this](const VmId &From, const ReplicationMessage &Message) {
        if (Replica)
          handle(Received{From.Name, Message});
      });
  Bus.onUp([this](const VmId &Peer) { Bus.send(Peer, status()); });
  TickTimer.startPeriodic(TickPeriod);
  const bool Used = Folder.Snapshot.has_value() || Folder.State.has_value();
  if (Used)
    return open({});
  tryForm();
  return Done{};
}

Result<Done> ReplicaService::open(const std::vector<Voter> &FirstVoters) {
  ReplicaConfig Config;
  Config.Self = Forming.Self;
  Config.FirstVoters = FirstVoters;
  std::ranges::transform(Of.Peers, std::back_inserter(Config.Peers),
                         &PeerSettings::Name);
  auto Recovered = recoverReplica(Config, Folder, Loop.now(), Rng);
  if (isError(Recovered))
    return errorOf(Recovered);
  auto Parts = takeValue(std::move(Recovered));
  Replica = std::move(Parts.State);
  Storage = std::make_unique<StorageTask>(
      std::move(OpenedLog), [this, Guard = std::weak_ptr<bool>(Alive)](
                                std::vector<StorageReply> Replies) {
        Loop.post([this, Guard, Replies = std::move(Replies)] {
          if (Guard.expired())
            return;
          for (const StorageReply &Reply : Replies) {
            if (isError(Reply.Outcome))
              lose(errorOf(Reply.Outcome));
            else
              handle(eventFor(Reply));
          }
        });
      });
  run(Parts.Effects);
  return Done{};
}

void ReplicaService::propose(const std::string &Bytes, ResultHandler Handler) {
  if (!Replica) {
    Handler(notFormed());
    return;
  }
  Proposals.emplace(++LastProposal, std::move(Handler));
  handle(Propose{LastProposal, Bytes});
}

void ReplicaService::changeVoter(const std::string &Name, bool Remove,
                                 ResultHandler Handler) {
  const std::optional<Voter> Changed = findVoter(Name, Remove);
  if (!Changed) {
    Handler(Error{ErrorKind::NotFound,
                  Remove ? "'" + Name + "' is no voter"
                         : "'" + Name + "' does not follow without a vote",
                  "see 'sapphiremoor config voters show'; a new voter needs a "
                  "data folder and must have caught up"});
    return;
  }
  Proposals.emplace(++LastProposal, std::move(Handler));
  handle(ProposeVoterChange{
      LastProposal, Remove ? VoterChangeKind::Remove : VoterChangeKind::Add,
      *Changed});
}

std::optional<Voter> ReplicaService::findVoter(const std::string &Name,
                                               bool Remove) const {
  if (!Replica)
    return std::nullopt;
  if (Remove) {
    const auto Found = std::ranges::find(Replica->Voters, Name, &Voter::Name);
    return Found == Replica->Voters.end() ? std::nullopt
                                          : std::optional(*Found);
  }
  // The newest identity with this name that follows without a vote.
  std::optional<Voter> Newest;
  Instant Heard{};
  for (const auto &[Candidate, Progress] : Replica->Followers) {
    const bool Votes =
        std::ranges::find(Replica->Voters, Candidate) != Replica->Voters.end();
    if (Candidate.Name != Name || Votes || Progress.LastReply < Heard)
      continue;
    Newest = Candidate;
    Heard = Progress.LastReply;
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
  run(step(*Replica, Event, Loop.now(), Rng));
  if (wantsSnapshot(*Replica))
    run(step(*Replica, SnapshotMade{AppliedIndex, Calls.Snapshot()}, Loop.now(),
             Rng));
}

void ReplicaService::run(const std::vector<ReplicaEffect> &Effects) {
  for (const ReplicaEffect &Effect : Effects)
    run(Effect);
}

void ReplicaService::run(const ReplicaEffect &Effect) {
  if (std::optional<StorageRequest> Request = storageRequestFor(Effect)) {
    Storage->submit(std::move(*Request));
  } else if (const auto *Message = std::get_if<SendTo>(&Effect)) {
    if (const auto To = Bus.network().reachable(Message->Name))
      Bus.send(*To, Message->Message);
  } else if (const auto *Committed = std::get_if<Apply>(&Effect)) {
    AppliedIndex = Committed->Index;
    Calls.Apply(Committed->Index, Committed->Bytes);
  } else if (const auto *Installed = std::get_if<InstallSnapshot>(&Effect)) {
    AppliedIndex = Installed->Index;
    const Result<Done> Taken = Calls.Install(Installed->Bytes);
    if (isError(Taken))
      lose(errorOf(Taken));
  } else if (const auto *Proposed = std::get_if<ProposeResult>(&Effect)) {
    finishProposal(*Proposed);
  } else if (const auto *Leading = std::get_if<BecameLeader>(&Effect)) {
    logEvent(events::LeaderElected,
             {{"leader", Of.Name}, {"term", std::to_string(Leading->Term)}});
  }
}

void ReplicaService::lose(const Error &Reason) {
  logEvent(events::StorageFailed, {{"error", describe(Reason)}});
  handle(StorageLost{});
}

void ReplicaService::finishProposal(const ProposeResult &Result) {
  auto Found = Proposals.extract(Result.RequestNumber);
  if (!Found.empty())
    Found.mapped()(Result.Outcome);
}

VoterStatus ReplicaService::status() const {
  return {Forming.Self, Replica.has_value(),
          Replica ? Replica->Voters : std::vector<Voter>()};
}

void ReplicaService::receivedStatus(const VmId &From,
                                    const VoterStatus &Status) {
  if (Replica) {
    if (!Status.Formed)
      Bus.send(From, status());
    return;
  }
  noteStatus(Forming, Status);
  tryForm();
}

void ReplicaService::tryForm() {
  const std::optional<Formation> Decided = decideFormation(Forming);
  if (!Decided)
    return;
  const Result<Done> Opened = open(Decided->FirstVoters);
  if (isError(Opened))
    logEvent(events::StorageFailed, {{"error", describe(errorOf(Opened))}});
  Bus.broadcast(status());
}

} // namespace sapphiremoor
