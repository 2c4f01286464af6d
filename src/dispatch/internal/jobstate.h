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
  /// Highest run number that this dispatcher has started; LastRun may be one of
  /// a former owner.
  uint64_t LastStartedRun = 0;
  uint64_t DoneRun = 0;
  uint32_t Failures = 0;
  /// Backend server on which the last run failed or could not be completed;
  /// chosen only if there is no alternative.
  std::string AvoidBackend;
  bool RestartedAsStraggler = false;
};

struct StepState {
  std::vector<TaskState> Tasks;
  std::size_t NotDone = 0;
  std::size_t Waiting = 0;
};

/// State of a job that is queued or running.
struct JobState {
  JobSubmission Request;
  std::shared_ptr<const std::string> Spec;
  std::vector<JobSource> Sources;
  std::vector<StepState> Steps;
  /// Position in the order of arrival.
  uint64_t ArrivalNumber = 0;
  Instant ArrivedAt;
  Instant Deadline;
  /// Time by which the job has to end to meet its latency objective.
  Instant ObjectiveEnd;
  Duration CriticalPath{0};
  bool Started = false;
  /// True if every step fits some backend server that this dispatcher owns.
  /// Other jobs are left out of slot forecasts.
  bool FeasibleLocally = true;
  /// Failed runs that have been counted. Each may be reported more than once.
  std::set<std::pair<TaskId, uint64_t>> CountedFailures;
};

/// Returns true if the backend server has the label.
bool hasLabel(const BackendReport &Report, const std::string &Label);

/// Returns true if the backend server has the service, the required label and
/// the capacity for a task of \p Step.
bool canRun(const BackendReport &Report, const std::string &Service,
            const StepRequest &Step);

/// Returns the length of the critical path: the largest sum of estimates along
/// a chain of dependent steps.
Duration criticalPath(const std::vector<StepRequest> &Steps);

/// Returns true if all steps that \p Step depends on are done.
bool isReady(const JobState &Job, std::size_t Step);

/// Returns true if there is a step, each step has a task, and each depends on
/// earlier steps only.
bool isWellFormed(const std::vector<StepRequest> &Steps);

/// Creates the state of a job that arrives at \p Now.
JobState makeJobState(const JobSubmission &Request, uint64_t ArrivalNumber,
                      Instant Now);

/// Applies stored progress to a newly created job.
void restoreProgress(JobState &Job, const JobProgress &Progress);

/// Returns the progress of a job in its durable form.
JobProgress captureProgress(const JobState &Job);

/// Returns true if every task is done.
bool isComplete(const JobState &Job);

/// Returns true if the job is not stored and no caller waits for its end.
bool isOrphaned(const JobState &Job);

} // namespace sapphiremoor::detail

#endif // SAPPHIREMOOR_DISPATCH_INTERNAL_JOBSTATE_H
