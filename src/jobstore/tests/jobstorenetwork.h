#ifndef SAPPHIREMOOR_JOBSTORE_TESTS_JOBSTORENETWORK_H
#define SAPPHIREMOOR_JOBSTORE_TESTS_JOBSTORENETWORK_H

#include "framework/core/random.h"
#include "jobstore/jobcopy.h"
#include "jobstore/jobwriter.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace sapphiremoor {

/// VMs that store jobs, on one simulated clock, with messages that are lost or
/// overtake each other, and disks that lose what was not synced. It notes each
/// broken promise: a durable state that is forgotten, and a job that two VMs
/// may run at the same time.
class JobStoreNetwork {
public:
  JobStoreNetwork(std::size_t Count, uint64_t Seed);

  void run(Duration Time);
  void submit(const std::string &Name, const std::string &Id);
  /// Ends one more task of a job that runs there.
  void finishTask(const std::string &Name);
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
  /// Jobs that the VM may run now.
  std::vector<std::string> running(const std::string &Name) const;
  /// State of a job that the VM runs.
  const JobProgress &progress(const std::string &Name,
                              const std::string &Id) const {
    return Vms.at(Name).Running.at(Id);
  }
  /// Tasks of a job that were said to be durably done.
  std::size_t durableTasks(const std::string &Id) const;
  std::size_t storedJobs() const { return DurableTasks.size(); }
  /// Jobs that are stored and not run by anybody.
  std::size_t idleJobs() const;

  const std::vector<std::string> &names() const { return Names; }

  /// No write becomes durable.
  bool DisksStalled = false;
  /// Share of messages that are lost.
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
    std::string Sender;
    std::string Receiver;
    uint64_t Incarnation = 0;
    JobStoreMessage Message;
  };

  void start(const std::string &Name, bool FirstStart);
  void step();
  void collectEffects(const std::string &Name);
  void apply(const std::string &Name, const JobStored &Effect);
  void apply(const std::string &Name, const ProgressStored &Effect);
  void considerClaims(const std::string &Name);
  void deliver(const InFlight &Delivery);
  void sync(const std::string &Name);
  bool reachable(const std::string &Sender, const std::string &Receiver) const;

  Random Rng;
  std::vector<std::string> Names;
  std::map<std::string, Vm> Vms;
  std::map<std::string, uint64_t> Incarnations;
  std::multimap<Instant, InFlight> Messages;
  VoterSet Voters;
  /// The newest state of each job that was said to be durable, by tasks done.
  std::map<std::string, std::size_t> DurableTasks;
  /// Tasks done at each version that a writer gave out.
  std::map<std::pair<std::string, uint64_t>, std::size_t> DoneTasksByVersion;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_JOBSTORE_TESTS_JOBSTORENETWORK_H
