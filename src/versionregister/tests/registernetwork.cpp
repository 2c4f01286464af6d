#include "versionregister/tests/registernetwork.h"

#include <algorithm>
#include <utility>

namespace sapphiremoor {

RegisterNetwork::RegisterNetwork(std::size_t Count, uint64_t Seed) : Rng(Seed) {
  for (std::size_t Number = 0; Number < Count; ++Number)
    Names.push_back("v" + std::to_string(Number));
  for (const std::string &Name : Names)
    Nodes.emplace(Name, Member{});
  for (const std::string &Name : Names)
    start(Name, true);
}

void RegisterNetwork::start(const std::string &Name, bool Initial) {
  Member &Process = Nodes.at(Name);
  Process.Incarnation = ++Incarnations;
  RegisterStart Start{{Name, Process.Incarnation}, Process.Disk, {}};
  if (Initial)
    Start.InitialVoters = VoterSet{1, Names};
  Process.Node = std::make_unique<RegisterNode>(Start, RegisterLimits{}, Rng());
  Process.HighestVersion = 0;
  processEffects(Name);
}

void RegisterNetwork::run(std::size_t Steps) {
  for (std::size_t Count = 0; Count < Steps; ++Count)
    step();
}

void RegisterNetwork::step() {
  Now += StepDuration;
  const bool WritesAreRandom = WriteDuration == Duration{};
  if (!WritesAreRandom)
    advanceWrites();
  for (std::size_t Count = 0; Count < EventsPerStep; ++Count)
    if (WritesAreRandom && Rng() % 3 == 0)
      sync();
    else
      deliver();
  const std::string &Name = Names[Rng() % Names.size()];
  if (isDown(Name))
    return;
  node(Name).tick(Now);
  const bool RequestsChosen = !node(Name).chosen() || RequestsNewerValues;
  if (RequestsChosen && Rng() % 8 == 0)
    Messages.push_back(
        {process(Name), Names[Rng() % Names.size()], {}, ChosenRequest{}});
  processEffects(Name);
}

void RegisterNetwork::deliver() {
  if (Messages.empty())
    return;
  const std::size_t Index = Rng() % Messages.size();
  std::swap(Messages[Index], Messages.back());
  const InFlightMessage Picked = std::move(Messages.back());
  Messages.pop_back();
  const bool Lost =
      std::uniform_real_distribution<double>(0, 1)(Rng) < LossShare;
  const std::string &Sender = Picked.Sender.Address;
  const Member &Receiver = Nodes.at(Picked.Receiver);
  const bool ToSelf = Sender == Picked.Receiver;
  const bool Cut = Nodes.at(Sender).Cut || Receiver.Cut;
  const bool ForOtherProcess =
      Picked.ReceiverIncarnation.value_or(Receiver.Incarnation) !=
      Receiver.Incarnation;
  if (isDown(Picked.Receiver) || ForOtherProcess || (!ToSelf && (Lost || Cut)))
    return;
  node(Picked.Receiver).receive(Picked.Sender, Picked.Message, Now);
  processEffects(Picked.Receiver);
}

void RegisterNetwork::sync() {
  const std::string &Name = Names[Rng() % Names.size()];
  Member &Process = Nodes.at(Name);
  if (isDown(Name) || Process.Unsynced.empty() || StalledDisks.contains(Name))
    return;
  confirmWrite(Name, std::exchange(Process.Unsynced, {}).back());
}

void RegisterNetwork::advanceWrites() {
  for (auto &[Name, Process] : Nodes) {
    if (Process.Node == nullptr || Now < Process.WriteEnd)
      continue;
    if (!Process.Writing.empty())
      confirmWrite(Name, std::exchange(Process.Writing, {}).back());
    if (Process.Unsynced.empty())
      continue;
    Process.Writing = std::exchange(Process.Unsynced, {});
    Process.WriteEnd = Now + WriteDuration;
  }
}

void RegisterNetwork::confirmWrite(const std::string &Name,
                                   const StoreState &Written) {
  Member &Process = Nodes.at(Name);
  Process.Disk = Written.State;
  Process.Node->confirmStored(Written.Number);
  processEffects(Name);
}

void RegisterNetwork::crash(const std::string &Name, bool WipeDisk) {
  Member &Process = Nodes.at(Name);
  Process.Node.reset();
  Process.Unsynced.clear();
  Process.Writing.clear();
  if (WipeDisk)
    Process.Disk.reset();
  std::erase_if(ReadMinVersions, [&Name](const auto &Entry) {
    return Entry.first.first == Name;
  });
  std::erase_if(Messages, [&Name](const InFlightMessage &Message) {
    return Message.Sender.Address == Name && Message.Receiver == Name;
  });
}

void RegisterNetwork::restart(const std::string &Name) { start(Name, false); }

void RegisterNetwork::add(const std::string &Name) {
  Names.push_back(Name);
  Nodes.emplace(Name, Member{});
  start(Name, false);
}

void RegisterNetwork::setCut(const std::string &Name, bool IsCut) {
  Nodes.at(Name).Cut = IsCut;
}

uint64_t RegisterNetwork::put(const std::string &Name,
                              const VersionedDocument &Document) {
  const uint64_t Number = node(Name).put(Document, Now);
  processEffects(Name);
  return Number;
}

uint64_t RegisterNetwork::read(const std::string &Name) {
  const uint64_t Number = node(Name).read(Now);
  ReadMinVersions[{Name, Number}] = HighestDecided;
  processEffects(Name);
  return Number;
}

void RegisterNetwork::processEffects(const std::string &Name) {
  for (const RegisterEffect &Effect : node(Name).takeEffects())
    handle(Name, Effect);
}

void RegisterNetwork::handle(const std::string &Name,
                             const RegisterEffect &Effect) {
  Member &Process = Nodes.at(Name);
  if (const auto *Send = std::get_if<SendToVoter>(&Effect))
    Messages.push_back({process(Name), Send->Receiver, {}, Send->Message});
  if (const auto *Reply = std::get_if<RegisterReply>(&Effect))
    Messages.push_back({process(Name), Reply->Receiver.Address,
                        Reply->Receiver.Incarnation, Reply->Message});
  if (const auto *Store = std::get_if<StoreState>(&Effect))
    Process.Unsynced.push_back(*Store);
  if (const auto *Chosen = std::get_if<ValueChosen>(&Effect)) {
    const VersionedDocument &Document = Chosen->Value.Document;
    const auto Inserted = ChosenBodies.emplace(Document.Version, Document.Body);
    if (Inserted.first->second != Document.Body)
      Violations.push_back("two different bodies were chosen for one version");
    if (Document.Version < Process.HighestVersion)
      Violations.push_back("a VM learned an older version after a newer one");
    Process.HighestVersion = std::max(Process.HighestVersion, Document.Version);
  }
  if (const auto *End = std::get_if<OperationEnded>(&Effect)) {
    EndedOperations[{Name, End->Operation}] = *End;
    if (End->Outcome != OperationOutcome::Decided)
      return;
    const auto MinVersionIt = ReadMinVersions.find({Name, End->Operation});
    if (MinVersionIt != ReadMinVersions.end() &&
        End->Newest.Version < MinVersionIt->second)
      Violations.push_back(
          "a read returned an older version than one decided before it");
    HighestDecided = std::max(HighestDecided, End->Newest.Version);
  }
}

} // namespace sapphiremoor
