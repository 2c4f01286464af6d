#ifndef SAPPHIREMOOR_CLAIMS_INTERNAL_STEPS_H
#define SAPPHIREMOOR_CLAIMS_INTERNAL_STEPS_H

#include "claims/internal/pending.h"

#include <set>

namespace sapphiremoor::detail {

// Each function takes a claim that is not parked and either ends it or parks
// it in its next phase.

/// Asks the issuer, which may be this VM or known to be lost.
void beginGranting(Step &S, PendingClaim Claim);

/// Goes on after the issuer's verdict.
void applyVerdict(Step &S, PendingClaim Claim, const IssuerVerdict &Verdict);

/// Goes on with a key that the issuer granted to this VM: starts it once a
/// majority holds the grant, else asks a further member.
void continueHolding(Step &S, PendingClaim Claim);

/// Goes on with a key that the issuer granted to another VM.
void grantedElsewhere(Step &S, PendingClaim Claim, const VmId &Executor,
                      const BodyDigest &Digest);

/// Goes on without the issuer.
void issuerSilent(Step &S, PendingClaim Claim);

/// Seals the prefix on this VM, if it is a member, and returns its reply.
SealReply sealRecord(Step &S, const JobKey &Key, uint64_t Request);

/// Asks the members to seal the prefix.
void beginSealing(Step &S, PendingClaim Claim);

/// Asks executors that may hold the grant for their promise, and members for
/// a copy of the answer.
void beginAsking(Step &S, PendingClaim Claim, const std::set<VmId> &Candidates);

/// Goes on when a wait has timed out.
void endWait(Step &S, PendingClaim Claim);

// Replies to a parked claim. Replies of a VM that is not awaited are ignored.
void onHoldReply(Step &S, uint64_t Request, const VmId &From, bool Held);
void onSealReply(Step &S, uint64_t Request, const VmId &From,
                 const SealReply &Reply);
void onAnswerReply(Step &S, uint64_t Request, const VmId &From,
                   const AnswerReply &Reply);

/// Goes on without a reply of \p Peer, which is lost.
void onPeerLost(Step &S, uint64_t Request, const VmId &Peer);

} // namespace sapphiremoor::detail

#endif // SAPPHIREMOOR_CLAIMS_INTERNAL_STEPS_H
