#ifndef SAPPHIREMOOR_DISPATCH_TYPES_DISPATCHLIMITS_H
#define SAPPHIREMOOR_DISPATCH_TYPES_DISPATCHLIMITS_H

#include "framework/core/time.h"

#include <cstdint>

namespace sapphiremoor {

/// Timeouts, intervals and limits of the dispatcher.
struct DispatchLimits {
  /// Lease that each start order and poll grants. After this time the runs of
  /// an unreachable backend server can be started elsewhere.
  Duration LeaseDuration = std::chrono::milliseconds(600);
  /// Time after which a lease that is not extended has certainly expired: the
  /// longest lease that backend servers grant, with a margin for their clocks.
  Duration LeaseExpiryBound = std::chrono::milliseconds(1200);
  /// Maximum time that a poll waits for the end of a run. A third of the lease,
  /// so that one lost answer does not let the lease expire.
  Duration PollWait = std::chrono::milliseconds(200);
  /// Interval between polls of a backend server that runs nothing.
  Duration IdlePollInterval = std::chrono::milliseconds(1000);
  /// Delay before the next poll after one without an answer.
  Duration PollRetryDelay = std::chrono::milliseconds(150);
  /// Interval between polls during a takeover, while the runs of the former
  /// owner are being stopped.
  Duration TakeoverPollInterval = std::chrono::milliseconds(60);
  /// Interval at which an end that is not stored is reported again. Covers
  /// several synced writes of a slow disk.
  Duration EndReportInterval = std::chrono::milliseconds(1000);
  /// Number of times that a start order is sent before its run is stopped
  /// instead.
  int MaxStartSends = 2;
  /// Maximum number of runs on one backend server whose start is not answered
  /// yet. More orders at once could not be answered before they time out.
  std::size_t MaxStartingRuns = 256;
  /// An unanswered order may still be carried out within this window after it
  /// was sent, also by the next incarnation of the backend server. The window
  /// comes from the contract of the backend servers, with a margin at both
  /// ends.
  Duration LateStartWindowBegin = std::chrono::milliseconds(1900);
  Duration LateStartWindowEnd = std::chrono::milliseconds(13500);
  /// A stored job is refused if its expected wait exceeds this many times its
  /// latency objective, because a result that late is of no use to the caller.
  int StoredMaxWaitFactor = 3;
  /// Maximum number of open jobs; bounds the memory of a dispatcher.
  std::size_t MaxOpenJobs = 20000;
  /// Delay before a stop order is sent again.
  Duration StopRetryDelay = std::chrono::milliseconds(150);
  /// Number of consecutive failed runs after which a backend server is ejected,
  /// that is, gets no tasks for a while.
  int FailuresToEject = 2;
  /// Length of the first ejection; each further one without a successful run
  /// between them is twice as long.
  Duration InitialEjectionTime = std::chrono::milliseconds(700);
  /// Maximum length of an ejection. It is short because a probe costs only one
  /// run, whereas a long ejection leaves a backend server idle.
  Duration MaxEjectionTime = std::chrono::seconds(2);
  /// Maximum number of times that a job is redirected to another dispatcher.
  uint8_t MaxRedirects = 2;
  /// Allowance for network and processing time in forecasts.
  Duration Overhead = std::chrono::milliseconds(15);
  /// Time for which the outcome of a job is kept to answer repeated requests.
  Duration OutcomeRetention = std::chrono::seconds(20);
  /// Time after which a job is abandoned once the VM that holds its caller's
  /// connection has become unreachable.
  Duration SourceGracePeriod = std::chrono::milliseconds(300);
  /// Minimum age of a run for its progress to predict its end.
  Duration MinProgressAge = std::chrono::milliseconds(250);
  /// A run whose extrapolated run time exceeds this many times its estimate,
  /// plus StragglerSlack, is a straggler: it is stopped and started on another
  /// backend server, which is likely to be faster.
  double StragglerFactor = 4;
  Duration StragglerSlack = std::chrono::milliseconds(150);
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_DISPATCH_TYPES_DISPATCHLIMITS_H
