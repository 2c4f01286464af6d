#ifndef SAPPHIREMOOR_SERVICELEVEL_TYPES_SERVICELEVELSTATE_H
#define SAPPHIREMOOR_SERVICELEVEL_TYPES_SERVICELEVELSTATE_H

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace sapphiremoor {

/// Minutes on a clock that never goes backwards, such as that of Instant.
using Minute = uint32_t;

/// Requests of one minute. Counts have 32 bits to halve the memory.
struct MinuteBucket {
  Minute Time = 0;
  uint32_t Good = 0;
  uint32_t Slow = 0;
  uint32_t Failed = 0;
  uint32_t Refused = 0;
  uint32_t Unknown = 0;
  uint64_t LatencyMicroseconds = 0;

  auto operator<=>(const MinuteBucket &) const = default;
};

/// Identifies one series of buckets.
struct SeriesName {
  std::string Service;
  std::string Team;

  auto operator<=>(const SeriesName &) const = default;
};

/// Requests counted by one VM. Minutes without requests have no bucket.
struct ServiceLevelState {
  /// Buckets of at most 3 days, oldest first.
  std::map<SeriesName, std::deque<MinuteBucket>> Series;

  auto operator<=>(const ServiceLevelState &) const = default;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_SERVICELEVEL_TYPES_SERVICELEVELSTATE_H
