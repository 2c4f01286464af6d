#ifndef SAPPHIREMOOR_CLAIMS_INTERNAL_ANSWERS_H
#define SAPPHIREMOOR_CLAIMS_INTERNAL_ANSWERS_H

#include "claims/types/claimstate.h"

namespace sapphiremoor::detail {

/// Keeps an answer, unless one is kept for the key already; drops the oldest
/// answers past the memory limit.
void addAnswer(ClaimState &State, const JobKey &Key, const BodyDigest &Digest,
               std::string Bytes, Instant Now);

/// Returns the answer kept for \p Key or null.
const StoredAnswer *findAnswer(const ClaimState &State, const JobKey &Key);

/// Drops the answers past the time limit.
void expireAnswers(ClaimState &State, Instant Now);

} // namespace sapphiremoor::detail

#endif // SAPPHIREMOOR_CLAIMS_INTERNAL_ANSWERS_H
