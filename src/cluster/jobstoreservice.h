#ifndef SAPPHIREMOOR_CLUSTER_JOBSTORESERVICE_H
#define SAPPHIREMOOR_CLUSTER_JOBSTORESERVICE_H

#include "cluster/clusterbus.h"
#include "cluster/dispatchservice.h"
#include "cluster/registerservice.h"
#include "framework/storage/storagetask.h"
#include "jobstore/jobcopy.h"
#include "jobstore/jobwriter.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sapphiremoor {

/// The stored jobs of a control VM: its copy on disk, and the jobs that it runs
/// by its dispatcher.
class JobStoreService {
public:
  JobStoreService(EventLoop &Loop, const ClusterSettings &Settings,
                  ClusterBus &Bus, RegisterService &Configuration,
                  DispatchService &Dispatch);

  /// Opens the folder of the copy.
  Result<Done> start();

  void handleMessage(const VmId &Sender, const JobStoreMessage &Message);
  /// Answers a request for a job that was stored before; false if it was not.
  bool answerKnownJob(const JobSubmission &Job, const JobSource &Source);
  void storeJob(const StoreJob &Effect);
  void storeProgress(const JobProgressed &Effect);
  void handleLocalRunEnd(const RunEnded &Effect);
  void query(const VmId &Sender, const JobQuery &Message);
  /// This VM stood still and may have lost its rights.
  void handleStall();

private:
  struct DurabilityWaiter {
    uint64_t Version = 0;
    std::function<void()> OnDurable;
    /// The end that waits, if it is one.
    std::optional<RunEnded> End;
  };
  /// An end that the VM which runs the job has to store.
  struct PendingEnd {
    RunEnded Report;
    Instant NextAttempt;
    /// Voters whose copies lack the job. A stored job is on a majority, so
    /// that a majority without it proves that there is none.
    std::set<std::string> VotersWithoutJob;
    /// Writer of the job as another copy told, if the own one lacks it.
    std::string WriterName;
  };

  void run();
  void perform(const SendToCopy &Effect);
  void perform(const AppendEntry &Effect);
  void perform(const JobStored &Effect);
  void perform(const JobHeldElsewhere &Effect);
  void perform(const ProgressStored &Effect);
  void perform(const JobsLost &Effect);
  void deliverToSelf(const JobStoreMessage &Message);
  void handleStorageReplies(const std::vector<StorageReply> &Replies);
  void takeSnapshot();
  /// Calls \p OnStored once all that was written of the job is durable.
  void whenDurable(const std::string &Job, std::function<void()> Handler,
                   std::optional<RunEnded> End = {});
  void answerSources(const std::string &Job, JobResult Result, JobReason Reason,
                     const std::string &Target = {});
  /// Called with true if the end is superseded.
  using EndHandler = std::function<void(bool)>;
  void confirmEnd(const EndedRunId &End, bool Superseded);
  /// Takes the end of a run of an own job and calls \p OnStored once it is
  /// durable. Returns false if the job is not run here, or not yet.
  bool applyEnd(const RunEndNotice &End, EndHandler Handler);
  /// Takes the ends of a job that were told before its takeover was complete.
  void applyEarlyEnds(const std::string &Job, JobProgress &Progress);
  /// Returns true if the end needs no further try.
  bool resolvePendingEnd(PendingEnd &Pending);
  void handlePeerRunEnd(const VmId &Sender, const RunEndNotice &End);
  void handleRunEndStored(const RunEndStored &Message);
  /// Asks the other voters for a job that the own copy lacks.
  void askVotersForJob(PendingEnd &Pending);
  void handleJobLocation(const std::string &Address,
                         const JobLocation &Location);
  JobLocation locateJob(const std::string &Job) const;
  /// Returns true if a majority of the voters can be asked.
  bool majorityReachable() const;
  JobStatus jobStatus(const std::string &Job) const;
  /// Returns the writer of a partition as far as this copy knows.
  std::string partitionWriter(const std::string &Partition) const;
  /// Returns the VM of a writer, if that process is live.
  std::optional<std::string> findLiveVm(const std::string &WriterName) const;
  void checkTakeovers();
  void tick();

  EventLoop &Loop;
  const ClusterSettings &Settings;
  ClusterBus &Bus;
  RegisterService &Configuration;
  DispatchService &Dispatch;
  std::unique_ptr<JobCopy> LocalCopy;
  JobWriter Writer;
  std::unique_ptr<StorageTask> Storage;
  bool StorageLost = false;
  bool Running = false;
  uint64_t NextRecord = 1;
  std::size_t LogBytes = 0;
  /// Requests that wait until their job is stored.
  std::multimap<std::string, JobSource> WaitingRequests;
  std::multimap<std::string, DurabilityWaiter> DurabilityWaiters;
  std::vector<PendingEnd> PendingEnds;
  /// Ends that other VMs told of jobs whose takeover goes on, by job.
  std::multimap<std::string, std::pair<RunEndNotice, EndHandler>> EarlyEnds;
  /// Since when the writer of a partition is gone.
  std::map<std::string, Instant> WriterGoneSince;
  Instant NextTakeoverCheck;
  Timer TickTimer;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CLUSTER_JOBSTORESERVICE_H
