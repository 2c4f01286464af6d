#include "versionregister/internal/proposer.h"

#include "versionregister/voterset.h"

#include <algorithm>

namespace sapphiremoor::detail {

void addSet(Round &Of, const VoterSet &Set) {
  if (!Set.Voters.empty() && std::ranges::find(Of.Sets, Set) == Of.Sets.end())
    Of.Sets.push_back(Set);
}

bool majorityOfAll(const Round &Of, const std::set<std::string> &Answered) {
  return std::ranges::all_of(Of.Sets, [&Answered](const VoterSet &Set) {
    return isMajority(Set, Answered);
  });
}

std::vector<std::string> takeUnasked(Round &Of) {
  std::vector<std::string> Added;
  for (const VoterSet &Set : Of.Sets)
    for (const std::string &Voter : Set.Voters)
      if (Of.Asked.insert(Voter).second)
        Added.push_back(Voter);
  return Added;
}

bool recordPromise(Round &Of, const std::string &From,
                   const PrepareReply &Reply) {
  if (Of.Phase != RoundPhase::Prepare || Reply.Of != Of.Of ||
      Reply.Promised != Of.Of)
    return false;
  Of.Prepared.insert(From);
  if (Reply.Value && Reply.Accepted > Of.Newest) {
    Of.Newest = Reply.Accepted;
    Of.Value = *Reply.Value;
  }
  if (Reply.Value)
    addSet(Of, Reply.Value->Voters);
  return true;
}

void applyOperations(Round &Of) {
  for (const Operation &Each : Of.Operations) {
    if (Each.Put && Each.Put->Version > Of.Value.Document.Version)
      Of.Value.Document = *Each.Put;
    if (Each.Voters && Each.Voters->Epoch == Of.Value.Voters.Epoch + 1) {
      Of.Value.Voters = *Each.Voters;
      addSet(Of, *Each.Voters);
    }
  }
}

} // namespace sapphiremoor::detail
