#include "versionregister/voterset.h"

#include <algorithm>

namespace sapphiremoor {

bool isMajority(const VoterSet &Set, const std::set<std::string> &Answered) {
  const auto Count =
      std::ranges::count_if(Set.Voters, [&Answered](const std::string &Voter) {
        return Answered.contains(Voter);
      });
  return 2 * static_cast<std::size_t>(Count) > Set.Voters.size();
}

bool isVoter(const VoterSet &Set, const std::string &Name) {
  return std::ranges::binary_search(Set.Voters, Name);
}

std::optional<VoterSet> nextVoters(const VoterSet &Current,
                                   const VoterCandidates &Candidates) {
  VoterSet Next{Current.Epoch + 1, Current.Voters};
  const auto SpareIt = std::ranges::find_if(
      Candidates.Live,
      [&Current](const std::string &Name) { return !isVoter(Current, Name); });
  if (SpareIt == Candidates.Live.end())
    return std::nullopt;
  const auto UnresponsiveIt =
      std::ranges::find_if(Next.Voters, [&Candidates](const std::string &Name) {
        return Candidates.Unresponsive.contains(Name);
      });
  if (UnresponsiveIt != Next.Voters.end())
    Next.Voters.erase(UnresponsiveIt);
  else if (Next.Voters.size() >= Candidates.TargetSize)
    return std::nullopt;
  Next.Voters.push_back(*SpareIt);
  std::ranges::sort(Next.Voters);
  return Next;
}

} // namespace sapphiremoor
