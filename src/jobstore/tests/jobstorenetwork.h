#ifndef SAPPHIREMOOR_JOBSTORE_TESTS_JOBSTORENETWORK_H
#define SAPPHIREMOOR_JOBSTORE_TESTS_JOBSTORENETWORK_H

#include "framework/core/random.h"
#include "jobstore/jobcopy.h"
#include "jobstore/jobwriter.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sapphiremoor {

/// Simulates VMs that store jobs, on one simulated clock. Messages may be lost
/// or reordered, and a crash loses what was not synced. Records each violation:
/// durable progress that is lost, a job that two VMs may run at the same time,
/// and a job that runs again after a VM has shown its end.
class JobStoreNetwork {
public:
  JobStoreNetwork(std::size_t Count, uint64_t Seed,
                  const JobWriterLimits &Limits = {});

  void run(Duration Time);
  void submit(const std::string &Name, const std::string &Id);
  /// Ends one more task of a job that runs on the VM.
  void finishTask(const std::string &Name);
  /// Ends a job that runs on the VM as done.
  void endJob(const std::string &Name, const std::string &Id);
  /// Ends some job that runs on the VM, if there is one.
  void endAnyJob(const std::string &Name);
  void crash(const std::string &Name, bool Wipe);
  void restart(const std::string &Name);
  void setIsolated(const std::string &Name, bool Isolated) {
    Vms.at(Name).Isolated = Isolated;
  }

  bool isDown(const std::string &Name) const {
    return Vms.at(Name).Copy == nullptr;
  }
  bool isComplete(const std::string &Name) const {
    return !isDown(Name) && !Vms.at(Name).Copy->rebuilding();
  }
  /// Returns true if the VM would tell a caller that the job has ended.
  bool showsEnd(const std::string &Name, const std::string &Id) const;
  /// Returns true if the VM's copy has the end of the job.
  bool hasEnd(const std::string &Name, const std::string &Id) const;
  /// Number of jobs that the writer of the VM keeps.
  std::size_t keptJobs(const std::string &Name) const {
    return Vms.at(Name).Writer->jobCount();
  }
  /// Returns true if the writer of the VM takes no further job.
  bool isFull(const std::string &Name) const {
    return Vms.at(Name).Writer->isFull();
  }
  /// Jobs that the VM may run now.
  std::vector<std::string> running(const std::string &Name) const;
  /// Progress of a job that the VM runs.
  const JobProgress &progress(const std::string &Name,
                              const std::string &Id) const {
    return Vms.at(Name).Running.at(Id);
  }
  /// Number of tasks of a job that were reported as durably done.
  std::size_t durableTasks(const std::string &Id) const;
  std::size_t storedJobs() const { return DurableTasks.size(); }
  /// Number of stored jobs that have not ended and that no VM runs.
  std::size_t idleJobs() const;

  const std::vector<std::string> &names() const { return Names; }

  /// No write becomes durable while this is set.
  bool DisksStalled = false;
  /// Fraction of messages that are lost.
  double LossRate = 0;
  std::vector<std::string> Violations;
  Instant Now = instantAt(std::chrono::seconds(100));

private:
  struct Vm {
    std::unique_ptr<JobCopy> Copy;
    std::unique_ptr<JobWriter> Writer;
    CopyState Disk;
    std::vector<AppendEntry> Unsynced;
    std::map<std::string, JobProgress> Running;
    std::map<std::string, Instant> UnreachableSince;
    bool Isolated = false;
    Instant DownSince;
  };
  struct InFlight {
    PeerProcess Sender;
    std::string Receiver;
    /// The process that gets a reply; absent for a request.
    std::optional<uint64_t> ReceiverIncarnation;
    JobStoreMessage Message;
  };

  void start(const std::string &Name, bool FirstStart);
  void step();
  void recordShownEnds(const std::string &Name);
  void collectEffects(const std::string &Name);
  void apply(const std::string &Name, const JobStored &Effect);
  void apply(const std::string &Name, const ProgressStored &Effect);
  void considerClaims(const std::string &Name);
  void deliver(const InFlight &Delivery);
  void sync(const std::string &Name);
  bool reachable(const std::string &Sender, const std::string &Receiver) const;

  Random Rng;
  JobWriterLimits Limits;
  std::vector<std::string> Names;
  std::map<std::string, Vm> Vms;
  std::map<std::string, uint64_t> Incarnations;
  std::multimap<Instant, InFlight> Messages;
  VoterSet Voters;
  /// Number of tasks done in the newest state of each job that was reported as
  /// durable.
  std::map<std::string, std::size_t> DurableTasks;
  /// Jobs that some VM has shown as ended.
  std::set<std::string> ShownEnds;
  /// Number of tasks done, by VM, job and version.
  std::map<std::pair<std::string, uint64_t>, std::size_t> DoneTasksByVersion;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_JOBSTORE_TESTS_JOBSTORENETWORK_H
