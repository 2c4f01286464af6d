#ifndef SAPPHIREMOOR_DISPATCH_TYPES_CONTROL_H
#define SAPPHIREMOOR_DISPATCH_TYPES_CONTROL_H

#include "dispatch/types/taskid.h"
#include "framework/core/types/endpoint.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sapphiremoor {

/// Addressee of an order and the token that authorises it.
struct ControlTarget {
  std::string BackendId;
  /// Local number, renewed when the backend server restarts and when this VM
  /// starts a takeover or a probe. Answers to orders with another number are
  /// ignored.
  uint64_t Incarnation = 0;
  Endpoint Address;
  /// The backend server obeys only the highest token that it has seen.
  uint64_t FencingToken = 0;
};

/// Starts one run of a task.
struct StartOrder {
  ControlTarget Target;
  TaskId Task;
  uint64_t RunNumber = 0;
  std::shared_ptr<const std::string> Spec;
  /// Lease end on the clock of the backend server, in milliseconds. The backend
  /// server refuses a start that arrives later, and extends the lease of all
  /// its runs to this time at least.
  int64_t LeaseEndMs = 0;
};

enum class StartAnswerKind {
  /// The run is active.
  Started,
  /// Another owner uses a higher fencing token.
  Fenced,
  /// The task already had a run with this number or a higher one there.
  OldRun,
  /// The order arrived after its lease end.
  TooLate,
  /// The backend server has too few free resources.
  NoCapacity,
  /// The backend server accepts no work at present; nothing was started.
  Unhealthy,
  /// The address now belongs to another backend server.
  WrongBackend,
  /// The backend server refused the order as malformed.
  Invalid,
  /// The order was certainly not sent.
  NotSent,
  /// There was no answer: the order may be carried out, now or later, or not at
  /// all.
  NoAnswer,
};

struct StartAnswer {
  StartAnswerKind Kind = StartAnswerKind::NoAnswer;
  /// Clock of the backend server, if it answered.
  std::optional<int64_t> ClockMs;
};

/// Stops one run. If the run has not started yet, a later start of it is
/// refused.
struct StopOrder {
  ControlTarget Target;
  TaskId Task;
  uint64_t RunNumber = 0;
};

enum class StopAnswerKind { Accepted, Fenced, NoAnswer };

/// Polls the run list of a backend server, extends its lease and acknowledges
/// ended runs.
struct PollOrder {
  ControlTarget Target;
  /// Absent if the lease is not extended.
  std::optional<int64_t> LeaseEndMs;
  /// Acknowledges all ended runs up to this end number; the backend server may
  /// forget them.
  uint64_t AcknowledgedUpTo = 0;
  /// Maximum time for which the answer may be delayed until a run ends.
  int64_t WaitMs = 0;
};

enum class RunOutcome { Done, Failed, Stopped, LeaseExpired, Other };

struct ActiveRun {
  TaskId Task;
  uint64_t RunNumber = 0;
  /// Progress in percent.
  int64_t Percent = 0;
};

struct EndedRun {
  /// Sequence number of the end at its backend server.
  uint64_t EndNumber = 0;
  TaskId Task;
  uint64_t RunNumber = 0;
  RunOutcome Outcome = RunOutcome::Other;
};

/// The runs of a backend server at one moment. All active runs are listed.
/// Ended runs are listed until they are acknowledged, in the order of their
/// numbers.
struct RunList {
  int64_t ClockMs = 0;
  /// Start time of the incarnation; absent if the backend server does not
  /// report it.
  std::optional<int64_t> StartTimeMs;
  std::vector<ActiveRun> Active;
  std::vector<EndedRun> Ended;
  /// False if the list may leave out ended runs, those with the highest
  /// numbers, because it has reached its maximum length.
  bool EndsComplete = true;
};

enum class PollFailure { Fenced, WrongBackend, NoAnswer };

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_DISPATCH_TYPES_CONTROL_H
