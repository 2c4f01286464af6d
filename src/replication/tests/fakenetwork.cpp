#include "replication/tests/fakenetwork.h"

#include <algorithm>
#include <functional>
#include <random>

namespace sapphiremoor::testing {

using std::chrono::milliseconds;

void applyToDisk(RecoveredFolder &Disk, const StorageAction &Action) {
  const uint64_t NextIndex = Disk.FirstIndex + Disk.Records.size();
  const auto RecordIt = [&Disk](uint64_t Index) {
    return Disk.Records.begin() +
           static_cast<std::ptrdiff_t>(Index - Disk.FirstIndex);
  };
  if (const auto *Append = std::get_if<AppendRecords>(&Action)) {
    if (Append->FirstIndex == NextIndex)
      Disk.Records.insert(Disk.Records.end(), Append->Records.begin(),
                          Append->Records.end());
  } else if (const auto *Truncate = std::get_if<TruncateRecords>(&Action)) {
    Disk.Records.erase(RecordIt(Truncate->FromIndex), Disk.Records.end());
  } else if (const auto *State = std::get_if<ReplaceState>(&Action)) {
    Disk.State = State->Bytes;
  } else if (const auto *Snapshot = std::get_if<ReplaceSnapshot>(&Action)) {
    Disk.Snapshot = Snapshot->Bytes;
    if (Snapshot->DropAllRecords || Snapshot->FirstKeptIndex > NextIndex)
      Disk.Records.clear();
    else
      Disk.Records.erase(Disk.Records.begin(),
                         RecordIt(Snapshot->FirstKeptIndex));
    Disk.FirstIndex = Snapshot->FirstKeptIndex;
  }
}

FakeNetwork::FakeNetwork(std::size_t Voters, uint64_t Seed) : Rng(Seed) {
  for (std::size_t I = 0; I < Voters; ++I)
    InitialVoters.push_back(
        {std::string(1, static_cast<char>('a' + I)), Rng()});
  for (const Voter &Replica : InitialVoters) {
    Nodes[Replica.Name].Disk.Identity = Replica.Identity;
    start(Replica.Name);
  }
}

void FakeNetwork::start(const std::string &Name) {
  FakeNode &Node = Nodes[Name];
  ReplicaConfig Config;
  Config.Self.Name = Name;
  const Voter Self{Name, Node.Disk.Identity};
  if (std::ranges::find(InitialVoters, Self) != InitialVoters.end())
    Config.InitialVoters = InitialVoters;
  for (const Voter &Replica : InitialVoters)
    Config.Peers.push_back(Replica.Name);
  auto Recovered = recoverReplica(Config, Node.Disk, Now, Rng);
  if (isError(Recovered)) {
    Violations.insert("recovery: " + describe(errorOf(Recovered)));
    return;
  }
  Node.IsUp = true;
  ++Node.Incarnation;
  Node.Pending.clear();
  Node.Applied = {};
  Node.State = valueOf(Recovered).State;
  performEffects(Name, valueOf(Recovered).Effects);
}

void FakeNetwork::crash(const std::string &Name) {
  FakeNode &Node = Nodes[Name];
  Node.IsUp = false;
  // StorageTask writes the state file last in a batch. A crash therefore loses
  // the pending state and leaves a prefix of the other writes.
  std::erase_if(Node.Pending, [](const StorageRequest &Request) {
    return std::holds_alternative<ReplaceState>(Request.Action);
  });
  const std::size_t WrittenCount = Rng() % (Node.Pending.size() + 1);
  for (std::size_t I = 0; I < WrittenCount; ++I)
    applyToDisk(Node.Disk, Node.Pending[I].Action);
  Node.Pending.clear();
}

void FakeNetwork::restart(const std::string &Name) {
  if (!Nodes[Name].IsUp)
    start(Name);
}

void FakeNetwork::wipe(const std::string &Name) {
  crash(Name);
  Nodes[Name].Disk = {};
  Nodes[Name].Disk.Identity = Rng();
  start(Name);
}

void FakeNetwork::cut(const std::string &Sender, const std::string &Receiver) {
  Cuts.insert({Sender, Receiver});
}

void FakeNetwork::isolate(const std::string &Name) {
  for (const auto &[Other, Node] : Nodes) {
    cut(Name, Other);
    cut(Other, Name);
  }
}

uint64_t FakeNetwork::propose(const std::string &Name,
                              const std::string &Bytes) {
  handle(Name, ProposeCommand{++LastRequestNumber, Bytes});
  return LastRequestNumber;
}

uint64_t FakeNetwork::changeVoter(VoterChangeKind Kind,
                                  const Voter &ChangedVoter) {
  const std::string LeaderName = leader().value_or(Nodes.begin()->first);
  handle(LeaderName,
         ProposeVoterChange{++LastRequestNumber, Kind, ChangedVoter});
  return LastRequestNumber;
}

void FakeNetwork::makeSnapshot(const std::string &Name) {
  const AppliedState &Applied = Nodes[Name].Applied;
  handle(Name, SnapshotCreated{Applied.Index, std::to_string(Applied.Hash)});
}

void FakeNetwork::handle(const std::string &Name, const ReplicaEvent &Event) {
  FakeNode &Node = Nodes[Name];
  if (!Node.IsUp)
    return;
  const ReplicaRole OldRole = Node.State.Role;
  const std::vector<ReplicaEffect> Effects = step(Node.State, Event, Now, Rng);
  const ReplicaRole NewRole = Node.State.Role;
  if (OldRole != NewRole)
    RoleChanges.insert(std::string(roleName(OldRole)) + " " +
                       std::string(roleName(NewRole)));
  HighestTerm = std::max(HighestTerm, Node.State.Hard.Term);
  performEffects(Name, Effects);
}

void FakeNetwork::performEffects(const std::string &Name,
                                 const std::vector<ReplicaEffect> &Effects) {
  for (const ReplicaEffect &Effect : Effects) {
    if (auto Request = toStorageRequest(Effect))
      persist(Name, std::move(*Request));
    else if (const auto *Send = std::get_if<SendReplicationMessage>(&Effect))
      send(Name, *Send);
    else if (const auto *Applied = std::get_if<ApplyCommand>(&Effect))
      apply(Name, *Applied);
    else if (const auto *Snapshot = std::get_if<InstallSnapshot>(&Effect))
      install(Name, *Snapshot);
    else if (const auto *Leader = std::get_if<BecameLeader>(&Effect))
      checkLeader(Name, Leader->Term);
    else if (const auto *ProposalResult = std::get_if<ProposeResult>(&Effect))
      Results.insert_or_assign(ProposalResult->RequestNumber,
                               ProposalResult->Outcome);
  }
}

bool FakeNetwork::chance(double Probability) {
  return std::uniform_real_distribution<>(0, 1)(Rng) < Probability;
}

Duration FakeNetwork::delay(int MaxMs) {
  return std::uniform_int_distribution<>(100, MaxMs * 1000)(Rng) * Duration(1);
}

void FakeNetwork::send(const std::string &Sender,
                       const SendReplicationMessage &Effect) {
  const int Copies = (chance(Loss) ? 0 : 1) + (chance(Duplication) ? 1 : 0);
  for (int I = 0; I < Copies; ++I)
    Queue.emplace(Now + delay(MaxDelayMs),
                  Delivery{Sender, Effect.Receiver, Effect.Message});
}

void FakeNetwork::persist(const std::string &Name, StorageRequest Request) {
  FakeNode &Node = Nodes[Name];
  Queue.emplace(Now + delay(15), Delivery{Name, Name, std::nullopt,
                                          Node.Incarnation, Request.Number});
  Node.Pending.push_back(std::move(Request));
}

void FakeNetwork::completePersist(const std::string &Name, uint64_t Number) {
  FakeNode &Node = Nodes[Name];
  while (!Node.Pending.empty() && Node.Pending.front().Number <= Number) {
    applyToDisk(Node.Disk, Node.Pending.front().Action);
    Node.Pending.pop_front();
  }
  handle(Name, toReplicaEvent(StorageReply{Number, Done{}}));
}

void FakeNetwork::deliver(const Delivery &Item) {
  const FakeNode &Node = Nodes[Item.Receiver];
  if (!Item.Message && Node.IsUp && Node.Incarnation == Item.Incarnation)
    completePersist(Item.Receiver, Item.PersistNumber);
  if (Item.Message && !Cuts.contains({Item.Sender, Item.Receiver}))
    handle(Item.Receiver, MessageReceived{Item.Sender, *Item.Message});
}

void FakeNetwork::run(Duration Time) {
  const Instant End = Now + Time;
  while (Now < End && Violations.empty()) {
    if (!Queue.empty() && Queue.begin()->first <= NextTick) {
      Now = std::max(Now, Queue.begin()->first);
      const Delivery Item = std::move(Queue.extract(Queue.begin()).mapped());
      deliver(Item);
      continue;
    }
    Now = NextTick;
    NextTick += milliseconds(50);
    for (const auto &[Name, Node] : Nodes)
      handle(Name, Tick{});
  }
  checkLogsMatch();
}

void FakeNetwork::apply(const std::string &Name, const ApplyCommand &Effect) {
  AppliedState &Applied = Nodes[Name].Applied;
  if (Effect.Index <= Applied.Index)
    Violations.insert("an entry was applied twice or out of order at " + Name);
  Applied.Index = Effect.Index;
  Applied.Hash = Applied.Hash * 1099511628211U + Effect.Index;
  Applied.Hash ^= std::hash<std::string>()(Effect.Bytes);
  const auto [HashIt, Inserted] =
      CommittedHashes.emplace(Effect.Index, Applied.Hash);
  if (HashIt->second != Applied.Hash)
    Violations.insert("a committed entry differs at " + Name);
  CommittedCommands.emplace(
      Effect.Index, std::pair(Nodes[Name].State.Hard.Term, Effect.Bytes));
}

void FakeNetwork::install(const std::string &Name,
                          const InstallSnapshot &Effect) {
  AppliedState &Applied = Nodes[Name].Applied;
  if (Effect.Index < Applied.Index)
    Violations.insert(
        "a snapshot older than the applied state was installed at " + Name);
  const uint64_t Hash = std::stoull(Effect.Bytes);
  Applied = {Effect.Index, Hash};
}

void FakeNetwork::checkLeader(const std::string &Name, uint64_t Term) {
  const ReplicaState &State = Nodes[Name].State;
  const auto [LeaderIt, Inserted] =
      LeadersByTerm.emplace(Term, State.Config.Self);
  if (!Inserted)
    Violations.insert("two leaders in one term");
  for (const auto &[Index, CommandWithTerm] : CommittedCommands) {
    const auto &[CommandTerm, Bytes] = CommandWithTerm;
    // Votes may arrive late, after a later term has committed more.
    if (Index <= State.Snapshot.Index || CommandTerm >= Term)
      continue;
    if (Index > lastIndex(State) ||
        State.Log[Index - State.Snapshot.Index - 1].Bytes != Bytes)
      Violations.insert("the leader " + Name + " lacks a committed entry");
  }
}

std::optional<std::string> FakeNetwork::leader() const {
  std::optional<std::string> LeaderName;
  uint64_t Term = 0;
  for (const auto &[Name, Node] : Nodes)
    if (Node.IsUp && Node.State.Role == ReplicaRole::Leader &&
        Node.State.Hard.Term > Term) {
      LeaderName = Name;
      Term = Node.State.Hard.Term;
    }
  return LeaderName;
}

void FakeNetwork::checkLogsMatch() {
  for (const auto &[NameA, NodeA] : Nodes)
    for (const auto &[NameB, NodeB] : Nodes) {
      const ReplicaState &StateA = NodeA.State;
      const ReplicaState &StateB = NodeB.State;
      bool TermsMatched = false;
      const uint64_t LastIndex = std::min(lastIndex(StateA), lastIndex(StateB));
      const uint64_t FirstIndex =
          std::max(StateA.Snapshot.Index, StateB.Snapshot.Index);
      for (uint64_t I = LastIndex; I > FirstIndex; --I) {
        const LogEntry &EntryA = StateA.Log[I - StateA.Snapshot.Index - 1];
        const LogEntry &EntryB = StateB.Log[I - StateB.Snapshot.Index - 1];
        TermsMatched = TermsMatched || EntryA.Term == EntryB.Term;
        if (TermsMatched && EntryA != EntryB)
          Violations.insert("logs of two VMs differ, one is " + NameA);
      }
    }
}

bool FakeNetwork::runUntilConverged() {
  const auto IsConverged = [this] {
    std::set<uint64_t> Hashes;
    for (const auto &[Name, Node] : Nodes)
      if (Node.IsUp && Node.State.Role != ReplicaRole::Lost)
        Hashes.insert(Node.Applied.Hash);
    return Hashes.size() == 1 && leader();
  };
  for (int Round = 0; Round < 60 && Violations.empty(); ++Round) {
    run(milliseconds(1000));
    if (IsConverged())
      return true;
  }
  return false;
}

} // namespace sapphiremoor::testing
