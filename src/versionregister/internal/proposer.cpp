#include "versionregister/internal/proposer.h"

#include "versionregister/voterset.h"

#include <algorithm>
#include <iterator>

namespace sapphiremoor::detail {

namespace {

bool followsVotersOf(const Round &CurrentRound, const VoterSet &Set) {
  return Set.Epoch == CurrentRound.Value.Voters.Epoch + 1;
}

} // namespace

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
  std::vector<VoterSet> Sets = CurrentRound.VoterSets;
  for (const Operation &Op : CurrentRound.Operations)
    if (Op.Voters)
      Sets.push_back(*Op.Voters);
  std::vector<std::string> Voters;
  for (const VoterSet &Set : Sets)
    for (const std::string &Voter : Set.Voters)
      if (CurrentRound.Contacted.insert(Voter).second)
        Voters.push_back(Voter);
  return Voters;
}

std::vector<std::string> unansweredVoters(const Round &CurrentRound) {
  const std::set<std::string> &Answered =
      CurrentRound.Phase == RoundPhase::Prepare ? CurrentRound.Prepared
                                                : CurrentRound.Accepted;
  std::vector<std::string> Unanswered;
  std::ranges::set_difference(CurrentRound.Contacted, Answered,
                              std::back_inserter(Unanswered));
  return Unanswered;
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

bool waitsForNewVoters(const Round &CurrentRound) {
  return !CurrentRound.Operations.empty() &&
         std::ranges::all_of(
             CurrentRound.Operations, [&CurrentRound](const Operation &Op) {
               return Op.Voters && followsVotersOf(CurrentRound, *Op.Voters) &&
                      !isMajority(*Op.Voters, CurrentRound.Prepared);
             });
}

void applyOperations(Round &CurrentRound) {
  for (const Operation &Op : CurrentRound.Operations) {
    if (Op.Put && Op.Put->Version > CurrentRound.Value.Document.Version)
      CurrentRound.Value.Document = *Op.Put;
    if (Op.Voters && followsVotersOf(CurrentRound, *Op.Voters) &&
        isMajority(*Op.Voters, CurrentRound.Prepared)) {
      CurrentRound.Value.Voters = *Op.Voters;
      addVoterSet(CurrentRound, *Op.Voters);
    }
  }
}

} // namespace sapphiremoor::detail
