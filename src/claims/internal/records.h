#ifndef SAPPHIREMOOR_CLAIMS_INTERNAL_RECORDS_H
#define SAPPHIREMOOR_CLAIMS_INTERNAL_RECORDS_H

#include "claims/types/claimstate.h"

#include <optional>

namespace sapphiremoor::detail {

/// What the issuer's record says about a key.
struct IssuerVerdict {
  GrantVerdict Verdict = GrantVerdict::NotIssuer;
  VmId Executor;
  BodyDigest Digest{};
};

/// Returns the record of \p KeyPrefix, created if necessary; null if the prefix
/// is below the low-water sequence.
PrefixRecord *findOrCreateRecord(ClaimState &State, const Prefix &KeyPrefix,
                                 Instant Now);

/// Returns the record of \p KeyPrefix or null.
const PrefixRecord *findRecord(const ClaimState &State,
                               const Prefix &KeyPrefix);

/// Returns true if the prefix was dropped here.
bool isTooOld(const ClaimState &State, const Prefix &KeyPrefix);

/// Returns the grant held for \p Number or null.
const HeldGrant *findGrant(const PrefixRecord &Record, uint64_t Number);

/// Returns the executor of \p Grant, which \p Record holds.
const VmId &grantExecutor(const PrefixRecord &Record, const HeldGrant &Grant);

/// Records a grant, in place of one that is already held for the key.
void recordGrant(ClaimState &State, PrefixRecord &Record, uint64_t Number,
                 const GrantReport &Grant, ExecutionStage Stage);

/// Records that the key never runs (at the issuer) or never starts here, and
/// forgets the grant of a key that has not started.
void recordVoid(ClaimState &State, PrefixRecord &Record, uint64_t Number);

/// Records a grant as a member does: refused if this VM is no member, has
/// sealed the prefix, or holds another grant that the issuer has given. A
/// provisional grant is replaced only by one that the issuer has given.
bool holdGrant(ClaimState &State, PrefixRecord &Record, uint64_t Number,
               const GrantReport &Grant);

/// Applies a request of \p Requester at the issuer.
IssuerVerdict decideGrant(ClaimState &State, const JobKey &Key,
                          const VmId &Requester, ClaimIntent Intent,
                          const BodyDigest &Digest, Instant Now);

/// Drops records past the time limit, per issuer in the order of their
/// sequences.
void expireRecords(ClaimState &State, Instant Now);

/// Drops the oldest records while the memory limit is exceeded.
void evictRecords(ClaimState &State);

/// Returns true if \p Vm is one of the members that \p KeyPrefix names.
bool isMember(const Prefix &KeyPrefix, const VmId &Vm);

/// Returns the number of members that are a majority.
std::size_t majoritySize(const Prefix &KeyPrefix);

} // namespace sapphiremoor::detail

#endif // SAPPHIREMOOR_CLAIMS_INTERNAL_RECORDS_H
