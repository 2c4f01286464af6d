#ifndef SAPPHIREMOOR_CLUSTER_JOBSTORESERVICE_H
#define SAPPHIREMOOR_CLUSTER_JOBSTORESERVICE_H

#include "cluster/clusterbus.h"
#include "cluster/dispatchservice.h"
#include "cluster/pendingconfirmations.h"
#include "cluster/recoveringstorage.h"
#include "cluster/registerservice.h"
#include "cluster/types/confirmation.h"
#include "jobstore/jobcopy.h"
#include "jobstore/jobwriter.h"
#include "jobstore/takeoverwatch.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sapphiremoor {

/// Keeps the stored jobs of a control VM: maintains its copy on disk, and has
/// its dispatcher run the jobs of the partitions that this VM writes.
class JobStoreService {
public:
  JobStoreService(EventLoop &Loop, const ClusterSettings &Settings,
                  ClusterBus &Bus, RegisterService &Configuration,
                  DispatchService &Dispatch);

  /// Opens the folder of the copy and restores the copy from it.
  Result<Done> start();

  void handleMessage(const VmId &Sender, const JobStoreMessage &Message);
  /// Answers a request for a job that is stored already. Returns false if the
  /// job is not stored.
  bool answerKnownJob(const JobSubmission &Job, const JobSource &Source);
  void storeJob(const StoreJob &Effect);
  void storeProgress(const JobProgressed &Effect);
  void handleLocalRunEnd(const RunEnded &Effect);
  void query(const VmId &Sender, const JobQuery &Message);
  /// Called after this process was paused, which may have outlasted the writer
  /// lease.
  void handleStall();
  /// Drops the requests of a process that has ended or become unreachable.
  void dropSource(const VmId &Process);

private:
  /// A request that is answered once its job is stored.
  struct WaitingRequest {
    JobSource Source;
    /// The entry VM has answered its caller by this time.
    Instant Deadline;
  };
  /// The end of a run that the VM which runs the job has to store. Only then
  /// may the backend server forget it.
  struct PendingEnd {
    RunEnded Report;
    Instant NextAttempt;
    /// Voters whose copies lack the job. A stored job is on a majority of the
    /// copies, so a majority without it proves that the job is not stored.
    std::set<std::string> VotersWithoutJob;
    /// Writer of the job as reported by another copy, if the local copy lacks
    /// the job.
    std::string WriterName;
  };

  void run();
  void perform(const SendToCopy &Effect);
  void perform(const CopyReply &Effect);
  void perform(const AppendEntry &Effect);
  void perform(const JobStored &Effect);
  void perform(const JobHeldElsewhere &Effect);
  void perform(const ProgressStored &Effect);
  void perform(const JobsLost &Effect);
  void perform(const EndsForgotten &Effect);
  /// Delivers a message of this VM to itself.
  void receiveFromSelf(const JobStoreMessage &Message);
  /// Passes a message to the copy and to the writer.
  void receive(const PeerProcess &Sender, const JobStoreMessage &Message);
  void confirmDurable(const std::vector<uint64_t> &Numbers);
  /// Replaces the log by a snapshot of the copy. The reply has the number
  /// \p ReplyNumber.
  void takeSnapshot(uint64_t ReplyNumber);
  /// Writes the whole copy to a folder that was opened again.
  void storeAgain(const RecoveredFolder &Folder);
  /// Sends a confirmation once all states of the job that were written so far
  /// are durable. Waits once only for a confirmation that is asked for
  /// repeatedly.
  void confirmWhenDurable(const std::string &Job, const Confirmation &Pending);
  void confirmNow(const Confirmation &Pending);
  void confirm(const LocalEnd &End);
  void confirm(const ReportedEnd &End);
  void confirm(const CancelRequest &Request);
  /// Drops what waits for a job that this VM does not write any more. The ends
  /// of runs have to be reported to the new writer.
  void dropWaiters(const std::string &Job);
  /// Drops what nobody waits for any more.
  void expireWaiters();
  /// Lets a request wait until its job is stored.
  void addWaitingRequest(const JobSubmission &Job, const JobSource &Source);
  void answerWaitingRequests(const std::string &Job, JobResult Result,
                             JobReason Reason, const std::string &Target = {});
  void acknowledgeEnd(const EndedRunId &End, bool Superseded);
  /// Applies the end of a run to a job that this VM writes, and confirms it as
  /// \p Pending, a LocalEnd or a ReportedEnd, once it is durable. Returns false
  /// if this VM does not run the job, or does not run it yet.
  template <typename EndConfirmation>
  bool applyEnd(const RunEndNotice &Notice, EndConfirmation Pending);
  /// Tries to get the end of a run on a backend server of this VM stored,
  /// however often it is reported.
  void addPendingEnd(const RunEnded &Report);
  /// Returns true if this VM is taking the job over.
  bool isTakeoverPending(const std::string &Job) const;
  /// Applies the ends that were reported before the takeover of the job was
  /// complete.
  void applyEarlyEnds(const std::string &Job, JobProgress &Progress);
  /// Tries to get the end stored. Returns true if no further attempt is needed.
  bool resolvePendingEnd(PendingEnd &Pending);
  void resolvePendingEnds();
  void handlePeerRunEnd(const VmId &Sender, const RunEndNotice &Notice);
  void handleRunEndStored(const RunEndStored &Message);
  /// Asks the other voters for a job that the local copy lacks.
  void askVotersForJob(PendingEnd &Pending);
  void handleJobLocation(const std::string &Address,
                         const JobLocation &Location);
  /// Returns true if a majority of the voters is reachable.
  bool majorityReachable() const;
  JobStatus jobStatus(const std::string &Job) const;
  /// Returns the process with this name of a writer if it is live.
  std::optional<VmId> findLiveWriter(const std::string &WriterName) const;
  /// Claims the partitions whose writer is gone, unless a preferred VM is
  /// expected to do so.
  void checkTakeovers();
  void tick();

  EventLoop &Loop;
  const ClusterSettings &Settings;
  ClusterBus &Bus;
  RegisterService &Configuration;
  DispatchService &Dispatch;
  std::unique_ptr<JobCopy> LocalCopy;
  JobWriter Writer;
  RecoveringStorage Storage;
  /// Number of the last entry of the copy that was submitted.
  uint64_t LastEntry = 0;
  bool Running = false;
  uint64_t NextRecord = 1;
  std::size_t LogBytes = 0;
  /// Requests that wait until their job is stored, by job.
  std::multimap<std::string, WaitingRequest> WaitingRequests;
  PendingConfirmations Confirmations;
  std::map<EndedRunId, PendingEnd> PendingEnds;
  /// Ends that were reported while the takeover of their job is in progress, by
  /// job.
  std::map<std::string, std::set<ReportedEnd>> EarlyEnds;
  TakeoverWatch Takeovers;
  Instant NextTakeoverCheck;
  Timer TickTimer;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CLUSTER_JOBSTORESERVICE_H
