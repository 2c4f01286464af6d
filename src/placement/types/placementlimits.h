#ifndef SAPPHIREMOOR_PLACEMENT_TYPES_PLACEMENTLIMITS_H
#define SAPPHIREMOOR_PLACEMENT_TYPES_PLACEMENTLIMITS_H

#include "framework/core/time.h"

#include <compare>
#include <cstdint>

namespace sapphiremoor {

/// Bounds and thresholds of placement.
struct PlacementLimits {
  /// Bound on the queued tasks of all teams. A team within its share of this
  /// bound is admitted even if other teams have filled the queue.
  uint32_t MaxQueuedTasks = 50'000;
  uint32_t MaxTasksPerJob = 1'600;
  /// Retry budget of a service: tokens gained per start, and the maximum number
  /// of tokens.
  double RetryTokensPerStart = 0.1;
  double MaxRetryTokens = 100;
  /// Consecutive failures after which a backend server is ejected from a
  /// service.
  uint32_t EjectionFailures = 3;
  Duration InitialEjection{5'000'000};
  Duration MaxEjection{60'000'000};
  /// Maximum share of a service's backend servers that may be ejected or
  /// demoted.
  double MaxEjectedShare = 0.3;
  /// A backend server that is slower than the mean of its service by this
  /// factor is demoted.
  double SlowFactor = 2.5;
  /// Delay before a slow backend server is probed with one task.
  Duration SlowProbeDelay{30'000'000};
  /// Time that a probe waits for a single request before any task may be the
  /// probe. A failed probe then costs one request instead of a job of many
  /// tasks.
  Duration ProbeRequestWait{1'000'000};
  /// Backoff of a backend server after its first refusal because it is busy. It
  /// doubles with each consecutive refusal, up to MaxBackoff. Once less than
  /// three quarters of the retry budget are left, every backoff is MaxBackoff.
  Duration InitialBackoff{10'000};
  Duration MaxBackoff{1'000'000};
  /// After a refusal or a takeover, a backend server gets at most one start per
  /// InitialBackoff for this time.
  Duration PacingPeriod{2'000'000};
  /// Teams within their quota are served before all others. Unused quota is
  /// saved for at most QuotaBurst and overuse counts for at most QuotaDebt,
  /// both measured in time of the quota. A job of 1,600 tasks takes about 15 s
  /// of a quota of one tenth.
  Duration QuotaBurst{60'000'000};
  Duration QuotaDebt{1'000'000};
  /// Teams within their quota are served in order of arrival as long as none
  /// keeps more than 1 / BusyFactor of all slots busy. With a factor of 1.5, a
  /// team that floods the queue delays others by half at first. With 8, the
  /// largest jobs take a third longer at 90 % load.
  double BusyFactor = 3;
  /// Use of slots beyond 1 / BusyFactor is remembered for at most this time.
  Duration MaxBusyAhead{5'000'000};
  /// A team that used less than its share may catch up on at most this much
  /// time of its share.
  Duration BurstCredit{1'000'000};
  /// Teams over their quota whose use differs by less than this time of their
  /// shares are served in order of arrival.
  Duration FairQuantum{1'000'000};

  auto operator<=>(const PlacementLimits &) const = default;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_PLACEMENT_TYPES_PLACEMENTLIMITS_H
