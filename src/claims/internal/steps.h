#ifndef SAPPHIREMOOR_CLAIMS_INTERNAL_STEPS_H
#define SAPPHIREMOOR_CLAIMS_INTERNAL_STEPS_H

#include "claims/internal/pending.h"

#include <set>

namespace sapphiremoor::detail {

// Each function takes a claim that is not in ClaimState::Pending. It either
// ends the claim or adds it to the pending claims in its next phase.

/// Asks the issuer, which may be this VM. Continues without it if it is known
/// to be unavailable.
void beginGranting(ClaimStep &Step, PendingClaim Claim);

/// Continues the claim with the issuer's verdict.
void applyVerdict(ClaimStep &Step, PendingClaim Claim,
                  const IssuerVerdict &Verdict);

/// Continues a claim whose key is granted to this VM: starts the job if a
/// majority of the members holds the grant, else asks a further member to
/// record it.
void continueHolding(ClaimStep &Step, PendingClaim Claim);

/// Continues a claim whose key is granted to another VM.
void onGrantedElsewhere(ClaimStep &Step, PendingClaim Claim,
                        const VmId &Executor, const BodyDigest &Digest);

/// Continues a claim without the issuer.
void onIssuerUnavailable(ClaimStep &Step, PendingClaim Claim);

/// Seals the prefix on this VM, if it is a member, and returns its reply.
SealReply sealRecord(ClaimStep &Step, const JobKey &Key,
                     uint64_t RequestNumber);

/// Asks the members to seal the prefix.
void beginSealing(ClaimStep &Step, PendingClaim Claim);

/// Asks executors that may hold the grant for their promise not to start the
/// key, and members for a copy of the answer.
void beginQuerying(ClaimStep &Step, PendingClaim Claim,
                   const std::set<VmId> &Candidates);

/// Continues a claim that awaits no further reply in its phase, because of a
/// timeout or because the awaited VMs have replied or are unavailable.
void endPhase(ClaimStep &Step, PendingClaim Claim);

// Handle the replies to a pending claim. The caller checks that a reply of the
// sender is awaited.
void onHoldReply(ClaimStep &Step, uint64_t RequestNumber, const VmId &Sender,
                 bool Held);
void onSealReply(ClaimStep &Step, uint64_t RequestNumber, const VmId &Sender,
                 const SealReply &Reply);
void onAnswerReply(ClaimStep &Step, uint64_t RequestNumber, const VmId &Sender,
                   const AnswerReply &Reply);

/// Stops waiting for a reply of \p Peer, which is unavailable.
void onPeerUnavailable(ClaimStep &Step, uint64_t RequestNumber,
                       const VmId &Peer);

} // namespace sapphiremoor::detail

#endif // SAPPHIREMOOR_CLAIMS_INTERNAL_STEPS_H
