#ifndef SAPPHIREMOOR_PLACEMENT_TYPES_BACKENDRECORD_H
#define SAPPHIREMOOR_PLACEMENT_TYPES_BACKENDRECORD_H

#include "placement/types/backendspec.h"

#include "framework/core/time.h"

#include <cstdint>
#include <vector>

namespace sapphiremoor {

/// Health of one service on one backend server.
enum class HealthState : uint8_t {
  Healthy,
  /// Slow, or failing while MaxEjectedShare forbids ejection. Used only if no
  /// healthy backend server has a free slot.
  Degraded,
  Ejected,
  /// May take one task, whose outcome decides between Healthy and Ejected.
  ProbeDue,
  Probing,
};

/// The slot index of a service that contains a backend server.
enum class SlotIndexKind : uint8_t { None, Preferred, Fallback, Probe };

/// One service offered by one backend server.
struct OfferedService {
  uint32_t Service = 0;
  HealthState State = HealthState::Healthy;
  /// True if the backend server was demoted for its speed, not for failures.
  bool Slow = false;
  /// True if any task may be the probe because no single request arrived in
  /// time.
  bool AnyTaskMayProbe = false;
  SlotIndexKind IndexedIn = SlotIndexKind::None;
  uint32_t IndexedLevel = 0;
  uint32_t ConsecutiveFailures = 0;
  /// The last 10 outcomes, one bit each, set for a failure; and how many of
  /// them are known.
  uint16_t FailureBits = 0;
  uint8_t OutcomeCount = 0;
  uint32_t Samples = 0;
  /// Weighted mean of log(run time / mean run time of the service).
  double LogRatio = 0;
  Duration EjectionTime{0};
  /// No task is started before this time. The timer is set while BackingOff.
  Instant BackoffUntil{};
  bool BackingOff = false;
  /// When the ejection ends, when a slow backend server is probed again, or
  /// when the wait for a single request as the probe ends.
  Instant NextProbe = Instant::max();
};

/// State of one backend server.
struct BackendRecord {
  BackendSpec Spec;
  std::vector<OfferedService> OfferedServices;
  uint32_t RunningTasks = 0;
  uint32_t ConsecutiveRefusals = 0;
  /// End of the backoff after a refusal.
  Instant RefusedUntil{};
  /// Until then the slots may hold tasks of another dispatcher. Starts are
  /// spaced out so that a refusal can arrive before the next start.
  Instant PacedUntil{};
  uint32_t Position = 0;
  bool Removed = false;

  uint32_t freeSlots() const {
    return Spec.Slots > RunningTasks ? Spec.Slots - RunningTasks : 0;
  }
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_PLACEMENT_TYPES_BACKENDRECORD_H
