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
  uint32_t FreePlaces = 0;
  uint32_t WaitingTasks = 0;
  /// Expected wait of a new task of the usual size.
  int64_t WaitMs = 0;

  auto operator<=>(const DispatchLoad &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(FreePlaces, WaitingTasks, WaitMs);
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
enum class ForeignEnd {
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
  bool backendReported(const BackendReport &Report, Instant Now);
  /// The backend server left or has been silent for too long.
  void backendRemoved(const std::string &Id, Instant Now);

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
  std::vector<std::string> owned() const;
  /// Returns true if runs of this VM may still be on the backend server.
  bool involved(const std::string &Id) const;

  /// Takes a job that was sent on \p Redirects times.
  void submit(const JobSubmission &Request, const JobSource &From,
              uint8_t Redirects, Instant Now);
  /// Joins a job that was submitted before. One that is not known any more may
  /// have run, so it is given up.
  void resume(const std::string &Job, const JobSource &From);
  /// Runs a stored job from where it stood. The end of the job is told by
  /// JobProgressed.
  void runStored(const JobSubmission &Request, const JobProgress &Progress,
                 Instant Now);
  /// Another VM has the right to the stored job now: its runs are stopped.
  void dropStored(const std::string &Job, Instant Now);
  /// The right to run stored jobs lasts until then; after it their runs are
  /// stopped.
  void storedUntil(Instant Until) { StoredLease = Until; }
  /// The end may be confirmed to its backend server. A \p Superseded one came
  /// after another run of the task had been started: it must not count, so the
  /// lease of the backend server has to expire first.
  void endStored(const EndReference &End, bool Superseded, Instant Now);
  /// A run of a stored job that a former owner had started has ended. Returns
  /// nothing if the job is not run here.
  std::optional<ForeignEnd> foreignEnded(const TaskId &Task, uint64_t Run,
                                         RunEnd How, Instant Now);
  /// Ends a job for all its callers. Returns false if it is not known.
  bool cancel(const std::string &Job, Instant Now);
  /// The VM that holds callers' connections is out of reach: its requests are
  /// given up.
  void sourceLost(const std::string &Vm, Instant Now);
  /// Returns the backend server where a run of the task is or may be, or
  /// nothing.
  std::string placeOf(const TaskId &Task) const;
  /// Returns true if the job is known here and not a stored one.
  bool inMemory(const std::string &Job) const;
  JobStatus status(const std::string &Job) const;
  /// Jobs of \p Queue that have not started.
  std::size_t pending(const std::string &Queue) const;

  /// Tells how much another dispatcher can take on; absent if it is down.
  void peerLoad(const std::string &Vm, std::optional<DispatchLoad> Load);
  DispatchLoad load(Instant Now) const;

  void startAnswered(const StartOrder &Order, const StartAnswer &Answer,
                     Instant Now);
  void stopAnswered(const StopOrder &Order, StopAnswerKind Answer, Instant Now);
  void runsListed(const HoldOrder &Order, const RunList &List, Instant Sent,
                  Instant Now);
  void holdFailed(const HoldOrder &Order, HoldFailure Failure, Instant Now);
  void tick(Instant Now);

  std::vector<DispatchEffect> takeEffects();

  std::size_t openJobs() const { return Jobs.size(); }
  /// Jobs whose callers wait for their end.
  std::size_t openRequests() const;

private:
  using Backend = detail::BackendState;
  using Job = detail::JobState;
  using Run = detail::RunState;

  /// Priority, then jobs that have started, then the order of arrival.
  struct QueueKey {
    int32_t Priority = 0;
    bool NotStarted = true;
    uint64_t Arrival = 0;
    std::string Job;

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
    std::string Backend;
    Instant Ordered;
  };

  // Jobs.
  static QueueKey keyOf(const Job &Of);
  bool possible(const JobSubmission &Request) const;
  /// The same for the backend servers of this dispatcher.
  bool possibleHere(const JobSubmission &Request) const;
  void checkPlaceable();
  bool anyWaiting(const Job &Of) const;
  void learnUsual(const JobSubmission &Request);
  bool answerKnown(const std::string &Job, const JobSource &From);
  void answer(const JobSource &To, const std::string &Name, JobResult Result,
              JobReason Reason, int64_t RetryAfterMs = 0,
              const std::string &Target = {});
  void endJob(const std::string &Name, JobResult Result, JobReason Reason,
              Instant Now, int64_t RetryAfterMs = 0);
  /// Forgets a job and stops its runs.
  void removeJob(const std::string &Name, Instant Now);
  /// Refuses a job that would have to wait for too long.
  void refuse(const Job &Of, const JobSource &From, Duration Wait, Instant Now);
  void submitStored(const JobSubmission &Request, const JobSource &From,
                    uint8_t Redirects, Instant Now);
  /// Sends a job that would have to wait to a dispatcher that can start it.
  bool redirect(const JobSubmission &Request, const JobSource &From,
                uint8_t Redirects, Duration Wait);
  void progressed(const Job &Of);
  bool stored(const std::string &Job) const;
  /// Stops the runs of stored jobs when the right to them has ended.
  void revokeStored(Instant Now);
  bool holdsRevoked(const Backend &On, Instant Now) const;
  void taskDone(const TaskId &Task, uint64_t Run, Instant Now);
  void taskFailed(const TaskId &Task, const std::string &Where, Instant Now);
  void requeue(const TaskId &Task, const std::string &Avoid);
  void expireJobs(Instant Now);
  /// Ends waiting jobs that cannot start in time any more.
  void refuseLate(Instant Now);
  void logAdmission(const Job &Of, JobReason Reason, Duration Wait,
                    Instant Now);
  /// Returns true if a job that starts after \p Wait would not be in time.
  bool tooLate(const Job &Of, Duration Wait, Instant Now) const;

  // Admission.
  PlaceForecast places(const std::string &Service, const Resources &Need,
                       Instant Now) const;
  Duration expectedWait(const Job &Of, Instant Now) const;
  /// Lets the waiting tasks of a job take places; returns when the last starts.
  static Duration takePlaces(PlaceForecast &Places, const Job &Of);
  /// Returns a peer that can start \p Tasks sooner, and counts them there.
  std::optional<std::string> betterPeer(std::size_t Tasks, Duration Wait);

  // Placement.
  void schedule(Instant Now);
  bool placeTasks(Job &Of, std::vector<Resources> &TooLarge, Instant Now);
  Backend *choose(const Job &Of, std::size_t Step,
                  const detail::TaskState &Task, Instant Now);
  /// Owned, reachable, not leaving and not ejected.
  static bool usable(const Backend &Of, Instant Now);
  bool eligible(const Backend &Of, const Job &For, std::size_t Step,
                Instant Now) const;
  void start(Backend &On, Job &Of, std::size_t Step, std::size_t Index,
             Instant Now);

  // Runs and backend servers.
  Backend *find(const ControlTarget &Target);
  ControlTarget target(const Backend &Of) const;
  void sendStart(Backend &On, const TaskId &Task, Run &Of, Instant Now);
  void sendStop(Backend &On, const TaskId &Task, Run &Of, Instant Now);
  void sendHold(Backend &On, Instant Now);
  void unresolvedStart(Backend &On, const TaskId &Task, Run &Of, Instant Now);
  void rejectedStart(Backend &On, const TaskId &Task, const Run &Of,
                     StartAnswerKind Kind, Instant Now);
  /// Frees the room of a run and returns it.
  Run takeRun(Backend &On, const TaskId &Task);
  void runEnded(Backend &On, const EndedRun &Ended, Instant Now);
  /// Holds the confirmation of an end back until it is stored.
  void reportEnd(Backend &On, const EndedRun &Ended, bool Taken);
  /// Whether orders that have no answer yet can still take effect.
  enum class LateOrders { Possible, Excluded };
  void runGone(Backend &On, const TaskId &Task, LateOrders Late);
  void allRunsGone(Backend &On, LateOrders Late);
  /// Returns true if another run of the task could overlap with one that a late
  /// order brings to life.
  bool mayStartLate(const TaskId &Task, Instant Deadline, Instant Now) const;
  /// Returns true if a job of this name may still have a run of before.
  bool mayStartLate(const std::string &Job, Instant Now) const;
  void checkListed(Backend &On, const RunList &List, Instant Sent, Instant Now);
  void checkProgress(Backend &On, const ActiveRun &Seen, Instant Now);
  /// Returns true if a run of this age and progress will miss the deadline.
  bool hopeless(const Job &Of, Duration Age, int64_t Percent,
                Instant Now) const;
  void stopStrangers(Backend &On, const RunList &List, Instant Now);
  /// Confirms superseded ends once the lease has expired.
  void confirmSuperseded(Backend &On, Instant Now);
  void probeAnswered(Backend &Of, Instant Now);
  void becomeOwned(Backend &Of);
  void fenced(Backend &Of, Instant Now);
  void newLife(Backend &Of, Instant Now);
  void takeAgain(Backend &Of, Instant Now);
  void giveUpBackend(Backend &Of, const std::string &Why);
  void tickBackend(Backend &Of, Instant Now);
  void repeatStops(Backend &Of, Instant Now);
  void learnPace(Backend &Of, const Run &Ended, Instant Now);
  /// Smoothed ratio of run times to estimates on machines of this kind.
  double paceOf(const Backend &Of) const;
  /// Returns true if runs there take much longer than on others of its kind.
  bool slow(const Backend &Of) const;
  void log(const Backend &On, const TaskId &Task, uint64_t Number,
           const std::string &What);
  uint64_t tokenOf(uint64_t Term) const;

  DispatchLimits Limits;
  uint16_t OwnerTag;
  uint64_t NextLife = 1;
  uint64_t NextArrival = 1;
  std::map<std::string, Backend> Backends;
  std::map<std::string, Job> Jobs;
  std::set<QueueKey> Queue;
  std::map<std::string, Outcome> Outcomes;
  /// Where each run is that may be active.
  std::map<TaskId, std::string> LiveRuns;
  Instant StoredLease;
  std::map<TaskId, UnresolvedStart> UnresolvedStarts;
  std::map<std::string, DispatchLoad> Peers;
  /// By the first label of backend servers, which names the kind of machine.
  std::map<std::string, double> KindPaces;
  /// Smoothed size and length of the tasks that came in.
  Resources UsualNeed;
  Duration UsualLength{0};
  std::string UsualService;
  std::vector<DispatchEffect> Effects;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_DISPATCH_DISPATCHER_H
