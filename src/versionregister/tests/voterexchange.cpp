#include "versionregister/tests/voterexchange.h"

#include "versionregister/voterset.h"

namespace sapphiremoor {

namespace {

/// Steps of the simulated network per check of the voters, 200 ms.
constexpr std::size_t StepsPerCheck = 100;

/// Steps of the simulated network within which an operation ends, 1.2 s.
constexpr std::size_t StepsPerOperation = 600;

} // namespace

VoterExchange::VoterExchange(std::size_t Voters, uint64_t Seed)
    : Network(Voters, Seed) {
  Limits.TargetSize = Voters;
  Network.RequestsNewerValues = true;
  for (const std::string &Name : Network.Names)
    StartedAt[Name] = LastUp[Name] = Network.Now;
}

void VoterExchange::run(Duration Time) {
  const Instant End = Network.Now + Time;
  while (Network.Now < End) {
    Network.run(StepsPerCheck);
    checkVoters();
  }
}

void VoterExchange::add(const std::string &Name) {
  Network.add(Name);
  StartedAt[Name] = LastUp[Name] = Network.Now;
}

void VoterExchange::stop(const std::string &Name, bool WipeDisk) {
  LastUp[Name] = Network.Now;
  Draining.erase(Name);
  Network.crash(Name, WipeDisk);
}

void VoterExchange::restart(const std::string &Name) {
  Network.restart(Name);
  StartedAt[Name] = Network.Now;
}

ControlVmSightings VoterExchange::sightings(const std::string &Self) const {
  ControlVmSightings Sightings;
  Sightings.Self = Self;
  Sightings.Uptime = Network.Now - StartedAt.at(Self);
  Sightings.SinceExchange = Sightings.Uptime;
  for (const std::string &Name : Network.Names) {
    if (!Network.isDown(Name)) {
      Sightings.Silence[Name] = {};
      (Draining.contains(Name) ? Sightings.Leaving : Sightings.Live)
          .insert(Name);
    } else if (LastUp.at(Name) >= StartedAt.at(Self)) {
      Sightings.Silence[Name] = Network.Now - LastUp.at(Name);
    }
  }
  return Sightings;
}

void VoterExchange::checkVoters() {
  for (const std::string &Name : Network.Names) {
    if (Network.isDown(Name) || !Network.node(Name).chosen() ||
        !isVoter(Network.node(Name).voters(), Name))
      continue;
    const auto Proposal =
        proposeVoters(Network.node(Name).voters(), sightings(Name), Limits);
    if (Proposal)
      Network.node(Name).changeVoters(*Proposal, Network.Now);
  }
}

bool VoterExchange::put(const std::string &Name,
                        const VersionedDocument &Document) {
  const uint64_t Number = Network.put(Name, Document);
  Network.run(StepsPerOperation);
  const auto It = Network.EndedOperations.find({Name, Number});
  return It != Network.EndedOperations.end() &&
         It->second.Outcome == OperationOutcome::Decided;
}

std::optional<VersionedDocument> VoterExchange::read(const std::string &Name) {
  const uint64_t Number = Network.read(Name);
  Network.run(StepsPerOperation);
  const auto It = Network.EndedOperations.find({Name, Number});
  if (It == Network.EndedOperations.end() ||
      It->second.Outcome != OperationOutcome::Decided)
    return std::nullopt;
  return It->second.Newest;
}

} // namespace sapphiremoor
