#ifndef SAPPHIREMOOR_DAEMON_FORMATION_H
#define SAPPHIREMOOR_DAEMON_FORMATION_H

#include "daemon/types/peermessage.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sapphiremoor {

/// What a VM with an empty data folder has heard from the voters of its
/// settings.
struct FormationState {
  Voter Self;
  std::vector<std::string> VoterNames;
  std::map<std::string, VoterStatus> Statuses;
};

/// How a VM with an empty data folder starts its replica.
struct Formation {
  /// Empty if the VM joins a formed set without a vote.
  std::vector<Voter> FirstVoters;
};

/// Notes what a voter says of itself.
void recordStatus(FormationState &State, const VoterStatus &Status);

/// Returns how to start, or nothing while too little is known. New voters form
/// a set only if all of them are new, so that a wiped voter can never form a
/// second set beside the one that it lost.
std::optional<Formation> decideFormation(const FormationState &State);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_DAEMON_FORMATION_H
