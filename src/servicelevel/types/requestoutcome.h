#ifndef SAPPHIREMOOR_SERVICELEVEL_TYPES_REQUESTOUTCOME_H
#define SAPPHIREMOOR_SERVICELEVEL_TYPES_REQUESTOUTCOME_H

#include <cstdint>

namespace sapphiremoor {

/// How a job or single request counts towards the objectives.
enum class RequestOutcome : uint8_t {
  /// Complete, within the latency objective.
  Good,
  /// Complete, but later than the latency objective.
  Slow,
  Failed,
  /// Not run, and the caller was told so. Refusals are counted apart from
  /// failures and spend no error budget.
  Refused,
  /// The system cannot know whether it ran; counts as a failure.
  Unknown,
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_SERVICELEVEL_TYPES_REQUESTOUTCOME_H
