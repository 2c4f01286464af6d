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

/// Returns the record of \p KeyPrefix, creating it if necessary. Returns null
/// if the prefix is below the low-water mark of its issuer.
PrefixRecord *findOrCreateRecord(ClaimState &State, const Prefix &KeyPrefix,
                                 Instant Now);

/// Returns the record of \p KeyPrefix, or null.
const PrefixRecord *findRecord(const ClaimState &State,
                               const Prefix &KeyPrefix);

/// Returns true if this VM has dropped the prefix.
bool isTooOld(const ClaimState &State, const Prefix &KeyPrefix);

/// Returns the grant held for \p Number, or null.
const HeldGrant *findGrant(const PrefixRecord &Record, uint64_t Number);

/// Returns the executor of \p Grant, which belongs to \p Record.
const VmId &grantExecutor(const PrefixRecord &Record, const HeldGrant &Grant);

/// Records a grant and replaces an earlier one for the same key.
void recordGrant(ClaimState &State, PrefixRecord &Record, uint64_t Number,
                 const GrantReport &Grant, ExecutionStage Stage);

/// Records that the key never runs (on the issuer) or never starts on this VM.
/// Removes the grant of the key, which must not have started, if this VM is its
/// issuer or executor.
void recordVoid(ClaimState &State, PrefixRecord &Record, uint64_t Number);

/// Records a grant as a member. Returns false if this VM is not a member, has
/// sealed the prefix, or holds a different grant that cannot be replaced: only
/// a grant that the issuer has given replaces a provisional one.
bool holdGrant(ClaimState &State, PrefixRecord &Record, uint64_t Number,
               const GrantReport &Grant);

/// Decides a request of \p Requester if this VM is the issuer.
IssuerVerdict decideGrant(ClaimState &State, const JobKey &Key,
                          const VmId &Requester, ClaimIntent Intent,
                          const BodyDigest &Digest, Instant Now);

/// Drops records that are older than the time limit, for each issuer in the
/// order of their sequences.
void expireRecords(ClaimState &State, Instant Now);

/// Drops the oldest records while the memory limit is exceeded.
void evictRecords(ClaimState &State);

/// Returns true if \p Vm is one of the members of \p KeyPrefix.
bool isMember(const Prefix &KeyPrefix, const VmId &Vm);

/// Returns the number of members that form a majority.
std::size_t majoritySize(const Prefix &KeyPrefix);

} // namespace sapphiremoor::detail

#endif // SAPPHIREMOOR_CLAIMS_INTERNAL_RECORDS_H
