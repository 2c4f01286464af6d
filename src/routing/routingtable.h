#ifndef SAPPHIREMOOR_ROUTING_ROUTINGTABLE_H
#define SAPPHIREMOOR_ROUTING_ROUTINGTABLE_H

#include "framework/core/result.h"
#include "routing/types/queueroute.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sapphiremoor {

/// Finds the queue of a request by host and path, for one configuration.
class RoutingTable {
public:
  RoutingTable() = default;

  /// Checks and indexes the routes. Errors: Conflict for two routes with the
  /// same host and prefix, UnknownService for a route to a service that is not
  /// in \p Services, OutOfRange for a timeout that is not positive.
  static Result<RoutingTable> build(uint64_t Version,
                                    std::vector<QueueRoute> Routes,
                                    const std::set<std::string> &Services);

  uint64_t version() const { return Version; }

  /// Returns the route of \p Host with the longest prefix of \p Path, or null
  /// if there is none.
  const QueueRoute *find(const std::string &Host, std::string_view Path) const;

private:
  uint64_t Version = 0;
  /// Routes by host, then by path prefix.
  std::map<std::string, std::map<std::string, QueueRoute, std::less<>>> Hosts;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_ROUTING_ROUTINGTABLE_H
