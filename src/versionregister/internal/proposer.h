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

/// What a caller asked for.
struct Operation {
  uint64_t Number = 0;
  /// Stores this document if its version is the highest; absent for a read.
  std::optional<VersionedDocument> Put;
  /// Changes the voters if their epoch is still the one before.
  std::optional<VoterSet> Voters;
  Instant Deadline;
};

enum class RoundPhase { Prepare, Accept };

/// One round of a proposer.
struct Round {
  Ballot RoundBallot;
  RoundPhase Phase = RoundPhase::Prepare;
  /// All voter sets met in this round; each needs a majority in each phase.
  std::vector<VoterSet> VoterSets;
  std::set<std::string> Contacted;
  std::set<std::string> Prepared;
  std::set<std::string> Accepted;
  Ballot Newest;
  RegisterValue Value;
  /// Operations that this round decides.
  std::vector<Operation> Operations;
  Instant Started;
  /// A voter that lost its disk prepares without counting its own vote, then
  /// adopts what it heard instead of proposing it.
  bool Recovering = false;
};

/// Adds \p Set to the sets of \p Of unless it is known there.
void addVoterSet(Round &CurrentRound, const VoterSet &Set);

/// Returns true if \p Answered has a majority in each set of \p Of.
bool hasMajorityInAllSets(const Round &CurrentRound,
                          const std::set<std::string> &Answered);

/// Returns all voters of \p Of that were not asked yet, and marks them as
/// asked.
std::vector<std::string> takeUncontacted(Round &CurrentRound);

/// Takes a promise into account. Returns false for a late or refused one.
bool recordPromise(Round &CurrentRound, const std::string &Sender,
                   const PrepareReply &Reply);

/// Applies the operations of \p Of to its newest value, which then is proposed.
void applyOperations(Round &CurrentRound);

} // namespace sapphiremoor::detail

#endif // SAPPHIREMOOR_VERSIONREGISTER_INTERNAL_PROPOSER_H
