#include "versionregister/voterset.h"

#include <algorithm>

namespace sapphiremoor {

namespace {

std::string dataCentreOf(const std::string &Address,
                         const VoterCandidates &Candidates) {
  const auto It = Candidates.DataCentres.find(Address);
  return It == Candidates.DataCentres.end() ? std::string() : It->second;
}

/// Returns how many of \p Voters are in the data centre of \p Address.
std::size_t countNeighbours(const std::vector<std::string> &Voters,
                            const std::string &Address,
                            const VoterCandidates &Candidates) {
  return static_cast<std::size_t>(
      std::ranges::count_if(Voters, [&](const std::string &Voter) {
        return dataCentreOf(Voter, Candidates) ==
               dataCentreOf(Address, Candidates);
      }));
}

/// Returns the live VM outside \p Current whose data centre has the fewest of
/// \p Voters, or nothing if there is none.
std::optional<std::string> findSpare(const VoterSet &Current,
                                     const std::vector<std::string> &Voters,
                                     const VoterCandidates &Candidates) {
  std::vector<std::string> Spares;
  std::ranges::copy_if(Candidates.Live, std::back_inserter(Spares),
                       [&Current](const std::string &Address) {
                         return !isVoter(Current, Address);
                       });
  const auto BestIt =
      std::ranges::min_element(Spares, {}, [&](const std::string &Address) {
        return countNeighbours(Voters, Address, Candidates);
      });
  return BestIt == Spares.end() ? std::nullopt : std::optional(*BestIt);
}

/// Returns the voter to replace, or nothing if no voter has to go.
std::optional<std::string> findOutgoing(const VoterSet &Current,
                                        const VoterCandidates &Candidates) {
  const std::vector<std::string> &Voters = Current.Voters;
  const auto UnresponsiveIt =
      std::ranges::find_if(Voters, [&Candidates](const std::string &Voter) {
        return Candidates.Unresponsive.contains(Voter);
      });
  if (UnresponsiveIt != Voters.end())
    return *UnresponsiveIt;
  const auto Spare = findSpare(Current, Voters, Candidates);
  if (!Candidates.MaySpread || !Spare || Voters.size() < Candidates.TargetSize)
    return std::nullopt;
  const auto CrowdedIt =
      std::ranges::max_element(Voters, {}, [&](const std::string &Voter) {
        return countNeighbours(Voters, Voter, Candidates);
      });
  const bool IsSpreadBetter = countNeighbours(Voters, *CrowdedIt, Candidates) >=
                              countNeighbours(Voters, *Spare, Candidates) + 2;
  return IsSpreadBetter ? std::optional(*CrowdedIt) : std::nullopt;
}

} // namespace

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
  if (const auto Outgoing = findOutgoing(Current, Candidates))
    std::erase(Next.Voters, *Outgoing);
  else if (Next.Voters.size() >= Candidates.TargetSize)
    return std::nullopt;
  const auto Spare = findSpare(Current, Next.Voters, Candidates);
  if (!Spare)
    return std::nullopt;
  Next.Voters.push_back(*Spare);
  std::ranges::sort(Next.Voters);
  return Next;
}

} // namespace sapphiremoor
