#include "versionregister/tests/voterexchange.h"

#include "versionregister/voterset.h"

#include <algorithm>

namespace sapphiremoor {

namespace {

/// Steps of the simulated network per check of the voters, 200 ms.
constexpr std::size_t StepsPerCheck = 100;

/// Fast enough for several concurrent rounds of five voters.
constexpr std::size_t EventsPerStep = 6;

/// Steps of the simulated network within which an operation ends, 1.2 s.
constexpr std::size_t StepsPerOperation = 600;

} // namespace

VoterExchange::VoterExchange(std::size_t Voters, uint64_t Seed)
    : Network(Voters, Seed) {
  Limits.TargetSize = Voters;
  Network.RequestsNewerValues = true;
  Network.EventsPerStep = EventsPerStep;
  for (const std::string &Name : Network.Names)
    StartedAt[Name] = LastHeard[Name] = Network.Now;
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
  StartedAt[Name] = LastHeard[Name] = Network.Now;
}

void VoterExchange::stop(const std::string &Name, bool WipeDisk) {
  LastHeard[Name] = Network.Now;
  Draining.erase(Name);
  StartupReads.erase(Name);
  Network.crash(Name, WipeDisk);
}

void VoterExchange::restart(const std::string &Name) {
  Network.restart(Name);
  StartedAt[Name] = Network.Now;
}

void VoterExchange::setCut(const std::string &Name, bool IsCut) {
  LastHeard[Name] = Network.Now;
  Network.setCut(Name, IsCut);
  if (IsCut)
    Cut.insert(Name);
  else
    Cut.erase(Name);
}

bool VoterExchange::hears(const std::string &Self,
                          const std::string &Name) const {
  const bool Connected = !Cut.contains(Self) && !Cut.contains(Name);
  return Self == Name || (Connected && !Network.isDown(Name));
}

ControlVmSightings VoterExchange::sightings(const std::string &Self) const {
  ControlVmSightings Sightings;
  Sightings.Self = Self;
  Sightings.Uptime = Network.Now - StartedAt.at(Self);
  Sightings.SinceExchange = Sightings.Uptime;
  for (const std::string &Name : Network.Names) {
    // A VM that is cut off hears the others last when it is heard last itself.
    const Instant Heard = Cut.contains(Self)
                              ? std::min(LastHeard.at(Name), LastHeard.at(Self))
                              : LastHeard.at(Name);
    if (hears(Self, Name)) {
      Sightings.Silence[Name] = {};
      (Draining.contains(Name) ? Sightings.Leaving : Sightings.Live)
          .insert(Name);
    } else if (Heard >= StartedAt.at(Self)) {
      Sightings.Silence[Name] = Network.Now - Heard;
    }
  }
  return Sightings;
}

void VoterExchange::readAtStart(const std::string &Name) {
  const RegisterNode &Node = Network.node(Name);
  const auto It = StartupReads.find(Name);
  const bool IsReading = It != StartupReads.end() &&
                         !Network.EndedOperations.contains({Name, It->second});
  if (!Node.chosen() && !Node.voters().Voters.empty() && !IsReading)
    StartupReads[Name] = Network.read(Name);
}

void VoterExchange::checkVoters() {
  for (const std::string &Name : Network.Names) {
    if (Network.isDown(Name))
      continue;
    readAtStart(Name);
    if (!Network.node(Name).chosen() ||
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
