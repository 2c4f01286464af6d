#ifndef SAPPHIREMOOR_CLUSTER_TYPES_CONFIRMATION_H
#define SAPPHIREMOOR_CLUSTER_TYPES_CONFIRMATION_H

#include "dispatch/dispatcher.h"
#include "dispatch/types/dispatcheffect.h"
#include "framework/core/time.h"
#include "framework/core/types/vmid.h"
#include "jobstore/types/jobstoremessage.h"

#include <compare>
#include <variant>

namespace sapphiremoor {

/// Confirms the end of a run on a backend server that this VM owns.
struct LocalEnd {
  RunEnded Report;
  /// Another run of the task had been started before the end was known.
  bool Superseded = false;

  auto operator<=>(const LocalEnd &) const = default;
};

/// Confirms the end of a run to the process of another control VM that has
/// reported it.
struct ReportedEnd {
  VmId Reporter;
  RunEndNotice Notice;
  /// As in LocalEnd.
  bool Superseded = false;

  auto operator<=>(const ReportedEnd &) const = default;
};

/// Confirms to an entry VM that a job is cancelled.
struct CancelRequest {
  JobSource Source;
  /// State of the job before the cancel.
  JobStatus PreviousStatus = JobStatus::Unknown;
  /// The entry VM does not wait for the answer any longer.
  Instant Expiry;

  auto operator<=>(const CancelRequest &) const = default;
};

/// What is confirmed once a state of a job is durable.
using Confirmation = std::variant<LocalEnd, ReportedEnd, CancelRequest>;

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CLUSTER_TYPES_CONFIRMATION_H
