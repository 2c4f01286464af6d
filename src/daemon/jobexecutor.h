#ifndef SAPPHIREMOOR_DAEMON_JOBEXECUTOR_H
#define SAPPHIREMOOR_DAEMON_JOBEXECUTOR_H

#include "configuration/types/serviceconfig.h"
#include "configuration/types/settings.h"
#include "framework/metrics/registry.h"
#include "framework/net/backendclient.h"
#include "framework/net/timer.h"
#include "gateway/types/answer.h"
#include "gateway/types/jobrequest.h"
#include "leases/backendtable.h"
#include "membership/types/heartbeat.h"
#include "placement/placement.h"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace sapphiremoor {

/// Runs the tasks of jobs on the backend servers that placement selects and
/// collects their results into one answer per job.
class JobExecutor {
public:
  /// Receives what the executor learns about a backend server.
  struct BackendCallbacks {
    std::function<void(const std::string &)> OnContact;
    std::function<void(const std::string &)> OnConnectFailure;
  };
  using AnswerHandler = std::function<void(const Answer &)>;

  JobExecutor(EventLoop &Loop, const Settings &VmSettings,
              const BackendTable &Backends, Registry &Metrics,
              BackendCallbacks Callbacks);

  /// Applies a new configuration.
  void configure(const ServiceConfig &Config);

  /// Applies a state change of a backend server.
  void updateBackend(const std::string &Id);

  /// Called when this VM becomes the dispatcher. Marks the slots as possibly
  /// busy with tasks of the previous dispatcher.
  void handleTakeover();

  /// Checks whether the job can run in time. Errors: Impossible, Overloaded.
  Result<Done> admitJob(const JobRequest &Job) const;

  /// Queues the tasks of \p Job. \p Label identifies the job to backend
  /// servers. \p Handler is called once, from a later event.
  JobNumber start(const std::string &Label, const JobRequest &Job,
                  AnswerHandler Handler);

  /// Cancels a job and calls its handler.
  void cancel(JobNumber Job);

  /// Returns the expected wait of a new task, or nothing if no backend server
  /// offers the service.
  std::optional<Duration> estimateWait(const std::string &Service) const;
  /// Returns the loads of all services for the heartbeat.
  std::vector<ServiceLoad> serviceLoads() const;

  std::size_t openJobs() const { return Jobs.size(); }
  const PlacementState &placement() const { return State; }

private:
  /// A job from its grant to its answer.
  struct RunningJob {
    std::string Label;
    JobRequest Job;
    Instant Deadline;
    std::vector<std::string> Results;
    std::size_t Remaining = 0;
    /// Number of task starts that may have run. While it is zero, the job has
    /// not run.
    std::size_t PossibleStarts = 0;
    AnswerHandler Handler;
  };

  void schedulePass();
  void runPass();
  void armTimer();
  void launchTask(const TaskStart &Start);
  void handleTaskResult(const TaskStart &Start, Instant StartedAt,
                        const HttpCallResult &Result);
  void logEjection(const std::string &Id);
  void recordTaskOutcome(const TaskStart &Start, TaskOutcome Outcome,
                         const std::string &Body);
  void failJob(JobNumber Number, const std::string &Reason,
               const std::string &Remedy);
  void completeJob(JobNumber Number, const Answer &Result);
  void expireJobs();
  JobSpec makeShape(const JobRequest &Job) const;

  EventLoop &Loop;
  const Settings &VmSettings;
  const BackendTable &Backends;
  BackendCallbacks Callbacks;
  BackendClient Client;
  PlacementState State;
  std::vector<std::string> ServiceNames;
  std::unordered_map<JobNumber, RunningJob> Jobs;
  std::set<std::pair<Instant, JobNumber>> Deadlines;
  /// Backend servers whose ejection has been logged.
  std::set<std::string> EjectedBackends;
  uint64_t LastJob = 0;
  bool PassScheduled = false;
  Timer WakeupTimer;
  Counter &TaskStarts;
  Counter &TaskRetries;
  LatencyHistogram &TaskTimes;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_DAEMON_JOBEXECUTOR_H
