#ifndef SAPPHIREMOOR_DISPATCH_INTERNAL_JOBSTATE_H
#define SAPPHIREMOOR_DISPATCH_INTERNAL_JOBSTATE_H

#include "dispatch/types/backendreport.h"
#include "dispatch/types/dispatcheffect.h"
#include "dispatch/types/jobsubmission.h"
#include "dispatch/types/taskid.h"
#include "framework/core/time.h"

#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sapphiremoor::detail {

enum class TaskPhase { Waiting, Placed, Done };

struct TaskState {
  TaskPhase Phase = TaskPhase::Waiting;
  uint64_t LastRun = 0;
  /// The last run that this dispatcher started.
  uint64_t LastStartedRun = 0;
  uint64_t DoneRun = 0;
  uint32_t Failures = 0;
  /// The backend server where the last run did not end well.
  std::string AvoidBackend;
  bool RestartedAsStraggler = false;
};

struct StepState {
  std::vector<TaskState> Tasks;
  std::size_t NotDone = 0;
  std::size_t Waiting = 0;
};

/// A job that is queued or runs.
struct JobState {
  JobSubmission Request;
  std::shared_ptr<const std::string> Spec;
  std::vector<JobSource> Sources;
  std::vector<StepState> Steps;
  /// Order of arrival.
  uint64_t ArrivalNumber = 0;
  Instant ArrivedAt;
  Instant Deadline;
  /// End of the latency objective.
  Instant ObjectiveEnd;
  Duration CriticalPath{0};
  bool Started = false;
  /// Some backend server of this dispatcher could run each step. A job without
  /// such servers takes no place in forecasts.
  bool FeasibleLocally = true;
  /// Failed runs of a former owner that were counted: each may be told again.
  std::set<std::pair<TaskId, uint64_t>> FormerRunFailures;
};

/// Returns true if \p Label is one of the backend server's.
bool hasLabel(const BackendReport &Report, const std::string &Label);

/// Returns true if the backend server has the service, the label and the size
/// that a task of \p Step needs.
bool canRun(const BackendReport &Report, const std::string &Service,
            const StepRequest &Step);

/// Returns the longest chain of estimates through the steps.
Duration criticalPath(const std::vector<StepRequest> &Steps);

/// Returns true if all steps that \p Step depends on are done.
bool isReady(const JobState &Job, std::size_t Step);

/// Returns true if the dependencies name earlier steps only and each step has a
/// task.
bool isWellFormed(const std::vector<StepRequest> &Steps);

/// Builds the state of a job that arrives \p Now.
JobState makeJobState(const JobSubmission &Request, uint64_t ArrivalNumber,
                      Instant Now);

/// Brings a new job to where it stood.
void restoreProgress(JobState &Job, const JobProgress &Progress);

/// Returns how far a job has come.
JobProgress captureProgress(const JobState &Job);

/// Returns true if every task is done.
bool isComplete(const JobState &Job);

} // namespace sapphiremoor::detail

#endif // SAPPHIREMOOR_DISPATCH_INTERNAL_JOBSTATE_H
