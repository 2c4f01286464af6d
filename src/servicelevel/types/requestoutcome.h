#ifndef SAPPHIREMOOR_SERVICELEVEL_TYPES_REQUESTOUTCOME_H
#define SAPPHIREMOOR_SERVICELEVEL_TYPES_REQUESTOUTCOME_H

#include <cstdint>

namespace sapphiremoor {

/// Outcome of a job or single request with respect to the objectives.
enum class RequestOutcome : uint8_t {
  /// Succeeded within the latency objective.
  Good,
  /// Succeeded, but later than the latency objective.
  Slow,
  Failed,
  /// Not run, and the caller was told so. Refusals are counted separately from
  /// failures and use no error budget.
  Refused,
  /// It is unknown whether it ran; counts as a failure.
  Unknown,
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_SERVICELEVEL_TYPES_REQUESTOUTCOME_H
