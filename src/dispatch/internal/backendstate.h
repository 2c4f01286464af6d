#ifndef SAPPHIREMOOR_DISPATCH_INTERNAL_BACKENDSTATE_H
#define SAPPHIREMOOR_DISPATCH_INTERNAL_BACKENDSTATE_H

#include "dispatch/backendclock.h"
#include "dispatch/backendhealth.h"
#include "dispatch/internal/endledger.h"
#include "dispatch/types/backendreport.h"
#include "dispatch/types/dispatcheffect.h"
#include "dispatch/types/taskid.h"

#include <algorithm>
#include <map>
#include <optional>

namespace sapphiremoor::detail {

enum class RunPhase {
  /// The start order has not been answered yet.
  Starting,
  Active,
  /// A stop order was issued; the resources stay reserved until the end is
  /// listed.
  Stopping,
};

/// A run that occupies resources on a backend server, or that may do so later
/// because its start is unresolved.
struct RunState {
  uint64_t Number = 0;
  Resources Demand;
  Duration Estimate{0};
  RunPhase Phase = RunPhase::Starting;
  int SendCount = 0;
  /// True if a start order got no answer, so it may have been delivered.
  bool MaybeDelivered = false;
  /// Time at which the first start order was sent.
  Instant FirstSentAt;
  /// Time from which the run is known to be active, if it is known.
  std::optional<Instant> SeenAt;
  /// A run list has shown the run, so it belongs to that incarnation. The
  /// answer to a start order does not tell the incarnation.
  bool Listed = false;
  /// The run has ended, but the last run list had no room for its end.
  bool EndLeftOut = false;
  Instant StopSentAt;
  std::optional<Instant> StopAcceptedAt;
  /// The job no longer needs this run; its outcome is ignored.
  bool Abandoned = false;
  /// The run belongs to a stored job.
  bool Stored = false;
};

enum class OwnershipMode {
  /// Another VM may own the backend server.
  NotOwned,
  /// Not owned; a poll without a token is in flight to find out whether the
  /// backend server is reachable.
  Probing,
  /// A takeover is in progress: a new token is in use, but runs of the former
  /// owner may still be active.
  Acquiring,
  Owned,
  /// Ownership was lost while runs were active. They end with their lease at
  /// the latest.
  Lost,
};

/// State of one controlled backend server.
struct BackendState {
  BackendReport Report;
  /// A run list has shown a newer incarnation than the report, so its capacity
  /// and labels are not known yet.
  bool ReportOutdated = false;
  uint64_t Incarnation = 0;
  OwnershipMode Mode = OwnershipMode::NotOwned;
  uint64_t Token = 0;
  /// Number of times that the current takeover has raised its token, in all and
  /// since the last accepted order.
  int TokenRaises = 0;
  int RaisesInRow = 0;
  BackendClock Clock;
  BackendHealth Health;
  /// Local number of the backend server's incarnation, which it keeps while it
  /// changes owners.
  uint64_t Life = 0;
  /// Ends of runs of this life.
  EndLedger Ends;
  /// A run list has shown this life since the current takeover began.
  bool LifeConfirmed = false;
  /// Time of the last order that extended the lease.
  Instant LeaseExtendedAt;
  std::map<TaskId, RunState> Runs;
  Resources Used;
  /// Number of runs in the phase Starting.
  std::size_t StartingRuns = 0;
  /// The last order was not answered or was rejected for an unclear reason; no
  /// task is placed until a poll succeeds.
  bool Suspect = false;
  /// Run lists that were requested before this time do not end the suspicion.
  Instant SuspectedAt;
  bool PollInFlight = false;
  Instant PollSentAt;
  /// Time from which probes have been answered without a gap, and time of the
  /// last answer.
  std::optional<Instant> ReachableSince;
  Instant LastReachedAt;
  /// Start of the current takeover.
  Instant AcquireStartedAt;
  /// Time of the next poll, unless one is in flight.
  Instant NextPollAt;
  /// Moving average of its run times relative to those expected for its kind of
  /// machine.
  double Slowdown = 1;
  /// Gets no new tasks; ownership is given up once no run is left.
  bool Releasing = false;

  /// The only way to change the phase of one of its runs.
  void setPhase(RunState &Run, RunPhase Phase) {
    StartingRuns -= Run.Phase == RunPhase::Starting ? 1 : 0;
    StartingRuns += Phase == RunPhase::Starting ? 1 : 0;
    Run.Phase = Phase;
  }

  /// Returns true if a run may be active. The others only wait for their ends.
  bool mayHaveActiveRun() const {
    return std::ranges::any_of(
        Runs, [](const auto &Entry) { return !Entry.second.EndLeftOut; });
  }

  /// Returns true if its lease has to expire, so that superseded ends can be
  /// acknowledged. Their room in the run list may be what others wait for.
  bool needsLeaseExpiry() const {
    return Ends.holdsSuperseded() && !mayHaveActiveRun();
  }

  Resources available() const { return Report.Capacity - Used; }

  /// Returns the highest end number that a poll may acknowledge. If the backend
  /// server may have restarted unnoticed, that is none, because the numbers of
  /// its ends have begun anew then.
  uint64_t acknowledgeableUpTo() const {
    return LifeConfirmed && !Suspect ? Ends.acknowledgeableUpTo() : 0;
  }

  BackendAssumption assumption() const {
    return {Token, Report.StartTimeMs, Report.Capacity, Used};
  }
};

} // namespace sapphiremoor::detail

#endif // SAPPHIREMOOR_DISPATCH_INTERNAL_BACKENDSTATE_H
