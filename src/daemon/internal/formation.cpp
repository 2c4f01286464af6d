#include "daemon/formation.h"

#include <algorithm>

namespace sapphiremoor {

void recordStatus(FormationState &State, const VoterStatus &Status) {
  State.Statuses[Status.Self.Name] = Status;
}

std::optional<Formation> decideFormation(const FormationState &State) {
  for (const auto &[Name, Status] : State.Statuses) {
    if (!Status.Formed)
      continue;
    const bool IsVoter =
        std::ranges::find(Status.Voters, State.Self) != Status.Voters.end();
    return Formation{IsVoter ? Status.Voters : std::vector<Voter>()};
  }
  std::vector<Voter> Voters;
  for (const std::string &Name : State.VoterNames) {
    if (Name == State.Self.Name) {
      Voters.push_back(State.Self);
      continue;
    }
    const auto StatusIt = State.Statuses.find(Name);
    if (StatusIt == State.Statuses.end())
      return std::nullopt;
    Voters.push_back(StatusIt->second.Self);
  }
  std::ranges::sort(Voters);
  const bool IncludesSelf =
      std::ranges::find(Voters, State.Self) != Voters.end();
  return IncludesSelf ? std::optional(Formation{Voters}) : std::nullopt;
}

} // namespace sapphiremoor
