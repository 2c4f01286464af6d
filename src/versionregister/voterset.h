#ifndef SAPPHIREMOOR_VERSIONREGISTER_VOTERSET_H
#define SAPPHIREMOOR_VERSIONREGISTER_VOTERSET_H

#include "versionregister/types/registervalue.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace sapphiremoor {

/// Returns true if \p Answered contains a majority of \p Set.
bool isMajority(const VoterSet &Set, const std::set<std::string> &Answered);

/// Returns true if \p Name is a voter of \p Set.
bool isVoter(const VoterSet &Set, const std::string &Name);

/// The VMs that nextVoters() may choose from.
struct VoterCandidates {
  /// Addresses of VMs that were heard recently.
  std::set<std::string> Live;
  /// Addresses of VMs that have been silent for long enough to be replaced.
  std::set<std::string> Unresponsive;
  /// Number of voters that the deployment should have.
  std::size_t TargetSize = 3;
  /// Data centres of the VMs, by address.
  std::map<std::string, std::string> DataCentres = {};
  /// True if a voter may be replaced only to spread the voters over the data
  /// centres.
  bool MaySpread = false;
};

/// Returns the next voter set, or nothing if there is no live VM to add or no
/// reason for a change. An unresponsive voter is replaced by a live VM;
/// otherwise a live VM is added while there are fewer voters than TargetSize;
/// otherwise a voter moves from a data centre with several voters to one that
/// has at least two fewer. The VM that is added is one of the data centre with
/// the fewest voters, so that the loss of a data centre costs as few voters as
/// possible.
std::optional<VoterSet> nextVoters(const VoterSet &Current,
                                   const VoterCandidates &Candidates);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_VERSIONREGISTER_VOTERSET_H
