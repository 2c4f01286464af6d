#ifndef SAPPHIREMOOR_CLAIMS_TYPES_CLAIMLIMITS_H
#define SAPPHIREMOOR_CLAIMS_TYPES_CLAIMLIMITS_H

#include "framework/core/time.h"

#include <cstddef>

namespace sapphiremoor {

/// Time and memory limits of the claims of one VM.
struct ClaimLimits {
  /// How long a claim waits for a reply: hundreds of round trips.
  Duration ClaimTimeout = std::chrono::milliseconds(500);
  /// How long grants and voids are kept after the prefix was first seen.
  Duration PrefixLifetime = std::chrono::hours(1);
  /// How long answers are stored: longer than callers retry.
  Duration AnswerLifetime = std::chrono::minutes(15);
  /// Limit of the estimated memory of all prefix records of this VM.
  std::size_t MaxRecordBytes = std::size_t{64} << 20;
  /// Limit of the memory of all answers stored on this VM.
  std::size_t MaxAnswerBytes = std::size_t{32} << 20;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CLAIMS_TYPES_CLAIMLIMITS_H
