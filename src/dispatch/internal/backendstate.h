#ifndef SAPPHIREMOOR_DISPATCH_INTERNAL_BACKENDSTATE_H
#define SAPPHIREMOOR_DISPATCH_INTERNAL_BACKENDSTATE_H

#include "dispatch/backendclock.h"
#include "dispatch/backendhealth.h"
#include "dispatch/types/backendreport.h"
#include "dispatch/types/taskid.h"

#include <map>
#include <optional>
#include <set>

namespace sapphiremoor::detail {

enum class RunPhase {
  /// The start order has not been answered.
  Starting,
  Active,
  /// A stop order was given; the room is taken until the end is listed.
  Stopping,
};

/// A run that takes room on a backend server, or may come to take it.
struct RunState {
  uint64_t Number = 0;
  Resources Demand;
  Duration Estimate{0};
  RunPhase Phase = RunPhase::Starting;
  int SendCount = 0;
  /// Some start order may have reached the backend server.
  bool MaybeDelivered = false;
  /// Time of the first start order.
  Instant FirstSentAt;
  /// Time at which it was known to be there; set once it was.
  std::optional<Instant> SeenAt;
  Instant StopSentAt;
  std::optional<Instant> StopAcceptedAt;
  /// The task is done for, whatever becomes of this run.
  bool Abandoned = false;
  /// The job is a stored one.
  bool Stored = false;
};

enum class OwnershipMode {
  /// Another VM may use it.
  NotOwned,
  /// Foreign, and being asked whether it can be reached, without a right to it.
  Probing,
  /// Taken with a token; what the former owner left has not ended yet.
  Acquiring,
  Owned,
  /// Fenced by another owner; the own runs end at the latest with their lease.
  Lost,
};

/// One controlled backend server.
struct BackendState {
  BackendReport Report;
  uint64_t Incarnation = 0;
  OwnershipMode Mode = OwnershipMode::NotOwned;
  uint64_t Token = 0;
  int TokenRaises = 0;
  BackendClock Clock;
  BackendHealth Health;
  /// Ends up to this number were acted on.
  uint64_t LastSeenEnd = 0;
  /// Ends of stored jobs that are not durable yet.
  std::set<uint64_t> UnstoredEnds;
  /// Those of them that must not count. Nothing is placed until they are
  /// confirmed.
  std::set<uint64_t> SupersededEnds;
  /// When an order last extended the lease.
  Instant LeaseExtendedAt;
  std::map<TaskId, RunState> Runs;
  Resources Used;
  /// No answer came to the last order; nothing new is placed.
  bool Suspect = false;
  bool PollInFlight = false;
  Instant PollSentAt;
  /// Since when probes have been answered, and the last one that was.
  std::optional<Instant> ReachableSince;
  Instant LastReachedAt;
  /// Begin of the attempt to take it.
  Instant AcquireStartedAt;
  /// Time for the next hold order while none is open.
  Instant NextPollAt;
  /// Smoothed ratio of its run times to those expected of its kind.
  double Slowdown = 1;
  /// Gets no new tasks and is handed to another owner once it is empty.
  bool Releasing = false;

  Resources available() const { return Report.Capacity - Used; }

  /// Ends up to this number may be confirmed.
  uint64_t acknowledgeableUpTo() const {
    return UnstoredEnds.empty() ? LastSeenEnd : *UnstoredEnds.begin() - 1;
  }
};

} // namespace sapphiremoor::detail

#endif // SAPPHIREMOOR_DISPATCH_INTERNAL_BACKENDSTATE_H
