#include "versionregister/voterwatch.h"

#include "versionregister/voterset.h"

#include <algorithm>

namespace sapphiremoor {

namespace {

/// Returns the position of the watching VM among the live voters, or nothing if
/// it is none of them.
std::optional<int64_t> proposerRank(const VoterSet &Voters,
                                    const ControlVmSightings &Sightings) {
  if (!isVoter(Voters, Sightings.Self) ||
      !Sightings.Live.contains(Sightings.Self))
    return std::nullopt;
  return std::ranges::count_if(
      Voters.Voters, [&Sightings](const std::string &Voter) {
        return Voter < Sightings.Self && Sightings.Live.contains(Voter);
      });
}

} // namespace

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
  std::set<std::string> Heard = Sightings.Live;
  Heard.insert(Sightings.Leaving.begin(), Sightings.Leaving.end());
  const auto Rank = proposerRank(Voters, Sightings);
  if (!Rank || !isMajority(Voters, Heard))
    return std::nullopt;
  const bool Settled = Sightings.SinceExchange >= Limits.SettleTime;
  VoterCandidates Candidates;
  Candidates.TargetSize = Limits.TargetSize;
  Candidates.Live = Sightings.Live;
  Candidates.DataCentres = Sightings.DataCentres;
  Candidates.MaySpread = Settled;
  const Duration MinSilence = Limits.GoneTimeout + *Rank * Limits.ProposerDelay;
  for (const SilentVoter &Silent : silentVoters(Voters, Sightings, MinSilence))
    Candidates.Unresponsive.insert(Silent.Address);
  if (Candidates.Unresponsive.empty() && *Rank > 0)
    return std::nullopt;
  if (Settled)
    Candidates.Unresponsive.insert(Sightings.Leaving.begin(),
                                   Sightings.Leaving.end());
  return nextVoters(Voters, Candidates);
}

} // namespace sapphiremoor
