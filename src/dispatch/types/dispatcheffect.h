#ifndef SAPPHIREMOOR_DISPATCH_TYPES_DISPATCHEFFECT_H
#define SAPPHIREMOOR_DISPATCH_TYPES_DISPATCHEFFECT_H

#include "dispatch/types/control.h"
#include "dispatch/types/jobsubmission.h"
#include "dispatch/types/resources.h"
#include "dispatch/types/storedjob.h"
#include "framework/core/time.h"
#include "framework/core/types/vmid.h"

#include <cstdint>
#include <string>
#include <variant>

namespace sapphiremoor {

/// Identifies one request for a job: the process that holds the caller's
/// connection, and the number that this process gave the request. Each process
/// of a VM counts its requests anew.
struct JobSource {
  VmId Process;
  uint64_t Request = 0;

  auto operator<=>(const JobSource &) const = default;
};

enum class JobResult : uint8_t {
  /// All tasks are done.
  Done,
  /// A task used up its attempts, or no backend server can ever run the job.
  Failed,
  /// No task of the job ran, and none will.
  NotRun,
  /// Tasks were started and then abandoned; the job may be submitted again.
  GivenUp,
  /// The job is stored and will run.
  Accepted,
};

/// Reason for the result of a job.
enum class JobReason : uint8_t {
  None,
  /// The expected wait is too long for the job's latency objective, or the
  /// dispatcher has too many open jobs.
  Overloaded,
  /// Some task of the job fits no known backend server, or the job is
  /// malformed.
  Impossible,
  /// The caller's deadline passed.
  DeadlinePassed,
  /// A task used up its attempts.
  TaskFailed,
  /// The caller or an operator cancelled it.
  Cancelled,
  /// Another VM can start the job sooner.
  Redirected,
  /// The caller has disconnected and may send the job again.
  CallerGone,
};

/// Answer to one request for a job.
struct JobAnswer {
  JobSource Recipient;
  std::string JobId;
  JobResult Result = JobResult::NotRun;
  JobReason Reason = JobReason::None;
  /// With Overloaded: time after which capacity is expected to be free.
  int64_t RetryAfterMs = 0;
  /// With Redirected: VM to which the job has to be sent, to whichever process
  /// it has then.
  std::string Target;
};

/// What the dispatcher assumes about a backend server when it decides, for the
/// event log.
struct BackendAssumption {
  uint64_t FencingToken = 0;
  /// Start time of the incarnation, in milliseconds since 1970.
  int64_t StartTimeMs = 0;
  Resources Capacity;
  /// Resources of all runs that are or may be active.
  Resources Used;
};

/// This VM gained or lost the ownership of a backend server.
struct OwnershipChanged {
  std::string BackendId;
  bool Owned = false;
  std::string Reason;
  BackendAssumption Assumed;
};

/// Decision about one run, for the event log.
struct RunDecision {
  std::string BackendId;
  TaskId Task;
  uint64_t RunNumber = 0;
  std::string Decision;
  Duration Age{0};
  int64_t Percent = 0;
  BackendAssumption Assumed;
};

/// Refusal of a job, with the load that caused it, for the event log.
struct AdmissionRefused {
  std::string JobId;
  JobReason Reason = JobReason::None;
  uint32_t Tasks = 0;
  /// Expected wait until the last task starts; negative if there is no slot.
  int64_t WaitMs = 0;
  std::size_t FreeSlots = 0;
  std::size_t JobsAhead = 0;
  /// Highest number of free slots that another dispatcher reported.
  uint32_t PeerFreeSlots = 0;
  /// Number of owned backend servers, and of those among them that accept
  /// tasks.
  std::size_t OwnedBackends = 0;
  std::size_t UsableBackends = 0;
};

/// Requests that an admitted job be stored; Dispatcher::runStored() follows.
struct StoreJob {
  JobSubmission Job;
  JobSource Source;
};

/// Requests that the progress of a stored job be stored.
struct JobProgressed {
  std::string JobId;
  JobProgress Progress;
};

/// Identifies one ended run in the run lists of a backend server.
struct EndedRunId {
  std::string BackendId;
  /// Local number of the backend server's incarnation, in which its ends are
  /// numbered. It stays the same while the backend server changes owners.
  uint64_t Life = 0;
  uint64_t EndNumber = 0;

  auto operator<=>(const EndedRunId &) const = default;
};

/// Reports the end of a run that belongs to a stored job or to a job unknown
/// here. The end is not acknowledged to the backend server before
/// Dispatcher::handleEndStored(), because the backend server may forget an
/// acknowledged end.
struct RunEnded {
  EndedRunId EndId;
  TaskId Task;
  uint64_t RunNumber = 0;
  RunOutcome Outcome = RunOutcome::Other;
  /// True if the dispatcher has applied the end to its job; the resulting
  /// progress then has to become durable. False if the VM that runs the job has
  /// to be told.
  bool Applied = false;

  auto operator<=>(const RunEnded &) const = default;
};

/// Ends of runs were reported again because they have not been stored for long,
/// for the event log.
struct EndsReportedAgain {
  std::string BackendId;
  std::size_t Count = 0;
  /// The one with the lowest number. Neither it nor an end after it can be
  /// acknowledged.
  EndedRun First;
};

using DispatchEffect =
    std::variant<StartOrder, StopOrder, PollOrder, JobAnswer, OwnershipChanged,
                 RunDecision, AdmissionRefused, StoreJob, JobProgressed,
                 RunEnded, EndsReportedAgain>;

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_DISPATCH_TYPES_DISPATCHEFFECT_H
