#ifndef SAPPHIREMOOR_ROUTING_TYPES_QUEUEROUTE_H
#define SAPPHIREMOOR_ROUTING_TYPES_QUEUEROUTE_H

#include "dispatch/types/jobsubmission.h"

#include <compare>
#include <string>

namespace sapphiremoor {

/// Requests to this host whose path begins with the prefix belong to one queue.
struct QueueRoute {
  std::string Name;
  std::string Host;
  std::string PathPrefix;
  /// Longest time that a request may take.
  int64_t TimeoutMs = 0;
  QueuePolicy Policy;
  /// Only some backend servers may run a step, and an adviser outside the
  /// deployment knows which.
  bool NeedsAdvice = false;

  auto operator<=>(const QueueRoute &) const = default;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_ROUTING_TYPES_QUEUEROUTE_H
