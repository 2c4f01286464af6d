#ifndef SAPPHIREMOOR_VERSIONREGISTER_VOTERSET_H
#define SAPPHIREMOOR_VERSIONREGISTER_VOTERSET_H

#include "versionregister/types/registervalue.h"

#include <optional>
#include <set>
#include <string>

namespace sapphiremoor {

/// Returns true if \p Answered holds a majority of \p Set.
bool isMajority(const VoterSet &Set, const std::set<std::string> &Answered);

/// Returns true if \p Name is one of \p Set.
bool isVoter(const VoterSet &Set, const std::string &Name);

/// What a voter knows about the VMs that could vote.
struct VoterCandidates {
  /// Addresses that were heard lately.
  std::set<std::string> Live;
  /// Addresses that have been silent for long enough to be exchanged.
  std::set<std::string> Unresponsive;
  /// Number of voters that the deployment wants.
  std::size_t TargetSize = 3;
};

/// Returns the next voter set, which adds one live VM, exchanges one that is
/// gone, or both at once; nothing if \p Current needs no change.
std::optional<VoterSet> nextVoters(const VoterSet &Current,
                                   const VoterCandidates &Candidates);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_VERSIONREGISTER_VOTERSET_H
