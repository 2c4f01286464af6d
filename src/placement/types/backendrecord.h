#ifndef SAPPHIREMOOR_PLACEMENT_TYPES_BACKENDRECORD_H
#define SAPPHIREMOOR_PLACEMENT_TYPES_BACKENDRECORD_H

#include "placement/types/backendspec.h"

#include "framework/core/time.h"

#include <cstdint>
#include <vector>

namespace sapphiremoor {

/// Standing of a backend server within one service.
enum class HealthState : uint8_t {
  Healthy,
  /// Slow, or failing while the cap forbids ejection: used last.
  Degraded,
  Ejected,
  /// May take one task, whose outcome decides.
  ProbeDue,
  Probing,
};

/// Which index of a service holds a backend server.
enum class SlotIndexKind : uint8_t { None, Preferred, Fallback, Probe };

/// One service on one backend server.
struct OfferedService {
  uint32_t Service = 0;
  HealthState State = HealthState::Healthy;
  /// True if speed, not outcome, led to the standing.
  bool Slow = false;
  /// True if no single request came in time to probe with.
  bool AnyTaskMayProbe = false;
  SlotIndexKind IndexedIn = SlotIndexKind::None;
  uint32_t IndexedLevel = 0;
  uint32_t ConsecutiveFailures = 0;
  /// The last 10 outcomes, 1 for a failure, and how many are known.
  uint16_t FailureBits = 0;
  uint8_t OutcomeCount = 0;
  uint32_t Samples = 0;
  /// Weighted mean of log(run time / mean of the service).
  double LogRatio = 0;
  Duration EjectionTime{0};
  /// No start before this instant; the timer is set while BackingOff.
  Instant BackoffUntil{};
  bool BackingOff = false;
  /// End of the ejection, the next try of a slow worker, or the end of the
  /// wait for a single request to probe with.
  Instant NextProbe = Instant::max();
};

/// A backend server in the placement state.
struct BackendRecord {
  BackendSpec Spec;
  std::vector<OfferedService> OfferedServices;
  uint32_t RunningTasks = 0;
  uint32_t ConsecutiveRefusals = 0;
  /// End of the backoff after a refusal.
  Instant RefusedUntil{};
  /// Until then its slots may hold tasks of another dispatcher, so that starts
  /// follow each other slowly enough for a refusal to arrive in between.
  Instant PacedUntil{};
  uint32_t Position = 0;
  bool Removed = false;

  uint32_t freeSlots() const {
    return Spec.Slots > RunningTasks ? Spec.Slots - RunningTasks : 0;
  }
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_PLACEMENT_TYPES_BACKENDRECORD_H
