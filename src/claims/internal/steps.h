#ifndef SAPPHIREMOOR_CLAIMS_INTERNAL_STEPS_H
#define SAPPHIREMOOR_CLAIMS_INTERNAL_STEPS_H

#include "claims/internal/pending.h"

#include <set>

namespace sapphiremoor::detail {

// Each function takes a claim that is not parked and either ends it or parks
// it in its next phase.

/// Asks the issuer, which may be this VM or known to be lost.
void beginGranting(ClaimStep &Step, PendingClaim Claim);

/// Goes on after the issuer's verdict.
void applyVerdict(ClaimStep &Step, PendingClaim Claim,
                  const IssuerVerdict &Verdict);

/// Goes on with a key that the issuer granted to this VM: starts it once a
/// majority holds the grant, else asks a further member.
void continueHolding(ClaimStep &Step, PendingClaim Claim);

/// Goes on with a key that the issuer granted to another VM.
void onGrantedElsewhere(ClaimStep &Step, PendingClaim Claim,
                        const VmId &Executor, const BodyDigest &Digest);

/// Goes on without the issuer.
void onIssuerUnavailable(ClaimStep &Step, PendingClaim Claim);

/// Seals the prefix on this VM, if it is a member, and returns its reply.
SealReply sealRecord(ClaimStep &Step, const JobKey &Key,
                     uint64_t RequestNumber);

/// Asks the members to seal the prefix.
void beginSealing(ClaimStep &Step, PendingClaim Claim);

/// Asks executors that may hold the grant for their promise, and members for
/// a copy of the answer.
void beginQuerying(ClaimStep &Step, PendingClaim Claim,
                   const std::set<VmId> &Candidates);

/// Goes on when a wait has timed out.
void endPhase(ClaimStep &Step, PendingClaim Claim);

// Replies to a parked claim. Replies of a VM that is not awaited are ignored.
void onHoldReply(ClaimStep &Step, uint64_t RequestNumber, const VmId &Sender,
                 bool Held);
void onSealReply(ClaimStep &Step, uint64_t RequestNumber, const VmId &Sender,
                 const SealReply &Reply);
void onAnswerReply(ClaimStep &Step, uint64_t RequestNumber, const VmId &Sender,
                   const AnswerReply &Reply);

/// Goes on without a reply of \p Peer, which is lost.
void onPeerUnavailable(ClaimStep &Step, uint64_t RequestNumber,
                       const VmId &Peer);

} // namespace sapphiremoor::detail

#endif // SAPPHIREMOOR_CLAIMS_INTERNAL_STEPS_H
