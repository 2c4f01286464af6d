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

/// Where an order goes and under which right. Life tells orders apart that were
/// given before and after the backend server was taken over or restarted.
struct ControlTarget {
  std::string BackendId;
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
  /// On the clock of the backend server, in milliseconds. The start is refused
  /// once it has passed, and the lease of all runs there lasts to it at least.
  int64_t LeaseEndMs = 0;
};

enum class StartAnswerKind {
  /// The run is there.
  Started,
  /// Another owner has a higher token.
  Fenced,
  /// A run at least as high was there before.
  OldRun,
  /// The lease end had passed when the order arrived.
  TooLate,
  /// The backend server has no room.
  NoCapacity,
  /// The backend server does not take work now; nothing was started.
  Unhealthy,
  /// The address belongs to another backend server now.
  WrongBackend,
  /// The order itself was refused.
  Invalid,
  /// The order was certainly not sent.
  NotSent,
  /// The order may or may not be carried out, now or later.
  NoAnswer,
};

struct StartAnswer {
  StartAnswerKind Kind = StartAnswerKind::NoAnswer;
  /// Clock of the backend server, if it answered.
  std::optional<int64_t> ClockMs;
};

/// Stops one run; a run that is not there yet is refused from then on.
struct StopOrder {
  ControlTarget Target;
  TaskId Task;
  uint64_t RunNumber = 0;
};

enum class StopAnswerKind { Accepted, Fenced, NoAnswer };

/// Extends the lease, confirms ends, and asks what runs.
struct PollOrder {
  ControlTarget Target;
  /// Absent: the lease is not extended.
  std::optional<int64_t> LeaseEndMs;
  /// Ends up to this number are confirmed.
  uint64_t AcknowledgedUpTo = 0;
  /// Longest time that the answer may wait for an end.
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
  uint64_t EndNumber = 0;
  TaskId Task;
  uint64_t RunNumber = 0;
  RunOutcome Outcome = RunOutcome::Other;
};

/// The exact list of a backend server at one moment.
struct RunList {
  int64_t ClockMs = 0;
  /// Absent if the backend server does not tell.
  std::optional<int64_t> StartTimeMs;
  std::vector<ActiveRun> Active;
  std::vector<EndedRun> Ended;
};

enum class PollFailure { Fenced, WrongBackend, NoAnswer };

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_DISPATCH_TYPES_CONTROL_H
