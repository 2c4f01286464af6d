#ifndef SAPPHIREMOOR_CLAIMS_INTERNAL_ANSWERS_H
#define SAPPHIREMOOR_CLAIMS_INTERNAL_ANSWERS_H

#include "claims/types/claimstate.h"

namespace sapphiremoor::detail {

/// Stores an answer, unless one is stored for the key already. Drops the oldest
/// answers while the memory limit is exceeded.
void addAnswer(ClaimState &State, const JobKey &Key, const BodyDigest &Digest,
               std::string Bytes, Instant Now);

/// Returns the answer stored for \p Key, or null.
const StoredAnswer *findAnswer(const ClaimState &State, const JobKey &Key);

/// Drops the answers that are older than the time limit.
void expireAnswers(ClaimState &State, Instant Now);

} // namespace sapphiremoor::detail

#endif // SAPPHIREMOOR_CLAIMS_INTERNAL_ANSWERS_H
