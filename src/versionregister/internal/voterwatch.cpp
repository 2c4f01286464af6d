#include "versionregister/voterwatch.h"

#include "versionregister/voterset.h"

#include <algorithm>

namespace sapphiremoor {

std::vector<SilentVoter> silentVoters(const VoterSet &Voters,
                                      const ControlVmSightings &Sightings,
                                      Duration MinSilence) {
  std::vector<SilentVoter> Silent;
  for (const std::string &Voter : Voters.Voters) {
    if (Voter == Sightings.Self)
      continue;
    const auto It = Sightings.Silence.find(Voter);
    const bool EverHeard = It != Sightings.Silence.end();
    const Duration Silence = EverHeard ? It->second : Sightings.Uptime;
    if (Silence >= MinSilence)
      Silent.push_back({Voter, Silence, EverHeard});
  }
  return Silent;
}

std::optional<VoterSet> proposeVoters(const VoterSet &Voters,
                                      const ControlVmSightings &Sightings,
                                      const VoterWatchLimits &Limits) {
  // Only the first live voter proposes, because two proposers would delay each
  // other.
  const auto ProposerIt = std::ranges::find_if(
      Voters.Voters, [&Sightings](const std::string &Voter) {
        return Sightings.Live.contains(Voter);
      });
  if (ProposerIt == Voters.Voters.end() || *ProposerIt != Sightings.Self)
    return std::nullopt;
  VoterCandidates Candidates;
  Candidates.TargetSize = Limits.TargetSize;
  Candidates.Live = Sightings.Live;
  Candidates.DataCentres = Sightings.DataCentres;
  Candidates.MaySpread = Sightings.SinceExchange >= Limits.SettleTime;
  for (const SilentVoter &Silent :
       silentVoters(Voters, Sightings, Limits.GoneTimeout))
    Candidates.Unresponsive.insert(Silent.Address);
  return nextVoters(Voters, Candidates);
}

} // namespace sapphiremoor
