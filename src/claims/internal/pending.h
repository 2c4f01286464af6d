#ifndef SAPPHIREMOOR_CLAIMS_INTERNAL_PENDING_H
#define SAPPHIREMOOR_CLAIMS_INTERNAL_PENDING_H

#include "claims/internal/records.h"
#include "claims/types/claimeffect.h"
#include "claims/types/claimstate.h"

#include <string>
#include <vector>

namespace sapphiremoor::detail {

/// The state, the time and the effects so far of one call of a public function.
struct ClaimStep {
  ClaimState &State;
  Instant Now;
  ClaimEffects Effects;
};

/// Returns true if \p Vm is known to be unreachable or to have been restarted.
bool isUnavailable(const ClaimState &State, const VmId &Vm);

/// Returns true if the incarnation \p Vm is known to have ended.
bool hasEnded(const ClaimState &State, const VmId &Vm);

/// Adds \p Claim to the pending claims until replies or its deadline end the
/// wait. Returns its request number.
uint64_t addPending(ClaimStep &Step, PendingClaim Claim);

/// Removes and returns the pending claim \p RequestNumber, which must exist.
PendingClaim removePending(ClaimState &State, uint64_t RequestNumber);

/// Adds a claim again under the request number that it was removed from.
void restorePending(ClaimState &State, uint64_t RequestNumber,
                    PendingClaim Claim);

/// Returns the request numbers of the pending claims of \p Key.
std::vector<uint64_t> findPending(const ClaimState &State, const JobKey &Key);

/// Returns true if a pending claim of \p Key may still start it on this VM.
bool mayStart(const ClaimState &State, const JobKey &Key);

/// Adds the sending of a message to the effects.
void send(ClaimStep &Step, const VmId &Receiver, ClaimMessage Message);

// Each of these functions ends a claim with one effect.
void finishNotRun(ClaimStep &Step, const PendingClaim &Claim,
                  std::string Reason);
void finishUnknown(ClaimStep &Step, const PendingClaim &Claim,
                   std::string Reason, RetryAdvice Retry);
void finishConflict(ClaimStep &Step, const PendingClaim &Claim);
void finishWithJoin(ClaimStep &Step, const PendingClaim &Claim);
void finishWithPass(ClaimStep &Step, const PendingClaim &Claim,
                    const VmId &Executor);

/// Ends the claim if this VM has started the key or stores its answer. Returns
/// true if it did.
bool finishIfExecutedHere(ClaimStep &Step, const PendingClaim &Claim);

/// Ends the claim with a conflict if the digest of its body is not \p Digest.
/// Returns true if it did.
bool finishIfConflict(ClaimStep &Step, const PendingClaim &Claim,
                      const BodyDigest &Digest);

/// Promises that this VM never starts \p Key. Returns false if this VM has
/// started the key or has dropped the prefix.
bool promise(ClaimStep &Step, const JobKey &Key);

} // namespace sapphiremoor::detail

#endif // SAPPHIREMOOR_CLAIMS_INTERNAL_PENDING_H
