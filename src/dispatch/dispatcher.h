#ifndef SAPPHIREMOOR_DISPATCH_DISPATCHER_H
#define SAPPHIREMOOR_DISPATCH_DISPATCHER_H

#include "dispatch/forecast.h"
#include "dispatch/internal/backendstate.h"
#include "dispatch/internal/jobstate.h"
#include "dispatch/types/backendreport.h"
#include "dispatch/types/dispatcheffect.h"
#include "dispatch/types/dispatchlimits.h"
#include "dispatch/types/jobsubmission.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sapphiremoor {

/// How much a dispatcher can take on, as told to other VMs.
struct DispatchLoad {
  /// Tasks of the usual size that could start now.
  uint32_t FreeSlots = 0;
  uint32_t WaitingTasks = 0;
  /// Expected wait of a new task of the usual size.
  int64_t WaitMs = 0;

  auto operator<=>(const DispatchLoad &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(FreeSlots, WaitingTasks, WaitMs);
  }
};

/// What a dispatcher knows of a job.
enum class JobStatus : uint8_t {
  Unknown,
  Queued,
  Running,
  Done,
  Failed,
  Cancelled,
};

/// What the end of a run that a former owner had started meant.
enum class FormerRunEnd {
  Counted,
  /// Another run of the task was started before the end was known.
  Superseded,
};

/// Places the tasks of jobs on backend servers that this VM controls, never
/// over their capacity and never two runs of one task at a time.
///
/// The backend server is the arbiter of its ownership: it obeys only the
/// highest fencing token, and its list of runs is exact. A start without an
/// answer takes room until the list shows it, a stop has made it impossible, or
/// its lease has certainly expired.
///
/// Pure decisions: time and answers go in, effects come out.
class Dispatcher {
public:
  /// \p OwnerTag is the low part of this VM's fencing tokens; no two VMs may
  /// share it.
  Dispatcher(const DispatchLimits &Limits, uint16_t OwnerTag);

  /// Takes in a report, which may come by way of other VMs and late. Returns
  /// true if it told something new about the backend server's life or state.
  bool handleReport(const BackendReport &Report, Instant Now);
  /// The backend server left or has been silent for too long.
  void removeBackend(const std::string &Id, Instant Now);

  /// Takes the backend server with a token of \p Term or above. \p Term rises
  /// with the time of day, so that a later owner has a higher one.
  void acquire(const std::string &Id, uint64_t Term, Instant Now);
  /// Asks a backend server of another owner for a sign of life.
  void probe(const std::string &Id, Instant Now);
  /// Returns for how long probes of it have been answered.
  Duration reachableFor(const std::string &Id, Instant Now) const;
  /// Places nothing more there and gives it up once it is empty.
  void release(const std::string &Id, Instant Now);
  bool owns(const std::string &Id) const;
  std::vector<std::string> ownedBackends() const;
  /// Returns true if runs of this VM may still be on the backend server.
  bool mayHoldRuns(const std::string &Id) const;

  /// Takes a job that was sent on \p Redirects times.
  void submit(const JobSubmission &Request, const JobSource &Source,
              uint8_t Redirects, Instant Now);
  /// Joins a job that was submitted before. One that is not known any more may
  /// have run, so it is given up.
  void resume(const std::string &JobId, const JobSource &Source);
  /// Runs a stored job from where it stood. The end of the job is told by
  /// JobProgressed.
  void runStored(const JobSubmission &Request, const JobProgress &Progress,
                 Instant Now);
  /// Another VM has the right to the stored job now: its runs are stopped.
  void dropStored(const std::string &JobId, Instant Now);
  /// The right to run stored jobs lasts until then; after it their runs are
  /// stopped.
  void setStoredLeaseEnd(Instant LeaseEnd) { StoredLeaseEnd = LeaseEnd; }
  /// The end may be confirmed to its backend server. A \p Superseded one came
  /// after another run of the task had been started: it must not count, so the
  /// lease of the backend server has to expire first.
  void handleEndStored(const EndedRunId &End, bool Superseded, Instant Now);
  /// A run of a stored job that a former owner had started has ended. Returns
  /// nothing if the job is not run here.
  std::optional<FormerRunEnd> handleFormerRunEnd(const TaskId &Task,
                                                 uint64_t RunNumber,
                                                 RunOutcome EndOutcome,
                                                 Instant Now);
  /// Ends a job for all its callers. Returns false if it is not known.
  bool cancel(const std::string &JobId, Instant Now);
  /// The VM that holds callers' connections is out of reach: its requests are
  /// given up.
  void dropSource(const std::string &Vm, Instant Now);
  /// Returns the backend server where a run of the task is or may be, or
  /// nothing.
  std::string locateRun(const TaskId &Task) const;
  /// Returns true if the job is known here and not a stored one.
  bool isInMemoryJob(const std::string &JobId) const;
  JobStatus status(const std::string &JobId) const;
  /// Jobs of \p Queue that have not started.
  std::size_t pendingJobs(const std::string &QueueName) const;

  /// Tells how much another dispatcher can take on; absent if it is down.
  void updatePeerLoad(const std::string &Vm, std::optional<DispatchLoad> Load);
  DispatchLoad load(Instant Now) const;

  void handleStartAnswer(const StartOrder &Order, const StartAnswer &Answer,
                         Instant Now);
  void handleStopAnswer(const StopOrder &Order, StopAnswerKind Answer,
                        Instant Now);
  void handleRunList(const PollOrder &Order, const RunList &List,
                     Instant SentAt, Instant Now);
  void handlePollFailure(const PollOrder &Order, PollFailure Failure,
                         Instant Now);
  void tick(Instant Now);

  std::vector<DispatchEffect> takeEffects();

  std::size_t openJobs() const { return Jobs.size(); }
  /// Jobs whose callers wait for their end.
  std::size_t openRequests() const;

private:
  using BackendState = detail::BackendState;
  using JobState = detail::JobState;
  using RunState = detail::RunState;

  /// Priority, then jobs that have started, then the order of arrival.
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
  /// anything showed what became of it.
  struct UnresolvedStart {
    std::string BackendId;
    Instant FirstSentAt;
  };

  // Jobs.
  static QueueKey queueKey(const JobState &Job);
  bool isFeasible(const JobSubmission &Request) const;
  /// The same for the backend servers of this dispatcher.
  bool isFeasibleLocally(const JobSubmission &Request) const;
  void updateLocalFeasibility();
  bool hasWaitingTasks(const JobState &Job) const;
  void updateTypicalTask(const JobSubmission &Request);
  bool answerIfKnown(const std::string &JobId, const JobSource &Source);
  void answer(const JobSource &Recipient, const std::string &JobId,
              JobResult Result, JobReason Reason, int64_t RetryAfterMs = 0,
              const std::string &Target = {});
  void endJob(const std::string &JobId, JobResult Result, JobReason Reason,
              Instant Now, int64_t RetryAfterMs = 0);
  /// Forgets a job and stops its runs.
  void removeJob(const std::string &JobId, Instant Now);
  /// Refuses a job that would have to wait for too long.
  void refuse(const JobState &Job, const JobSource &Source, Duration Wait,
              Instant Now);
  void submitStored(const JobSubmission &Request, const JobSource &Source,
                    uint8_t Redirects, Instant Now);
  /// Sends a job that would have to wait to a dispatcher that can start it.
  bool redirectToPeer(const JobSubmission &Request, const JobSource &Source,
                      uint8_t Redirects, Duration Wait);
  void emitProgress(const JobState &Job);
  bool isStored(const std::string &JobId) const;
  /// Stops the runs of stored jobs when the right to them has ended.
  void stopRevokedRuns(Instant Now);
  bool hasRevokedRuns(const BackendState &Backend, Instant Now) const;
  void completeTask(const TaskId &Task, uint64_t RunNumber, Instant Now);
  void failTask(const TaskId &Task, const std::string &BackendId, Instant Now);
  void requeue(const TaskId &Task, const std::string &AvoidBackend);
  void expireJobs(Instant Now);
  /// Ends waiting jobs that cannot start in time any more.
  void refuseLateJobs(Instant Now);
  void logRefusal(const JobState &Job, JobReason Reason, Duration Wait,
                  Instant Now);
  /// Returns true if a job that starts after \p Wait would not be in time.
  bool exceedsObjective(const JobState &Job, Duration Wait, Instant Now) const;

  // Admission.
  SlotForecast forecastSlots(const std::string &Service,
                             const Resources &Demand, Instant Now) const;
  Duration expectedWait(const JobState &Job, Instant Now) const;
  /// Lets the waiting tasks of a job take places; returns when the last starts.
  static Duration reserveSlots(SlotForecast &Slots, const JobState &Job);
  /// Returns a peer that can start \p TaskCount sooner, and counts them there.
  std::optional<std::string> findFasterPeer(std::size_t TaskCount,
                                            Duration Wait);

  // Placement.
  void schedule(Instant Now);
  bool placeTasks(JobState &Job, std::vector<Resources> &UnplaceableDemands,
                  Instant Now);
  BackendState *chooseBackend(const JobState &Job, std::size_t Step,
                              const detail::TaskState &Task, Instant Now);
  /// Owned, reachable, not leaving and not ejected.
  static bool isUsable(const BackendState &Backend, Instant Now);
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
  void handleUnresolvedStart(BackendState &Backend, const TaskId &Task,
                             RunState &Run, Instant Now);
  void handleRejectedStart(BackendState &Backend, const TaskId &Task,
                           const RunState &Run, StartAnswerKind Kind,
                           Instant Now);
  /// Frees the room of a run and returns it.
  RunState removeRun(BackendState &Backend, const TaskId &Task);
  void handleRunEnd(BackendState &Backend, const EndedRun &Ended, Instant Now);
  /// Holds the confirmation of an end back until it is stored.
  void emitRunEnded(BackendState &Backend, const EndedRun &Ended, bool Applied);
  /// Whether orders that have no answer yet can still take effect.
  enum class LateOrders { Possible, Excluded };
  void dropRun(BackendState &Backend, const TaskId &Task, LateOrders Late);
  void dropAllRuns(BackendState &Backend, LateOrders Late);
  /// Returns true if another run of the task could overlap with one that a late
  /// order brings to life.
  bool mayStartLate(const TaskId &Task, Instant Deadline, Instant Now) const;
  /// Returns true if a job of this name may still have a run of before.
  bool mayStartLate(const std::string &JobId, Instant Now) const;
  void reconcileRuns(BackendState &Backend, const RunList &List, Instant SentAt,
                     Instant Now);
  void checkProgress(BackendState &Backend, const ActiveRun &Active,
                     Instant Now);
  /// Returns true if a run of this age and progress will miss the deadline.
  bool willMissDeadline(const JobState &Job, Duration Age, int64_t Percent,
                        Instant Now) const;
  void stopUnknownRuns(BackendState &Backend, const RunList &List, Instant Now);
  /// Confirms superseded ends once the lease has expired.
  void acknowledgeSupersededEnds(BackendState &Backend, Instant Now);
  void recordProbeAnswer(BackendState &Backend, Instant Now);
  void completeAcquire(BackendState &Backend);
  void handleFenced(BackendState &Backend, Instant Now);
  void handleRestart(BackendState &Backend, Instant Now);
  void reacquire(BackendState &Backend, Instant Now);
  void relinquish(BackendState &Backend, const std::string &Reason);
  void tickBackend(BackendState &Backend, Instant Now);
  void resendStops(BackendState &Backend, Instant Now);
  void updateRunTimeRatio(BackendState &Backend, const RunState &EndedState,
                          Instant Now);
  /// Smoothed ratio of run times to estimates on machines of this kind.
  double runTimeRatio(const BackendState &Backend) const;
  /// Returns true if runs there take much longer than on others of its kind.
  bool isSlow(const BackendState &Backend) const;
  void log(const BackendState &Backend, const TaskId &Task, uint64_t RunNumber,
           const std::string &Decision);
  uint64_t makeToken(uint64_t Term) const;

  DispatchLimits Limits;
  uint16_t OwnerTag;
  uint64_t NextIncarnation = 1;
  uint64_t NextArrivalNumber = 1;
  std::map<std::string, BackendState> Backends;
  std::map<std::string, JobState> Jobs;
  std::set<QueueKey> Queue;
  std::map<std::string, Outcome> Outcomes;
  /// Where each run is that may be active.
  std::map<TaskId, std::string> RunLocations;
  Instant StoredLeaseEnd;
  std::map<TaskId, UnresolvedStart> UnresolvedStarts;
  std::map<std::string, DispatchLoad> PeerLoads;
  /// By the first label of backend servers, which names the kind of machine.
  std::map<std::string, double> RunTimeRatios;
  /// Smoothed size and length of the tasks that came in.
  Resources TypicalDemand;
  Duration TypicalLength{0};
  std::string LatestService;
  std::vector<DispatchEffect> Effects;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_DISPATCH_DISPATCHER_H
