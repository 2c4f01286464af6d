#include "daemon/formation.h"

#include <algorithm>

namespace sapphiremoor {

void noteStatus(FormationState &State, const VoterStatus &Status) {
  State.Heard[Status.Self.Name] = Status;
}

std::optional<Formation> decideFormation(const FormationState &State) {
  for (const auto &[Name, Status] : State.Heard) {
    if (!Status.Formed)
      continue;
    const bool Named =
        std::ranges::find(Status.Voters, State.Self) != Status.Voters.end();
    return Formation{Named ? Status.Voters : std::vector<Voter>()};
  }
  std::vector<Voter> First;
  for (const std::string &Name : State.VoterNames) {
    if (Name == State.Self.Name) {
      First.push_back(State.Self);
      continue;
    }
    const auto Found = State.Heard.find(Name);
    if (Found == State.Heard.end())
      return std::nullopt;
    First.push_back(Found->second.Self);
  }
  std::ranges::sort(First);
  const bool SelfNamed = std::ranges::find(First, State.Self) != First.end();
  return SelfNamed ? std::optional(Formation{First}) : std::nullopt;
}

} // namespace sapphiremoor
