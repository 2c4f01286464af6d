#ifndef SAPPHIREMOOR_SERVICELEVEL_TYPES_OUTCOMECOUNTS_H
#define SAPPHIREMOOR_SERVICELEVEL_TYPES_OUTCOMECOUNTS_H

#include <compare>
#include <cstdint>

namespace sapphiremoor {

/// Numbers of requests by outcome.
struct OutcomeCounts {
  uint64_t Good = 0;
  uint64_t Slow = 0;
  uint64_t Failed = 0;
  uint64_t Refused = 0;
  uint64_t Unknown = 0;
  /// Sum of the response times of the good and slow requests.
  uint64_t LatencyMicroseconds = 0;

  auto operator<=>(const OutcomeCounts &) const = default;

  OutcomeCounts &operator+=(const OutcomeCounts &Other) {
    Good += Other.Good;
    Slow += Other.Slow;
    Failed += Other.Failed;
    Refused += Other.Refused;
    Unknown += Other.Unknown;
    LatencyMicroseconds += Other.LatencyMicroseconds;
    return *this;
  }

  /// Requests that completed successfully.
  uint64_t succeeded() const { return Good + Slow; }
  /// Requests that count against the availability budget.
  uint64_t lost() const { return Failed + Unknown; }
  /// Requests that count for the availability objective. Refusals are excluded.
  uint64_t answered() const { return succeeded() + lost(); }
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_SERVICELEVEL_TYPES_OUTCOMECOUNTS_H
