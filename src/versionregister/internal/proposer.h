#ifndef SAPPHIREMOOR_VERSIONREGISTER_INTERNAL_PROPOSER_H
#define SAPPHIREMOOR_VERSIONREGISTER_INTERNAL_PROPOSER_H

#include "framework/core/time.h"
#include "versionregister/types/registermessage.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sapphiremoor::detail {

/// A pending request of a caller.
struct Operation {
  uint64_t Number = 0;
  /// Document to store if its version is the highest. Absent for a read.
  std::optional<VersionedDocument> Put;
  /// Voters to install if the current epoch is the one before theirs.
  std::optional<VoterSet> Voters;
  Instant Deadline;
};

enum class RoundPhase { Prepare, Accept };

/// One round of a proposer.
struct Round {
  Ballot RoundBallot;
  RoundPhase Phase = RoundPhase::Prepare;
  /// All voter sets seen in this round. Each phase needs a majority of each
  /// set.
  std::vector<VoterSet> VoterSets;
  std::set<std::string> Contacted;
  std::set<std::string> Prepared;
  std::set<std::string> Accepted;
  /// Ballot of the chosen value that the round started from. Voters that have
  /// accepted it omit the value in their replies.
  Ballot KnownBallot;
  Ballot Newest;
  RegisterValue Value;
  /// Operations that this round decides.
  std::vector<Operation> Operations;
  Instant Started;
  /// Time at which the requests without a reply were last sent.
  Instant LastSent;
  /// True if this voter has lost its disk. It then runs the first phase without
  /// its own vote and adopts the result instead of proposing it.
  bool Recovering = false;
};

/// Adds \p Set to the voter sets of \p CurrentRound unless it is empty or
/// already there.
void addVoterSet(Round &CurrentRound, const VoterSet &Set);

/// Returns true if \p Answered contains a majority of each voter set of
/// \p CurrentRound.
bool hasMajorityInAllSets(const Round &CurrentRound,
                          const std::set<std::string> &Answered);

/// Returns all voters of \p CurrentRound, and those that its operations
/// install, that were not contacted yet, and marks them as contacted.
std::vector<std::string> takeUncontacted(Round &CurrentRound);

/// Returns the contacted voters that have not replied in the current phase.
std::vector<std::string> unansweredVoters(const Round &CurrentRound);

/// Records a promise. Returns false if the reply is late or a refusal.
bool recordPromise(Round &CurrentRound, const std::string &Sender,
                   const PrepareReply &Reply);

/// Returns true if \p CurrentRound only installs voters and no majority of them
/// has promised yet.
bool waitsForNewVoters(const Round &CurrentRound);

/// Applies the operations of \p CurrentRound to its newest value, which is then
/// proposed. Voters are installed only if a majority of them has promised: a
/// set that is accepted without being able to vote would block all later
/// rounds.
void applyOperations(Round &CurrentRound);

} // namespace sapphiremoor::detail

#endif // SAPPHIREMOOR_VERSIONREGISTER_INTERNAL_PROPOSER_H
