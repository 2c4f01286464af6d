#include "replication/tests/fakenetwork.h"

#include <algorithm>
#include <functional>
#include <random>

namespace sapphiremoor::testing {

using std::chrono::milliseconds;

void performOn(RecoveredFolder &Disk, const StorageAction &Action) {
  const uint64_t Next = Disk.FirstIndex + Disk.Records.size();
  const auto At = [&Disk](uint64_t Index) {
    return Disk.Records.begin() +
           static_cast<std::ptrdiff_t>(Index - Disk.FirstIndex);
  };
  if (const auto *Append = std::get_if<AppendRecords>(&Action)) {
    if (Append->FirstIndex == Next)
      Disk.Records.insert(Disk.Records.end(), Append->Records.begin(),
                          Append->Records.end());
  } else if (const auto *Truncate = std::get_if<TruncateRecords>(&Action)) {
    Disk.Records.erase(At(Truncate->FromIndex), Disk.Records.end());
  } else if (const auto *State = std::get_if<ReplaceState>(&Action)) {
    Disk.State = State->Bytes;
  } else if (const auto *Snapshot = std::get_if<ReplaceSnapshot>(&Action)) {
    Disk.Snapshot = Snapshot->Bytes;
    if (Snapshot->KeepNone || Snapshot->KeepFrom > Next)
      Disk.Records.clear();
    else
      Disk.Records.erase(Disk.Records.begin(), At(Snapshot->KeepFrom));
    Disk.FirstIndex = Snapshot->KeepFrom;
  }
}

FakeNetwork::FakeNetwork(std::size_t Voters, uint64_t Seed) : Rng(Seed) {
  for (std::size_t I = 0; I < Voters; ++I)
    FirstVoters.push_back({std::string(1, static_cast<char>('a' + I)), Rng()});
  for (const Voter &Each : FirstVoters) {
    Nodes[Each.Name].Disk.Identity = Each.Identity;
    start(Each.Name);
  }
}

void FakeNetwork::start(const std::string &Name) {
  FakeNode &Node = Nodes[Name];
  ReplicaConfig Config;
  Config.Self.Name = Name;
  const Voter Self{Name, Node.Disk.Identity};
  if (std::ranges::find(FirstVoters, Self) != FirstVoters.end())
    Config.FirstVoters = FirstVoters;
  for (const Voter &Each : FirstVoters)
    Config.Peers.push_back(Each.Name);
  auto Recovered = recoverReplica(Config, Node.Disk, Now, Rng);
  if (isError(Recovered)) {
    Faults.insert("recovery: " + describe(errorOf(Recovered)));
    return;
  }
  Node.Up = true;
  ++Node.Run;
  Node.Pending.clear();
  Node.Applied = {};
  Node.State = valueOf(Recovered).State;
  carryOut(Name, valueOf(Recovered).Effects);
}

void FakeNetwork::crash(const std::string &Name) {
  FakeNode &Node = Nodes[Name];
  Node.Up = false;
  // As in a batch of StorageTask, the state file is written last, so the crash
  // leaves some of the other writes.
  std::erase_if(Node.Pending, [](const StorageRequest &Request) {
    return std::holds_alternative<ReplaceState>(Request.Action);
  });
  const std::size_t Written = Rng() % (Node.Pending.size() + 1);
  for (std::size_t I = 0; I < Written; ++I)
    performOn(Node.Disk, Node.Pending[I].Action);
  Node.Pending.clear();
}

void FakeNetwork::restart(const std::string &Name) {
  if (!Nodes[Name].Up)
    start(Name);
}

void FakeNetwork::wipe(const std::string &Name) {
  crash(Name);
  Nodes[Name].Disk = {};
  Nodes[Name].Disk.Identity = Rng();
  start(Name);
}

void FakeNetwork::cut(const std::string &From, const std::string &To) {
  Cuts.insert({From, To});
}

void FakeNetwork::isolate(const std::string &Name) {
  for (const auto &[Other, Node] : Nodes) {
    cut(Name, Other);
    cut(Other, Name);
  }
}

uint64_t FakeNetwork::propose(const std::string &Name,
                              const std::string &Bytes) {
  handle(Name, Propose{++LastRequest, Bytes});
  return LastRequest;
}

uint64_t FakeNetwork::changeVoter(VoterChangeKind Kind, const Voter &Changed) {
  const std::string At = leader().value_or(Nodes.begin()->first);
  handle(At, ProposeVoterChange{++LastRequest, Kind, Changed});
  return LastRequest;
}

void FakeNetwork::makeSnapshot(const std::string &Name) {
  const AppliedState &Applied = Nodes[Name].Applied;
  handle(Name, SnapshotMade{Applied.Index, std::to_string(Applied.Hash)});
}

void FakeNetwork::handle(const std::string &Name, const ReplicaEvent &Event) {
  FakeNode &Node = Nodes[Name];
  if (!Node.Up)
    return;
  const ReplicaRole Before = Node.State.Role;
  const std::vector<ReplicaEffect> Effects = step(Node.State, Event, Now, Rng);
  const ReplicaRole After = Node.State.Role;
  if (Before != After)
    RoleChanges.insert(std::string(roleName(Before)) + " " +
                       std::string(roleName(After)));
  HighestTerm = std::max(HighestTerm, Node.State.Hard.Term);
  carryOut(Name, Effects);
}

void FakeNetwork::carryOut(const std::string &Name,
                           const std::vector<ReplicaEffect> &Effects) {
  for (const ReplicaEffect &Effect : Effects) {
    if (auto Request = storageRequestFor(Effect))
      persist(Name, std::move(*Request));
    else if (const auto *Send = std::get_if<SendTo>(&Effect))
      send(Name, *Send);
    else if (const auto *Applied = std::get_if<Apply>(&Effect))
      apply(Name, *Applied);
    else if (const auto *Snapshot = std::get_if<InstallSnapshot>(&Effect))
      install(Name, *Snapshot);
    else if (const auto *Leader = std::get_if<BecameLeader>(&Effect))
      checkLeader(Name, Leader->Term);
    else if (const auto *Answer = std::get_if<ProposeResult>(&Effect))
      Results.insert_or_assign(Answer->RequestNumber, Answer->Outcome);
  }
}

bool FakeNetwork::chance(double Probability) {
  return std::uniform_real_distribution<>(0, 1)(Rng) < Probability;
}

Duration FakeNetwork::delay(int LongestMs) {
  return std::uniform_int_distribution<>(100, LongestMs * 1000)(Rng) *
         Duration(1);
}

void FakeNetwork::send(const std::string &From, const SendTo &Effect) {
  const int Copies = (chance(Loss) ? 0 : 1) + (chance(Duplication) ? 1 : 0);
  for (int I = 0; I < Copies; ++I)
    Queue.emplace(Now + delay(LongestDelayMs),
                  Delivery{From, Effect.Name, Effect.Message});
}

void FakeNetwork::persist(const std::string &Name, StorageRequest Request) {
  FakeNode &Node = Nodes[Name];
  Queue.emplace(Now + delay(15),
                Delivery{Name, Name, std::nullopt, Node.Run, Request.Number});
  Node.Pending.push_back(std::move(Request));
}

void FakeNetwork::finishPersist(const std::string &Name, uint64_t Number) {
  FakeNode &Node = Nodes[Name];
  while (!Node.Pending.empty() && Node.Pending.front().Number <= Number) {
    performOn(Node.Disk, Node.Pending.front().Action);
    Node.Pending.pop_front();
  }
  handle(Name, eventFor(StorageReply{Number, Done{}}));
}

void FakeNetwork::deliver(const Delivery &Each) {
  const FakeNode &Node = Nodes[Each.To];
  if (!Each.Message && Node.Up && Node.Run == Each.Run)
    finishPersist(Each.To, Each.Persist);
  if (Each.Message && !Cuts.contains({Each.From, Each.To}))
    handle(Each.To, Received{Each.From, *Each.Message});
}

void FakeNetwork::run(Duration Time) {
  const Instant End = Now + Time;
  while (Now < End && Faults.empty()) {
    if (!Queue.empty() && Queue.begin()->first <= NextTick) {
      Now = std::max(Now, Queue.begin()->first);
      const Delivery Each = std::move(Queue.extract(Queue.begin()).mapped());
      deliver(Each);
      continue;
    }
    Now = NextTick;
    NextTick += milliseconds(50);
    for (const auto &[Name, Node] : Nodes)
      handle(Name, Tick{});
  }
  checkLogsMatch();
}

void FakeNetwork::apply(const std::string &Name, const Apply &Effect) {
  AppliedState &Applied = Nodes[Name].Applied;
  if (Effect.Index <= Applied.Index)
    Faults.insert("applied twice or backwards at " + Name);
  Applied.Index = Effect.Index;
  Applied.Hash = Applied.Hash * 1099511628211U + Effect.Index;
  Applied.Hash ^= std::hash<std::string>()(Effect.Bytes);
  const auto [Known, New] = Committed.emplace(Effect.Index, Applied.Hash);
  if (Known->second != Applied.Hash)
    Faults.insert("committed entries differ at " + Name);
  CommittedBytes.emplace(Effect.Index,
                         std::pair(Nodes[Name].State.Hard.Term, Effect.Bytes));
}

void FakeNetwork::install(const std::string &Name,
                          const InstallSnapshot &Effect) {
  AppliedState &Applied = Nodes[Name].Applied;
  if (Effect.Index < Applied.Index)
    Faults.insert("snapshot goes back at " + Name);
  const uint64_t Hash = std::stoull(Effect.Bytes);
  Applied = {Effect.Index, Hash};
}

void FakeNetwork::checkLeader(const std::string &Name, uint64_t Term) {
  const ReplicaState &State = Nodes[Name].State;
  const auto [First, New] = LeaderOfTerm.emplace(Term, State.Config.Self);
  if (!New)
    Faults.insert("two leaders in one term");
  for (const auto &[Index, Known] : CommittedBytes) {
    const auto &[KnownTerm, Bytes] = Known;
    // Votes may arrive late, after a later term has committed more.
    if (Index <= State.Snapshot.Index || KnownTerm >= Term)
      continue;
    if (Index > lastIndex(State) ||
        State.Log[Index - State.Snapshot.Index - 1].Bytes != Bytes)
      Faults.insert("the leader " + Name + " lacks a committed entry");
  }
}

std::optional<std::string> FakeNetwork::leader() const {
  std::optional<std::string> Found;
  uint64_t Term = 0;
  for (const auto &[Name, Node] : Nodes)
    if (Node.Up && Node.State.Role == ReplicaRole::Leader &&
        Node.State.Hard.Term > Term) {
      Found = Name;
      Term = Node.State.Hard.Term;
    }
  return Found;
}

void FakeNetwork::checkLogsMatch() {
  for (const auto &[NameA, A] : Nodes)
    for (const auto &[NameB, B] : Nodes) {
      const ReplicaState &S = A.State;
      const ReplicaState &T = B.State;
      bool Same = false;
      const uint64_t Last = std::min(lastIndex(S), lastIndex(T));
      const uint64_t First = std::max(S.Snapshot.Index, T.Snapshot.Index);
      for (uint64_t I = Last; I > First; --I) {
        const LogEntry &X = S.Log[I - S.Snapshot.Index - 1];
        const LogEntry &Y = T.Log[I - T.Snapshot.Index - 1];
        Same = Same || X.Term == Y.Term;
        if (Same && X != Y)
          Faults.insert("logs of two VMs differ, one is " + NameA);
      }
    }
}

bool FakeNetwork::settles() {
  const auto Equal = [this] {
    std::set<uint64_t> Hashes;
    for (const auto &[Name, Node] : Nodes)
      if (Node.Up && Node.State.Role != ReplicaRole::Lost)
        Hashes.insert(Node.Applied.Hash);
    return Hashes.size() == 1 && leader();
  };
  for (int Round = 0; Round < 60 && Faults.empty(); ++Round) {
    run(milliseconds(1000));
    if (Equal())
      return true;
  }
  return false;
}

} // namespace sapphiremoor::testing
