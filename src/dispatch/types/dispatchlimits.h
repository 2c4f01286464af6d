#ifndef SAPPHIREMOOR_DISPATCH_TYPES_DISPATCHLIMITS_H
#define SAPPHIREMOOR_DISPATCH_TYPES_DISPATCHLIMITS_H

#include "framework/core/time.h"

#include <cstdint>

namespace sapphiremoor {

/// Timing of the dispatcher.
struct DispatchLimits {
  /// Length of the lease that each order grants. What runs on a backend server
  /// that is out of reach can be started elsewhere after this time.
  Duration LeaseDuration = std::chrono::milliseconds(600);
  /// Time after which a lease that nobody extends has certainly expired: the
  /// longest one that backend servers grant, with a margin for their clocks.
  Duration LeaseExpiryBound = std::chrono::milliseconds(1200);
  /// Longest wait of a hold order for an end; a third of the lease, so that one
  /// lost answer does not let the lease expire.
  Duration PollWait = std::chrono::milliseconds(200);
  /// Pause between hold orders to a backend server that runs nothing.
  Duration IdlePollInterval = std::chrono::milliseconds(1000);
  /// Pause before a hold order after one without an answer.
  Duration PollRetryDelay = std::chrono::milliseconds(150);
  /// Pause between looks at a backend server whose former runs are being
  /// stopped.
  Duration TakeoverPollInterval = std::chrono::milliseconds(60);
  /// Sends of one start order before its run is stopped instead.
  int MaxStartSends = 2;
  /// An order without an answer may be carried out this long after it was sent,
  /// also in the next life of a backend server. Source: the contract of the
  /// backend servers, with a margin on both ends.
  Duration LateStartWindowBegin = std::chrono::milliseconds(1900);
  Duration LateStartWindowEnd = std::chrono::milliseconds(13500);
  /// A stored job that would have to wait for this many times its latency
  /// objective is refused; a caller gets nothing for one that is later.
  int StoredMaxWaitFactor = 3;
  /// Jobs that a dispatcher keeps open, for its memory.
  std::size_t MaxOpenJobs = 20000;
  /// Pause before a stop order is sent again.
  Duration StopRetryDelay = std::chrono::milliseconds(150);
  /// Failed runs in a row after which a backend server gets no work for a
  /// while.
  int FailuresToEject = 2;
  Duration InitialEjectionTime = std::chrono::milliseconds(700);
  /// A single run is the price of a probe, idle machines that of a long wait.
  Duration MaxEjectionTime = std::chrono::seconds(2);
  /// Times that a job may be sent on to another dispatcher.
  uint8_t MaxRedirects = 2;
  /// Allowance for messages and processing in forecasts.
  Duration Overhead = std::chrono::milliseconds(15);
  /// Time for which the outcome of a job is kept for repeated requests.
  Duration OutcomeRetention = std::chrono::seconds(20);
  /// A job whose caller's VM broke its link is given up after this time.
  Duration SourceGracePeriod = std::chrono::milliseconds(300);
  /// Age of a run from which its progress tells when it will end.
  Duration MinProgressAge = std::chrono::milliseconds(250);
  /// A run that takes this many times its estimate is started elsewhere, if it
  /// would be faster there.
  double StragglerFactor = 4;
  Duration StragglerSlack = std::chrono::milliseconds(150);
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_DISPATCH_TYPES_DISPATCHLIMITS_H
