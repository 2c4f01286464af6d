#ifndef SAPPHIREMOOR_DAEMON_FORMATION_H
#define SAPPHIREMOOR_DAEMON_FORMATION_H

#include "daemon/types/peermessage.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sapphiremoor {

/// What a VM with an empty data folder knows of the voters that its settings
/// name.
struct FormationState {
  Voter Self;
  std::vector<std::string> VoterNames;
  std::map<std::string, VoterStatus> Statuses;
};

/// How a VM with an empty data folder starts its replica.
struct Formation {
  /// Empty if the VM joins an existing set of voters as a non-voter.
  std::vector<Voter> FirstVoters;
};

/// Records the status that a voter reports of itself.
void recordStatus(FormationState &State, const VoterStatus &Status);

/// Returns how to start the replica, or nothing while too little is known. New
/// voters form a set only if all of them are new. Otherwise a voter whose disk
/// was wiped could form a second set next to the existing one.
std::optional<Formation> decideFormation(const FormationState &State);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_DAEMON_FORMATION_H
