#ifndef SAPPHIREMOOR_PLACEMENT_TYPES_BACKENDRECORD_H
#define SAPPHIREMOOR_PLACEMENT_TYPES_BACKENDRECORD_H

#include "placement/types/backendspec.h"

#include "framework/core/time.h"

#include <cstdint>
#include <vector>

namespace sapphiremoor {

/// Standing of a backend server within one service.
enum class Health : uint8_t {
  Good,
  /// Slow, or failing while the cap forbids ejection: used last.
  Reserve,
  Ejected,
  /// May take one task, whose outcome decides.
  ProbeDue,
  Probing,
};

/// Which index of a service holds a backend server.
enum class Listing : uint8_t { None, Preferred, Reserve, Probe };

/// One service on one backend server.
struct OfferedService {
  uint32_t Service = 0;
  Health Standing = Health::Good;
  /// True if speed, not outcome, led to the standing.
  bool Slow = false;
  /// True if no single request came in time to probe with.
  bool ProbeByAny = false;
  Listing Listed = Listing::None;
  uint32_t Level = 0;
  uint32_t FailuresInRow = 0;
  /// The last 10 outcomes, 1 for a failure, and how many are known.
  uint16_t Outcomes = 0;
  uint8_t OutcomeCount = 0;
  uint32_t Samples = 0;
  /// Weighted mean of log(run time / mean of the service).
  double LogRatio = 0;
  Duration Ejection{0};
  /// No start before this instant; the timer is set while BackingOff.
  Instant BackoffUntil{};
  bool BackingOff = false;
  /// End of the ejection, the next try of a slow worker, or the end of the
  /// wait for a single request to probe with.
  Instant ProbeAt = Instant::max();
};

/// A backend server in the placement state.
struct BackendRecord {
  BackendSpec Spec;
  std::vector<OfferedService> OfferedServices;
  uint32_t Running = 0;
  uint32_t RefusalsInRow = 0;
  /// End of the backoff after a refusal.
  Instant RefusedUntil{};
  /// Until then its slots may hold tasks of another dispatcher, so that starts
  /// follow each other slowly enough for a refusal to arrive in between.
  Instant CautiousUntil{};
  uint32_t Position = 0;
  bool Removed = false;

  uint32_t freeSlots() const {
    return Spec.Slots > Running ? Spec.Slots - Running : 0;
  }
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_PLACEMENT_TYPES_BACKENDRECORD_H
