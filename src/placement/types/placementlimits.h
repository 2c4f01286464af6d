#ifndef SAPPHIREMOOR_PLACEMENT_TYPES_PLACEMENTLIMITS_H
#define SAPPHIREMOOR_PLACEMENT_TYPES_PLACEMENTLIMITS_H

#include "framework/core/time.h"

#include <compare>
#include <cstdint>

namespace sapphiremoor {

/// Bounds and thresholds of placement.
struct PlacementLimits {
  /// Queued tasks over all teams. A team within its share of this bound is
  /// admitted even when other teams have filled the queue.
  uint32_t MaxQueuedTasks = 50'000;
  uint32_t MaxTasksPerJob = 1'600;
  /// Retry budget of a service: tokens gained per start, and the most kept.
  double RetryTokensPerStart = 0.1;
  double MaxRetryTokens = 100;
  /// Failures in a row that eject a worker from a service.
  uint32_t EjectionFailures = 3;
  Duration InitialEjection{5'000'000};
  Duration MaxEjection{60'000'000};
  /// Largest part of a service's workers that is ejected or used last.
  double MaxEjectedShare = 0.3;
  /// A worker this many times slower than its service is used last.
  double SlowFactor = 2.5;
  /// Time after which a slow worker is tried again with one task.
  Duration SlowProbeDelay{30'000'000};
  /// Time for which a probe waits for a single request: a failed probe then
  /// costs one request instead of a job of many tasks.
  Duration ProbeRequestWait{1'000'000};
  /// Least backoff of a backend server after its first refusal as busy, doubled
  /// for each further one in a row up to the longest. With three quarters of
  /// the retry budget left or less each backoff is the longest.
  Duration InitialBackoff{10'000};
  Duration MaxBackoff{1'000'000};
  /// Time after a refusal or a takeover for which a backend server gets one
  /// start per InitialBackoff.
  Duration PacingPeriod{2'000'000};
  /// A team within its quota is served before all others. Its unused quota
  /// counts for at most QuotaBurst, its overuse for at most QuotaDebt, both as
  /// time of the quota. A job of 1,600 tasks takes about 15 s of a tenth.
  Duration QuotaBurst{60'000'000};
  Duration QuotaDebt{1'000'000};
  /// Teams within their quota are served in the order of arrival, as long as
  /// none keeps more than 1 / BusyFactor of all slots busy. With 1.5 a team
  /// that floods the queue delays others by half at first, with 8 the largest
  /// jobs take a third longer at 90 % load.
  double BusyFactor = 3;
  /// A team's use beyond that part is remembered for at most this time.
  Duration MaxBusyAhead{5'000'000};
  /// A team that used less than its share may catch up this much time of it.
  Duration BurstCredit{1'000'000};
  /// Teams beyond their quota whose use differs by less than this much time of
  /// their shares are served in the order of arrival.
  Duration FairQuantum{1'000'000};

  auto operator<=>(const PlacementLimits &) const = default;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_PLACEMENT_TYPES_PLACEMENTLIMITS_H
