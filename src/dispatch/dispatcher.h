#ifndef SAPPHIREMOOR_DISPATCH_DISPATCHER_H
#define SAPPHIREMOOR_DISPATCH_DISPATCHER_H

#include "dispatch/forecast.h"
#include "dispatch/internal/backendstate.h"
#include "dispatch/internal/jobstate.h"
#include "dispatch/types/backendreport.h"
#include "dispatch/types/dispatcheffect.h"
#include "dispatch/types/dispatchlimits.h"
#include "dispatch/types/jobsubmission.h"
#include "dispatch/types/tokenissuer.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sapphiremoor {

/// Spare capacity and queue of a dispatcher, as reported to other VMs.
struct DispatchLoad {
  /// Number of tasks of typical demand that could start now.
  uint32_t FreeSlots = 0;
  uint32_t WaitingTasks = 0;
  /// Expected wait of a new task of typical demand.
  int64_t WaitMs = 0;

  auto operator<=>(const DispatchLoad &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(FreeSlots, WaitingTasks, WaitMs);
  }
};

/// Status of a job as known to a dispatcher.
enum class JobStatus : uint8_t {
  Unknown,
  Queued,
  Running,
  Done,
  Failed,
  Cancelled,
};

/// How the end of a run that a former owner had started was handled.
enum class FormerRunEnd {
  Counted,
  /// Another run of the task was started before the end was known.
  Superseded,
};

/// Schedules the tasks of jobs on the backend servers that this VM owns. Never
/// exceeds their capacity and never has two runs of one task at a time.
///
/// The backend server decides who owns it: it obeys only the highest fencing
/// token, and its run list shows all active runs. An unanswered start keeps its
/// resources reserved until the run list shows the run, a stop has ruled it
/// out, or its lease has certainly expired.
///
/// Performs no I/O: time and answers are passed in, and the caller carries out
/// the effects.
class Dispatcher {
public:
  /// No other dispatcher of the deployment may have the same \p Issuer.
  Dispatcher(const DispatchLimits &Limits, const TokenIssuer &Issuer);

  /// Processes a report, which may be relayed by other VMs and arrive late.
  /// Returns true if the backend server is new, has restarted, or has changed
  /// its address or draining state.
  bool handleReport(const BackendReport &Report, Instant Now);
  /// Returns true if the report is newer than the last one, and of the
  /// incarnation that a run list has shown since, or a later one.
  bool isNewReport(const BackendReport &Report) const;
  /// Removes a backend server that has left or has not reported for too long.
  /// While runs may still be active there, it is only marked as draining.
  void removeBackend(const std::string &Id, Instant Now);

  /// Starts a takeover of the backend server with a token of \p Term or above.
  /// \p Term comes from fencingTermAt().
  void acquire(const std::string &Id, uint64_t Term, Instant Now);
  /// Sends a probe to a backend server that this VM does not own, to find out
  /// whether it is reachable. Ownership is not affected.
  void probe(const std::string &Id, Instant Now);
  /// Returns for how long probes of the backend server have been answered
  /// without a gap.
  Duration reachableFor(const std::string &Id, Instant Now) const;
  /// Places no further tasks there and gives up ownership once no run is left.
  void release(const std::string &Id, Instant Now);
  /// Stops the runs of stored jobs there whose tasks can run on another backend
  /// server of this VM, and starts them there. A release then does not wait for
  /// them.
  void moveStoredRuns(const std::string &Id, Instant Now);
  /// Ends a release that is not complete. Tasks are placed there again.
  void keep(const std::string &Id);
  /// Places no tasks on any backend server until its next run list, because
  /// this process was paused and another VM may own the backend server now.
  void distrustBackends(Instant Now);
  bool owns(const std::string &Id) const;
  std::vector<std::string> ownedBackends() const;
  /// Returns the backend servers that are owned or being acquired.
  std::vector<std::string> claimedBackends() const;
  /// Returns true if runs of this VM may still be active on the backend server.
  bool mayHoldRuns(const std::string &Id) const;

  /// Submits a job that has been redirected \p Redirects times.
  void submit(const JobSubmission &Request, const JobSource &Source,
              uint8_t Redirects, Instant Now);
  /// Attaches a request to a job that was submitted before. A job that is not
  /// known any more may have run, so the answer is GivenUp.
  void resume(const std::string &JobId, const JobSource &Source);
  /// Runs a stored job from its stored progress on. Its end is reported by
  /// JobProgressed.
  void runStored(const JobSubmission &Request, const JobProgress &Progress,
                 Instant Now);
  /// Drops a stored job that another VM has taken over and stops its runs.
  void dropStored(const std::string &JobId, Instant Now);
  /// Sets the end of this VM's lease on its stored jobs. Their runs are stopped
  /// once it has expired.
  void setStoredLeaseEnd(Instant LeaseEnd) { StoredLeaseEnd = LeaseEnd; }
  /// Called when the result of an ended run is durable, so that the end may be
  /// acknowledged to its backend server. A \p Superseded end was learned after
  /// another run of the task had been started. It must not count, so it is
  /// acknowledged only after the lease of the backend server has expired.
  void handleEndStored(const EndedRunId &End, bool Superseded, Instant Now);
  /// Processes the end of a stored job's run that a former owner had started.
  /// Returns nothing if the job does not run here.
  std::optional<FormerRunEnd> handleFormerRunEnd(const TaskId &Task,
                                                 uint64_t RunNumber,
                                                 RunOutcome EndOutcome,
                                                 Instant Now);
  /// Cancels a job for all its callers. Returns false if the job is not known.
  bool cancel(const std::string &JobId, Instant Now);
  /// Withdraws one request for a job. A job that is not stored ends with its
  /// last request, so that it does not run beside a later submission, which may
  /// go to another dispatcher.
  void withdraw(const std::string &JobId, const JobSource &Source, Instant Now);
  /// Abandons the requests of a process that holds callers' connections and has
  /// ended or become unreachable.
  void dropSource(const VmId &Process, Instant Now);
  /// Abandons the requests of all processes.
  void dropAllSources(Instant Now);
  /// Returns the id of the backend server on which a run of the task is or may
  /// be active, or an empty string.
  std::string locateRun(const TaskId &Task) const;
  /// Returns true if the job is known here and is not a stored one.
  bool isInMemoryJob(const std::string &JobId) const;
  JobStatus status(const std::string &JobId) const;
  /// Returns the number of jobs of the queue that have not started.
  std::size_t pendingJobs(const std::string &QueueName) const;

  /// Records the load of another dispatcher; absent if it is down.
  void updatePeerLoad(const std::string &Vm, std::optional<DispatchLoad> Load);
  DispatchLoad load(Instant Now) const;

  void handleStartAnswer(const StartOrder &Order, const StartAnswer &Answer,
                         Instant Now);
  void handleStopAnswer(const StopOrder &Order, StopAnswerKind Answer,
                        Instant Now);
  /// Processes the answer to a poll that was sent at \p SentAt.
  void handleRunList(const PollOrder &Order, const RunList &List,
                     Instant SentAt, Instant Now);
  void handlePollFailure(const PollOrder &Order, PollFailure Failure,
                         Instant Now);
  /// Handles everything that depends on time alone; called periodically.
  void tick(Instant Now);

  /// Returns the effects since the last call, in order. The progress of open
  /// stored jobs comes first.
  std::vector<DispatchEffect> takeEffects();

  std::size_t openJobs() const { return Jobs.size(); }
  /// Returns the number of jobs whose callers wait for the end.
  std::size_t openRequests() const;

private:
  using BackendState = detail::BackendState;
  using JobState = detail::JobState;
  using RunState = detail::RunState;

  /// Order of the queue: by priority, started jobs first, then by arrival.
  struct QueueKey {
    int32_t Priority = 0;
    bool NotStarted = true;
    uint64_t ArrivalNumber = 0;
    std::string JobId;

    auto operator<=>(const QueueKey &) const = default;
  };

  struct Outcome {
    JobResult Result = JobResult::Done;
    JobReason Reason = JobReason::None;
    Instant Ended;
  };

  /// A start order without an answer whose backend server was given up before
  /// it was known whether the order took effect.
  struct UnresolvedStart {
    std::string BackendId;
    Instant FirstSentAt;
  };

  /// What is kept of a removed backend server while orders to it may still be
  /// carried out.
  struct RemovedBackend {
    uint64_t Token = 0;
    Instant RemovedAt;
  };

  // Jobs.
  static QueueKey queueKey(const JobState &Job);
  /// Returns true if each step fits some known backend server, whoever owns it.
  bool isFeasible(const JobSubmission &Request) const;
  /// Returns true if each step fits some backend server of this dispatcher.
  bool isFeasibleLocally(const JobSubmission &Request) const;
  void updateLocalFeasibility();
  bool hasWaitingTasks(const JobState &Job) const;
  /// Updates the moving averages of demand and length of incoming tasks.
  void updateTypicalTask(const JobSubmission &Request);
  /// Answers a request for a known job or attaches it to the open job. Returns
  /// false if the job is not known.
  bool answerIfKnown(const std::string &JobId, const JobSource &Source);
  void answer(const JobSource &Recipient, const std::string &JobId,
              JobResult Result, JobReason Reason, int64_t RetryAfterMs = 0,
              const std::string &Target = {});
  void endJob(const std::string &JobId, JobResult Result, JobReason Reason,
              Instant Now, int64_t RetryAfterMs = 0);
  /// Removes a job and stops its runs.
  void removeJob(const std::string &JobId, Instant Now);
  /// Refuses a job because of its expected wait.
  void refuse(const JobState &Job, const JobSource &Source, Duration Wait,
              Instant Now);
  void submitStored(const JobSubmission &Request, const JobSource &Source,
                    uint8_t Redirects, Instant Now);
  /// Removes requests, and ends the jobs that nobody waits for any more.
  void dropSources(const std::function<bool(const JobSource &)> &IsDropped,
                   Instant Now);
  /// Redirects a job that would have to wait to a dispatcher that can start it
  /// sooner. Returns false if there is none.
  bool redirectToPeer(const JobSubmission &Request, const JobSource &Source,
                      uint8_t Redirects, Duration Wait);
  /// Lets the next takeEffects() report the progress of a stored job, once for
  /// all changes since the last call.
  void markProgressed(const JobState &Job);
  bool isStored(const std::string &JobId) const;
  /// Stops the runs of stored jobs once this VM's lease on them has expired.
  void stopRevokedRuns(Instant Now);
  bool hasRevokedRuns(const BackendState &Backend, Instant Now) const;
  void completeTask(const TaskId &Task, uint64_t RunNumber, Instant Now);
  void failTask(const TaskId &Task, uint64_t RunNumber,
                const std::string &BackendId, Instant Now);
  void requeue(const TaskId &Task, const std::string &AvoidBackend);
  void expireJobs(Instant Now);
  /// Refuses waiting jobs that can no longer start in time.
  void refuseLateJobs(Instant Now);
  void logRefusal(const JobState &Job, JobReason Reason, Duration Wait,
                  Instant Now);
  /// Returns true if a job that starts after \p Wait would miss its latency
  /// objective or its deadline.
  bool exceedsObjective(const JobState &Job, Duration Wait, Instant Now) const;

  // Admission.
  SlotForecast forecastSlots(const std::string &Service,
                             const Resources &Demand, Instant Now) const;
  Duration expectedWait(const JobState &Job, Instant Now) const;
  /// Reserves slots for the waiting tasks of a job. Returns when the last of
  /// them starts.
  static Duration reserveSlots(SlotForecast &Slots, const JobState &Job);
  /// Returns a peer that can start \p TaskCount tasks sooner, and adds them to
  /// its recorded load.
  std::optional<std::string> findFasterPeer(std::size_t TaskCount,
                                            Duration Wait);

  // Placement.
  void schedule(Instant Now);
  /// Places the waiting tasks of a job. Returns true if one fits nowhere; its
  /// demand is added to \p UnplaceableDemands unless the step has further
  /// constraints.
  bool placeTasks(JobState &Job, std::vector<Resources> &UnplaceableDemands,
                  Instant Now);
  BackendState *chooseBackend(const JobState &Job, std::size_t Step,
                              const detail::TaskState &Task, Instant Now);
  /// Returns true if the backend server is owned, reachable, known as it is
  /// now, not leaving and not ejected.
  static bool isUsable(const BackendState &Backend, Instant Now);
  /// Returns true if the backend server can take a task of the step now.
  bool isEligible(const BackendState &Backend, const JobState &Job,
                  std::size_t Step, Instant Now) const;
  void startTask(BackendState &Backend, JobState &Job, std::size_t Step,
                 std::size_t Index, Instant Now);

  // Runs and backend servers.
  BackendState *find(const ControlTarget &Target);
  ControlTarget controlTarget(const BackendState &Backend) const;
  void sendStart(BackendState &Backend, const TaskId &Task, RunState &Run,
                 Instant Now);
  void sendStop(BackendState &Backend, const TaskId &Task, RunState &Run,
                Instant Now);
  void sendPoll(BackendState &Backend, Instant Now);
  /// Decides when the backend server is polled again after \p List.
  void scheduleNextPoll(BackendState &Backend, const RunList &List,
                        Instant Now);
  /// Sends an unanswered start again, or stops the run after MaxStartSends.
  void handleUnresolvedStart(BackendState &Backend, const TaskId &Task,
                             RunState &Run, Instant Now);
  /// Handles a start that was certainly not carried out: its task is queued
  /// again, or counts as failed if the order was malformed.
  void handleRejectedStart(BackendState &Backend, const StartOrder &Order,
                           const RunState &Run, StartAnswerKind Kind,
                           Instant Now);
  /// Releases the resources of a run and returns it.
  RunState removeRun(BackendState &Backend, const TaskId &Task);
  /// Processes the ends that are listed for the first time, and reports again
  /// those that are still not stored.
  void handleListedEnds(BackendState &Backend, const RunList &List,
                        Instant Now);
  void handleRunEnd(BackendState &Backend, const EndedRun &Ended, Instant Now);
  /// Emits RunEnded and holds back the acknowledgement of the end until it is
  /// stored.
  void emitRunEnded(BackendState &Backend, const EndedRun &Ended, bool Applied,
                    Instant Now);
  /// Whether unanswered orders can still take effect.
  enum class LateOrders { Possible, Excluded };
  /// Removes a run that is not or no longer active, and queues its task again
  /// unless the run was abandoned.
  void dropRun(BackendState &Backend, const TaskId &Task, LateOrders Late);
  void dropAllRuns(BackendState &Backend, LateOrders Late);
  /// Returns true if a new run of the task could overlap with one that a late
  /// order starts.
  bool mayStartLate(const TaskId &Task, Instant Deadline, Instant Now) const;
  /// Returns true if a run from an earlier submission of the job may still
  /// start.
  bool mayStartLate(const std::string &JobId, Instant Now) const;
  /// Updates the runs from the run list and drops those that do not exist any
  /// more.
  void reconcileRuns(BackendState &Backend, const RunList &List, Instant SentAt,
                     Instant Now);
  /// Abandons the job of a run that will miss the deadline, and stops
  /// stragglers.
  void checkProgress(BackendState &Backend, const ActiveRun &Active,
                     Instant Now);
  /// Returns true if a run of this age and progress will miss the deadline of
  /// its job.
  bool willMissDeadline(const JobState &Job, Duration Age, int64_t Percent,
                        Instant Now) const;
  /// Stops listed runs that this dispatcher did not start, such as those of a
  /// former owner.
  void stopUnknownRuns(BackendState &Backend, const RunList &List, Instant Now);
  /// Allows superseded ends to be acknowledged once the lease has expired.
  void acknowledgeSupersededEnds(BackendState &Backend, Instant Now);
  /// Returns a token for the next takeover: of \p Term or above, and higher
  /// than all that this dispatcher has used there, so that orders of a former
  /// ownership can no longer take effect.
  uint64_t nextToken(const BackendState &Backend, uint64_t Term) const;
  void recordProbeAnswer(BackendState &Backend, Instant Now);
  /// Returns true if the task can run on an owned backend server other than \p
  /// BackendId.
  bool canRunElsewhere(const TaskId &Task, const std::string &BackendId) const;
  void completeAcquire(BackendState &Backend);
  /// Reports a gain or loss of ownership.
  void emitOwnership(const BackendState &Backend, bool Owned,
                     const std::string &Reason);
  /// Handles the refusal of an order for its token: raises the token during a
  /// takeover, otherwise gives up ownership. If the token was raised after the
  /// order, the refusal says nothing about it.
  void handleFenced(BackendState &Backend, const ControlTarget &Refused,
                    Instant Now);
  /// Handles a new incarnation of the backend server.
  void handleRestart(BackendState &Backend, Instant Now);
  /// Starts a takeover of an owned backend server with a higher token, so that
  /// earlier orders can no longer take effect.
  void reacquire(BackendState &Backend, Instant Now);
  void relinquish(BackendState &Backend, const std::string &Reason);
  void tickBackend(BackendState &Backend, Instant Now);
  void resendStops(BackendState &Backend, Instant Now);
  void updateRunTimeRatio(BackendState &Backend, const RunState &EndedState,
                          Instant Now);
  /// Returns the moving average of the ratio of run times to estimates on this
  /// kind of machine.
  double runTimeRatio(const BackendState &Backend) const;
  /// Returns true if runs take much longer there than on other backend servers
  /// of its kind.
  bool isSlow(const BackendState &Backend) const;
  /// Emits a RunDecision for the event log.
  void log(const BackendState &Backend, const TaskId &Task, uint64_t RunNumber,
           const std::string &Decision, Duration Age = {}, int64_t Percent = 0);

  DispatchLimits Limits;
  TokenIssuer Issuer;
  uint64_t NextIncarnation = 1;
  uint64_t NextLife = 1;
  uint64_t NextArrivalNumber = 1;
  std::map<std::string, BackendState> Backends;
  std::map<std::string, RemovedBackend> RemovedBackends;
  std::map<std::string, JobState> Jobs;
  std::set<QueueKey> Queue;
  std::map<std::string, Outcome> Outcomes;
  /// Backend server of each run that may be active.
  std::map<TaskId, std::string> RunLocations;
  /// End of this VM's lease on its stored jobs.
  Instant StoredLeaseEnd;
  std::map<TaskId, UnresolvedStart> UnresolvedStarts;
  std::map<std::string, DispatchLoad> PeerLoads;
  /// Keyed by the first label of backend servers, which names the kind of
  /// machine.
  std::map<std::string, double> RunTimeRatios;
  /// Moving averages of demand and length of the incoming tasks.
  Resources TypicalDemand;
  Duration TypicalLength{0};
  std::string LatestService;
  std::vector<DispatchEffect> Effects;
  /// Stored jobs whose progress has changed since the last takeEffects().
  std::set<std::string> ProgressedJobs;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_DISPATCH_DISPATCHER_H
