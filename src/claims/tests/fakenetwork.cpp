#include "fakenetwork.h"

#include "framework/codec/serial.h"

#include <algorithm>

namespace sapphiremoor::test {

using std::chrono::milliseconds;

namespace {

std::string answerText(const BodyDigest &Digest) {
  return "answer " + std::to_string(Digest[0]);
}

} // namespace

FakeNetwork::FakeNetwork(uint64_t Seed, std::size_t Size,
                         const FaultRates &Faults)
    : Rng(Seed), Rates(Faults) {
  for (std::size_t I = 0; I < Size; ++I) {
    Nodes.emplace_back().Name = std::string(1, static_cast<char>('a' + I));
    restart(Nodes.back());
  }
}

bool FakeNetwork::chance(double Probability) {
  return std::uniform_real_distribution<double>(0, 1)(Rng) < Probability;
}

std::size_t FakeNetwork::randomIndex(std::size_t Count) {
  return Rng() % Count;
}

Node *FakeNetwork::findNode(const std::string &Name) {
  const auto NodeIt = std::ranges::find(Nodes, Name, &Node::Name);
  return NodeIt->State ? &*NodeIt : nullptr;
}

void FakeNetwork::addViolation(const JobKey &Key, const std::string &Message) {
  Violations.push_back(Key.Prefix.Issuer.Name +
                       std::to_string(Key.Prefix.Sequence) + "." +
                       std::to_string(Key.Number) + " " + Message);
}

void FakeNetwork::kill(Node &Vm) {
  Node Empty;
  Empty.Name = Vm.Name;
  Vm = std::move(Empty);
}

void FakeNetwork::restart(Node &Vm) {
  kill(Vm);
  Vm.State = makeClaimState({Vm.Name, Rng()}, "dc");
}

JobKey FakeNetwork::newKey(Node &Issuer) {
  std::vector<VmId> Others;
  for (const Node &Vm : Nodes)
    if (Vm.State && Vm.Name != Issuer.Name)
      Others.push_back(Vm.State->Self);
  std::ranges::shuffle(Others, Rng);
  const Prefix NewPrefix = issuePrefix(*Issuer.State, "team", Others, Now);
  Keys.push_back({NewPrefix, 1});
  return Keys.back();
}

void FakeNetwork::send(const VmId &Sender, const VmId &Receiver,
                       const Envelope &Message) {
  ++MessagesSent;
  if (Cuts.contains({Sender.Name, Receiver.Name}) || chance(Rates.Loss))
    return;
  const int Copies = chance(Rates.Duplication) ? 2 : 1;
  for (int I = 0; I < Copies; ++I) {
    const std::size_t Delay = chance(Rates.DelayedDelivery) ? 3000 : 20;
    InFlight.emplace(Now + milliseconds(1 + randomIndex(Delay)), Message);
  }
}

void FakeNetwork::deliver(const Envelope &Message) {
  Node *Vm = findNode(Message.Receiver.Name);
  if (!Vm)
    return;
  if (Vm->Paused)
    Vm->Inbox.push_back(Message);
  else
    handle(*Vm, Message);
}

void FakeNetwork::handle(Node &Vm, const Envelope &Message) {
  if (const auto *Passed = std::get_if<PassedRequest>(&Message.Body))
    return Passed->Digest ? claim(Vm, *Passed)
                          : find(Vm, Passed->Key, Passed->Hops);
  const auto Decoded =
      decode<ClaimMessage>(encode(std::get<ClaimMessage>(Message.Body)));
  apply(Vm, receive(*Vm.State, Message.Sender, valueOf(Decoded), Now), 0);
}

void FakeNetwork::submit(Node &Entry, const JobKey &Key,
                         const BodyDigest &Digest) {
  Submitted[Key].insert(Digest);
  Node &Executor = Nodes[randomIndex(Nodes.size())];
  if (!Executor.State || &Executor == &Entry)
    return claim(Entry, {Key, Digest, std::nullopt, 0});
  const VmId Receiver = Executor.State->Self;
  const ForwardResult Result =
      forwardJob(*Entry.State, Key, Digest, Receiver, Now);
  if (Result.Effect) {
    // A pending claim of the same job will lead to its own result.
    if (Entry.OpenCalls.insert({Key, Digest}).second)
      finish(Entry, *Result.Effect, 0);
    return;
  }
  send(Entry.State->Self, Receiver,
       {Entry.State->Self, Receiver,
        PassedRequest{Key, Digest, Result.Grant, 0}});
}

void FakeNetwork::claim(Node &Vm, const PassedRequest &Request) {
  Vm.OpenCalls.insert({Request.Key, Request.Digest});
  apply(Vm,
        claimJob(*Vm.State, Request.Key, *Request.Digest, Request.Grant, Now),
        Request.Hops);
}

void FakeNetwork::find(Node &Vm, const JobKey &Key, int Hops) {
  Vm.OpenCalls.insert({Key, std::nullopt});
  apply(Vm, findJob(*Vm.State, Key, Now), Hops);
}

void FakeNetwork::refuse(Node &Vm, const JobKey &Key) {
  if (Vm.Running.contains(Key))
    return;
  Vm.Queued.erase(Key);
  std::erase_if(Vm.OpenCalls, [&](const ClaimId &Id) { return Id.Key == Key; });
  Vm.OpenCalls.insert({Key, std::nullopt});
  const Error Reason{ErrorKind::Overloaded, "the queue is full", "wait"};
  apply(Vm, refuseJob(*Vm.State, Key, Reason, Now), 0);
}

void FakeNetwork::apply(Node &Vm, const ClaimEffects &Effects, int Hops) {
  for (const ClaimEffect &Effect : Effects)
    if (const auto *Message = std::get_if<SendClaimMessage>(&Effect))
      send(Vm.State->Self, Message->Receiver,
           {Vm.State->Self, Message->Receiver, Message->Message});
    else
      finish(Vm, Effect, Hops);
}

void FakeNetwork::closeCall(Node &Vm, const ClaimId &Id) {
  if (Vm.OpenCalls.erase(Id) == 0)
    addViolation(Id.Key, "has two results for one call");
}

void FakeNetwork::finish(Node &Vm, const ClaimEffect &Effect, int Hops) {
  if (const auto *Job = std::get_if<StartJob>(&Effect)) {
    closeCall(Vm, {Job->Key, Job->Digest});
    ++Results["start"];
    Vm.Queued.emplace(Job->Key, Job->Digest);
  } else if (const auto *Pass = std::get_if<PassToExecutor>(&Effect)) {
    closeCall(Vm, {Pass->Key, Pass->Digest});
    ++Results["pass"];
    const PassedRequest NextRequest{Pass->Key, Pass->Digest, std::nullopt,
                                    Hops + 1};
    if (Hops > 8)
      addViolation(Pass->Key, "is passed on in a loop");
    else
      send(Vm.State->Self, Pass->Executor,
           {Vm.State->Self, Pass->Executor, NextRequest});
  } else if (const auto *Join = std::get_if<JoinJob>(&Effect)) {
    closeCall(Vm, {Join->Key, Join->Digest});
    ++Results["join"];
    const std::string *Answer = findStoredAnswer(*Vm.State, Join->Key);
    const auto Started = StartedJobs.find(Join->Key);
    if (Answer && *Answer != answerText(Started->second.second))
      addViolation(Join->Key, "has another job's answer");
    if (Join->Digest && Started != StartedJobs.end() &&
        Started->second.second != *Join->Digest)
      addViolation(Join->Key, "joins a job with another body");
  } else if (const auto *Result = std::get_if<ReportOutcome>(&Effect)) {
    closeCall(Vm, {Result->Key, Result->Digest});
    ++Results[Result->Reason];
    if (Result->Outcome == ClaimOutcome::Conflict &&
        Submitted[Result->Key].size() < 2)
      addViolation(Result->Key, "has a conflict with itself");
    if (Result->Outcome != ClaimOutcome::NotRun)
      return;
    NotRun.insert(Result->Key);
    if (StartedJobs.contains(Result->Key))
      addViolation(Result->Key, "was started and then said not to run");
  }
}

void FakeNetwork::start(Node &Vm, JobKey Key) {
  const BodyDigest Digest = Vm.Queued.at(Key);
  Vm.Queued.erase(Key);
  Vm.Running.emplace(Key, Digest);
  auto &[StartCount, StartedDigest] = StartedJobs[Key];
  if (++StartCount > 1)
    addViolation(Key, "was started twice");
  if (NotRun.contains(Key))
    addViolation(Key, "was started after it was said not to run");
  StartedDigest = Digest;
}

void FakeNetwork::runJobs(Node &Vm) {
  if (!Vm.Queued.empty() && chance(0.1))
    start(Vm, Vm.Queued.begin()->first);
  if (Vm.Running.empty() || !chance(0.02))
    return;
  const auto [Key, Digest] = *Vm.Running.begin();
  Vm.Running.erase(Key);
  apply(Vm, storeAnswer(*Vm.State, Key, Digest, answerText(Digest), Now), 0);
}

void FakeNetwork::advance(Duration Time) {
  Now += Time;
  while (!InFlight.empty() && InFlight.begin()->first <= Now)
    deliver(InFlight.extract(InFlight.begin()).mapped());
  for (Node &Vm : Nodes) {
    if (!Vm.State || Vm.Paused)
      continue;
    apply(Vm, tick(*Vm.State, Now), 0);
    runJobs(Vm);
  }
}

void FakeNetwork::runFor(Duration Time) {
  for (const Instant End = Now + Time; Now < End;)
    advance(milliseconds(5));
}

void FakeNetwork::resume(Node &Vm) {
  Vm.Paused = false;
  // A resumed process may handle its timers before or after its sockets.
  if (chance(0.5))
    apply(Vm, tick(*Vm.State, Now), 0);
  std::ranges::shuffle(Vm.Inbox, Rng);
  for (const Envelope &Message : std::exchange(Vm.Inbox, {}))
    handle(Vm, Message);
}

void FakeNetwork::reportPeerState(Node &Vm, Node &Peer) {
  if (!Vm.State || Vm.Paused || &Vm == &Peer)
    return;
  if (Peer.State && chance(0.5))
    apply(Vm, peerUp(*Vm.State, Peer.State->Self, Now), 0);
  else if (const auto PeerIt = Vm.State->Peers.find(Peer.Name);
           PeerIt != Vm.State->Peers.end())
    apply(Vm, peerDown(*Vm.State, {Peer.Name, PeerIt->second.Incarnation}, Now),
          0);
}

void FakeNetwork::injectFault() {
  Node &Vm = Nodes[randomIndex(Nodes.size())];
  Node &Other = Nodes[randomIndex(Nodes.size())];
  switch (randomIndex(7)) {
  case 0:
    kill(Vm);
    break;
  case 1:
    restart(Vm);
    break;
  case 2:
    if (!Vm.Paused)
      Vm.Paused = Vm.State.has_value();
    else
      resume(Vm);
    break;
  case 3:
    Cuts.insert({Vm.Name, Other.Name});
    break;
  case 4:
    Cuts.insert({Vm.Name, Other.Name});
    Cuts.insert({Other.Name, Vm.Name});
    break;
  case 5:
    Cuts.clear();
    break;
  case 6:
    reportPeerState(Vm, Other);
    break;
  }
}

void FakeNetwork::run(int Steps) {
  for (int I = 0; I < Steps; ++I) {
    advance(milliseconds(1 + randomIndex(chance(0.05) ? 400 : 20)));
    if (chance(Rates.NodeFault))
      injectFault();
    Node &Vm = Nodes[randomIndex(Nodes.size())];
    if (!Vm.State || Vm.Paused)
      continue;
    if (Keys.empty() || chance(0.04))
      newKey(Vm);
    const JobKey Key = Keys[Keys.size() - 1 -
                            randomIndex(std::min<std::size_t>(Keys.size(), 4))];
    const BodyDigest Digest{static_cast<uint8_t>(chance(0.05) ? 2 : 1)};
    if (chance(0.4))
      submit(Vm, Key, Digest);
    else if (chance(0.1))
      find(Vm, Key, 0);
    else if (chance(0.05))
      refuse(Vm, Key);
  }
}

void FakeNetwork::runToCompletion() {
  Rates = {};
  Cuts.clear();
  for (Node &Vm : Nodes) {
    if (!Vm.State)
      restart(Vm);
    if (Vm.Paused)
      resume(Vm);
  }
  for (const JobKey &Key : Keys)
    for (Node &Vm : Nodes)
      submit(Vm, Key, {1});
  runFor(std::chrono::seconds(12));
  for (const Node &Vm : Nodes)
    for (const ClaimId &Id : Vm.OpenCalls)
      addViolation(Id.Key, "has no result at " + Vm.Name);
}

} // namespace sapphiremoor::test
