#include "versionregister/voterset.h"

#include <algorithm>

namespace sapphiremoor {

bool isMajority(const VoterSet &Of, const std::set<std::string> &Answered) {
  const auto Count =
      std::ranges::count_if(Of.Voters, [&Answered](const std::string &Voter) {
        return Answered.contains(Voter);
      });
  return 2 * static_cast<std::size_t>(Count) > Of.Voters.size();
}

bool isVoter(const VoterSet &Of, const std::string &Name) {
  return std::ranges::binary_search(Of.Voters, Name);
}

std::optional<VoterSet> nextVoters(const VoterSet &Now,
                                   const VoterCandidates &Known) {
  VoterSet Next{Now.Epoch + 1, Now.Voters};
  const auto Spare =
      std::ranges::find_if(Known.Live, [&Now](const std::string &Name) {
        return !isVoter(Now, Name);
      });
  if (Spare == Known.Live.end())
    return std::nullopt;
  const auto Gone =
      std::ranges::find_if(Next.Voters, [&Known](const std::string &Name) {
        return Known.Gone.contains(Name);
      });
  if (Gone != Next.Voters.end())
    Next.Voters.erase(Gone);
  else if (Next.Voters.size() >= Known.Wanted)
    return std::nullopt;
  Next.Voters.push_back(*Spare);
  std::ranges::sort(Next.Voters);
  return Next;
}

} // namespace sapphiremoor
