#ifndef SAPPHIREMOOR_SERVICELEVEL_TYPES_SERVICELEVELSTATE_H
#define SAPPHIREMOOR_SERVICELEVEL_TYPES_SERVICELEVELSTATE_H

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace sapphiremoor {

/// Minutes on a time line that never runs backwards, such as that of Instant.
using Minute = uint32_t;

/// The requests of one minute. Counts have 32 bits to halve the memory.
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

/// Names one series of buckets.
struct SeriesName {
  std::string Service;
  std::string Team;

  auto operator<=>(const SeriesName &) const = default;
};

/// What one VM has counted. Minutes without requests have no bucket.
struct ServiceLevelState {
  /// Oldest bucket first, at most 3 days of them.
  std::map<SeriesName, std::deque<MinuteBucket>> Series;

  auto operator<=>(const ServiceLevelState &) const = default;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_SERVICELEVEL_TYPES_SERVICELEVELSTATE_H
