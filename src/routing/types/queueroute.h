#ifndef SAPPHIREMOOR_ROUTING_TYPES_QUEUEROUTE_H
#define SAPPHIREMOOR_ROUTING_TYPES_QUEUEROUTE_H

#include "dispatch/types/jobsubmission.h"

#include <compare>
#include <string>

namespace sapphiremoor {

/// Maps the requests to a host and path prefix to a queue.
struct QueueRoute {
  std::string Name;
  std::string Host;
  std::string PathPrefix;
  /// Time limit of a request.
  int64_t TimeoutMs = 0;
  QueuePolicy Policy;
  /// True if only some backend servers can run a step and an external service
  /// has to name them.
  bool NeedsAdvice = false;

  auto operator<=>(const QueueRoute &) const = default;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_ROUTING_TYPES_QUEUEROUTE_H
