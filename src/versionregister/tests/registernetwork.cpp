#include "versionregister/tests/registernetwork.h"

#include <algorithm>
#include <utility>

namespace sapphiremoor {

namespace {
constexpr Duration StepTime = std::chrono::milliseconds(2);
} // namespace

RegisterNetwork::RegisterNetwork(std::size_t Count, uint64_t Seed) : Rng(Seed) {
  for (std::size_t Number = 0; Number < Count; ++Number)
    Names.push_back("v" + std::to_string(Number));
  for (const std::string &Name : Names)
    Nodes.emplace(Name, Member{});
  for (const std::string &Name : Names)
    start(Name, true);
}

void RegisterNetwork::start(const std::string &Name, bool First) {
  Member &Of = Nodes.at(Name);
  RegisterStart Start{Name, Of.Disk, {}};
  if (First)
    Start.FirstVoters = VoterSet{1, Names};
  Of.Node = std::make_unique<RegisterNode>(Start, RegisterLimits{}, Rng());
  Of.HighestSeen = 0;
  Of.Life = ++Lives;
  collect(Name);
}

void RegisterNetwork::run(std::size_t Steps) {
  for (std::size_t Count = 0; Count < Steps; ++Count)
    step();
}

void RegisterNetwork::step() {
  Now += StepTime;
  if (Rng() % 3 == 0)
    sync();
  else
    deliver();
  const std::string &Name = Names[Rng() % Names.size()];
  if (down(Name))
    return;
  node(Name).tick(Now);
  if (!node(Name).chosen() && Rng() % 8 == 0)
    Messages.push_back({Name, Names[Rng() % Names.size()], ChosenRequest{}});
  collect(Name);
}

void RegisterNetwork::deliver() {
  if (Messages.empty())
    return;
  const std::size_t Index = Rng() % Messages.size();
  std::swap(Messages[Index], Messages.back());
  const InFlight Taken = std::move(Messages.back());
  Messages.pop_back();
  const bool Lost = std::uniform_real_distribution<double>(0, 1)(Rng) < Loss;
  const bool Self = Taken.From == Taken.To;
  const bool Cut = Nodes.at(Taken.From).Cut || Nodes.at(Taken.To).Cut;
  if (down(Taken.To) || (!Self && (Lost || Cut)))
    return;
  node(Taken.To).received(Taken.From, Taken.Message, Now);
  collect(Taken.To);
}

void RegisterNetwork::sync() {
  const std::string &Name = Names[Rng() % Names.size()];
  Member &Of = Nodes.at(Name);
  if (down(Name) || Of.Unsynced.empty())
    return;
  const std::vector<StoreState> Written = std::exchange(Of.Unsynced, {});
  Of.Disk = Written.back().State;
  Of.Node->stored(Written.back().Number);
  collect(Name);
}

void RegisterNetwork::crash(const std::string &Name, bool Wipe) {
  Member &Of = Nodes.at(Name);
  Of.Node.reset();
  Of.Unsynced.clear();
  if (Wipe)
    Of.Disk.reset();
  std::erase_if(ReadFloors,
                [&Name](const auto &Each) { return Each.first.first == Name; });
  std::erase_if(Messages, [&Name](const InFlight &Each) {
    return Each.From == Name && Each.To == Name;
  });
}

void RegisterNetwork::restart(const std::string &Name) { start(Name, false); }

void RegisterNetwork::cut(const std::string &Name, bool Cut) {
  Nodes.at(Name).Cut = Cut;
}

uint64_t RegisterNetwork::put(const std::string &At,
                              const VersionedDocument &Document) {
  const uint64_t Number = node(At).put(Document, Now);
  collect(At);
  return Number;
}

uint64_t RegisterNetwork::read(const std::string &At) {
  const uint64_t Number = node(At).read(Now);
  ReadFloors[{At, Number}] = HighestDecided;
  collect(At);
  return Number;
}

void RegisterNetwork::collect(const std::string &Name) {
  for (const RegisterEffect &Effect : node(Name).takeEffects())
    handle(Name, Effect);
}

void RegisterNetwork::handle(const std::string &Name,
                             const RegisterEffect &Effect) {
  Member &Of = Nodes.at(Name);
  if (const auto *Send = std::get_if<SendToVoter>(&Effect))
    Messages.push_back({Name, Send->To, Send->Message});
  if (const auto *Store = std::get_if<StoreState>(&Effect))
    Of.Unsynced.push_back(*Store);
  if (const auto *Chosen = std::get_if<ValueChosen>(&Effect)) {
    const VersionedDocument &Document = Chosen->Value.Document;
    const auto Known = ChosenBodies.emplace(Document.Version, Document.Body);
    if (Known.first->second != Document.Body)
      Violations.push_back("two bodies under one version");
    if (Document.Version < Of.HighestSeen)
      Violations.push_back("a VM went back to an older version");
    Of.HighestSeen = std::max(Of.HighestSeen, Document.Version);
  }
  if (const auto *End = std::get_if<OperationEnded>(&Effect)) {
    Ended[{Name, End->Operation}] = *End;
    if (End->Outcome != OperationOutcome::Decided)
      return;
    const auto Floor = ReadFloors.find({Name, End->Operation});
    if (Floor != ReadFloors.end() && End->Newest.Version < Floor->second)
      Violations.push_back("a read returned an older version than decided");
    HighestDecided = std::max(HighestDecided, End->Newest.Version);
  }
}

} // namespace sapphiremoor
