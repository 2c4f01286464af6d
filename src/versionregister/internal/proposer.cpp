#include "versionregister/internal/proposer.h"

#include "versionregister/voterset.h"

#include <algorithm>

namespace sapphiremoor::detail {

void addVoterSet(Round &CurrentRound, const VoterSet &Set) {
  if (!Set.Voters.empty() && std::ranges::find(CurrentRound.VoterSets, Set) ==
                                 CurrentRound.VoterSets.end())
    CurrentRound.VoterSets.push_back(Set);
}

bool hasMajorityInAllSets(const Round &CurrentRound,
                          const std::set<std::string> &Answered) {
  return std::ranges::all_of(
      CurrentRound.VoterSets,
      [&Answered](const VoterSet &Set) { return isMajority(Set, Answered); });
}

std::vector<std::string> takeUncontacted(Round &CurrentRound) {
  std::vector<std::string> Voters;
  for (const VoterSet &Set : CurrentRound.VoterSets)
    for (const std::string &Voter : Set.Voters)
      if (CurrentRound.Contacted.insert(Voter).second)
        Voters.push_back(Voter);
  return Voters;
}

bool recordPromise(Round &CurrentRound, const std::string &Sender,
                   const PrepareReply &Reply) {
  if (CurrentRound.Phase != RoundPhase::Prepare ||
      Reply.RoundBallot != CurrentRound.RoundBallot ||
      Reply.Promised != CurrentRound.RoundBallot)
    return false;
  CurrentRound.Prepared.insert(Sender);
  if (Reply.Value && Reply.Accepted > CurrentRound.Newest) {
    CurrentRound.Newest = Reply.Accepted;
    CurrentRound.Value = *Reply.Value;
  }
  if (Reply.Value)
    addVoterSet(CurrentRound, Reply.Value->Voters);
  return true;
}

void applyOperations(Round &CurrentRound) {
  for (const Operation &Op : CurrentRound.Operations) {
    if (Op.Put && Op.Put->Version > CurrentRound.Value.Document.Version)
      CurrentRound.Value.Document = *Op.Put;
    if (Op.Voters && Op.Voters->Epoch == CurrentRound.Value.Voters.Epoch + 1) {
      CurrentRound.Value.Voters = *Op.Voters;
      addVoterSet(CurrentRound, *Op.Voters);
    }
  }
}

} // namespace sapphiremoor::detail
