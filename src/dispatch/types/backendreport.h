#ifndef SAPPHIREMOOR_DISPATCH_TYPES_BACKENDREPORT_H
#define SAPPHIREMOOR_DISPATCH_TYPES_BACKENDREPORT_H

#include "dispatch/types/resources.h"
#include "framework/core/types/endpoint.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace sapphiremoor {

/// State that a controlled backend server reports about itself.
struct BackendReport {
  std::string Id;
  /// Wall-clock time at which this incarnation of the backend server started,
  /// in milliseconds since 1970. A restart under the same id has another value.
  int64_t StartTimeMs = 0;
  /// Increases with each report of one incarnation.
  uint64_t Sequence = 0;
  std::string Service;
  Endpoint Address;
  std::string DataCentre;
  Resources Capacity;
  /// Kind of machine and rack, in this order.
  std::vector<std::string> Labels;
  bool Draining = false;

  auto operator<=>(const BackendReport &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Id, StartTimeMs, Sequence, Service, Address, DataCentre, Capacity,
       Labels, Draining);
  }
};

/// Returns true if \p A is an older report than \p B about the same backend
/// server: from an earlier incarnation, or an earlier report of the same
/// incarnation.
inline bool isOlder(const BackendReport &A, const BackendReport &B) {
  return A.StartTimeMs != B.StartTimeMs ? A.StartTimeMs < B.StartTimeMs
                                        : A.Sequence < B.Sequence;
}

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_DISPATCH_TYPES_BACKENDREPORT_H
