#ifndef SAPPHIREMOOR_JOBSTORE_JOBWRITER_H
#define SAPPHIREMOOR_JOBSTORE_JOBWRITER_H

#include "framework/core/time.h"
#include "jobstore/types/jobstoreeffect.h"
#include "versionregister/types/registervalue.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace sapphiremoor {

/// Timeouts and periods of a JobWriter.
struct JobWriterLimits {
  /// A writer may run its jobs for this time after it sent a renewal that a
  /// majority confirms.
  Duration WriterLeaseDuration = std::chrono::milliseconds(1000);
  Duration RenewPeriod = std::chrono::milliseconds(200);
  /// Delay between a won claim and the takeover of the partition's jobs. The
  /// former writer stops when its writer lease ends, and its backend servers
  /// when their leases end (600 ms); the rest is a margin for clock drift and
  /// slow stops.
  Duration TakeoverDelay = std::chrono::milliseconds(2000);
  /// Delay before an unacknowledged write is sent again. Covers several synced
  /// writes of a slow disk.
  Duration WriteRetryDelay = std::chrono::milliseconds(400);
  /// A claim without a majority is abandoned after this time.
  Duration ClaimTimeout = std::chrono::milliseconds(1000);
  /// Maximum number of durable ends that are kept for voters that do not
  /// acknowledge them. Bounds the memory while a voter is gone for long.
  std::size_t MaxUnsettledEnds = 10000;
  /// Maximum number of open jobs, stored ones and those that wait for a
  /// majority. Bounds the memory while no majority can be reached.
  std::size_t MaxOpenJobs = 20000;
};

/// Stores the jobs that one VM runs. Jobs are grouped in partitions. A VM opens
/// a partition for the jobs that it accepts, and takes over partitions of VMs
/// that are gone. The only writer of a partition is the VM with the highest
/// ballot that a majority of the copies promised (Paxos, with a partition as
/// the unit of leadership). The class does no I/O: callers pass messages and
/// times in and execute the effects that it returns.
class JobWriter {
public:
  /// \p Self is the address of the VM; \p Incarnation identifies the process.
  JobWriter(const JobWriterLimits &Limits, const std::string &Self,
            uint64_t Incarnation);

  void setVoters(const VoterSet &NewVoters) { Voters = NewVoters; }
  /// Sets the VMs that receive all writes, whether they are voters or not.
  void setCopies(std::set<std::string> Addresses) {
    Copies = std::move(Addresses);
  }

  /// Returns true if no further job can be stored, because too many are open.
  bool isFull() const {
    return Jobs.size() - UnsettledEnds.size() >= Limits.MaxOpenJobs;
  }
  /// Stores a new job, whether the writer is full or not. JobStored or
  /// JobHeldElsewhere follows.
  void create(const JobSubmission &Job, Instant Now);
  /// Stores the progress of an owned job and returns the new version, or 0 if
  /// this writer does not own the job.
  uint64_t updateProgress(const std::string &Id, const JobProgress &Progress,
                          Instant Now);
  /// Claims a partition in order to take it over. \p KnownBallot is the highest
  /// ballot of the partition that this VM knows.
  void claim(const std::string &Partition, const Ballot &KnownBallot,
             Instant Now);

  void receive(const std::string &Sender, const JobStoreMessage &Message,
               Instant Now);
  void tick(Instant Now);

  /// Ends the writer lease after a pause of this process: the lease may have
  /// expired although the clock of this VM does not show it.
  void handleStall();

  /// Returns the time until which jobs of this writer may run.
  Instant writerLeaseEnd() const { return WriterLeaseEnd; }
  /// Name of this writer in ballots and partition names.
  const std::string &name() const { return Name; }
  /// Returns true if this VM writes the partition or has claimed it.
  bool ownsOrClaims(const std::string &Partition) const;
  bool ownsJob(const std::string &Id) const { return Jobs.contains(Id); }
  /// Returns true if this VM is the writer of the partition.
  bool ownsPartition(const std::string &Partition) const {
    return OwnedPartitions.contains(Partition);
  }
  /// Returns the newest progress of an owned job, or null if this writer does
  /// not own it.
  const JobProgress *find(const std::string &Id) const;
  /// Returns true if this writer owns the job and its end is durable.
  bool endDurable(const std::string &Id) const;
  /// Returns true if the end of the job in \p Record is known to be durable.
  /// Only the writer of its partition knows.
  bool confirmsEnd(const JobRecord &Record) const;
  /// Number of jobs that this writer keeps, running and ended ones.
  std::size_t jobCount() const { return Jobs.size(); }
  /// Returns the newest version of an owned job, or 0 if this writer does not
  /// own it.
  uint64_t version(const std::string &Id) const;

  std::vector<WriterEffect> takeEffects();

private:
  struct OwnedJob {
    JobSubmission Submission;
    JobProgress Progress;
    std::string Partition;
    uint64_t Version = 0;
    uint64_t DurableVersion = 0;
    bool TakenOver = false;
    /// A majority stored the job at some time.
    bool Committed = false;
    /// First version that tells the copies that the job is committed.
    uint64_t CommitVersion = 0;
    /// The effect JobStored was emitted, or is not needed because the job had
    /// already ended at the takeover.
    bool StoredReported = false;
    /// Copies that store the job in another partition.
    std::set<std::string> ConflictingCopies;
    /// Highest acknowledged version by copy.
    std::map<std::string, uint64_t> AckedVersions;
    Instant LastSent;
    /// Position in UnsettledEnds; 0 until the end of the job is durable.
    uint64_t EndNumber = 0;
  };
  using JobMap = std::map<std::string, OwnedJob>;
  struct Claim {
    Ballot ClaimBallot;
    Instant Started;
    /// Set when a majority has promised.
    std::optional<Instant> Won;
    std::map<std::string, PartitionClaimed> Replies;
  };

  void handle(const std::string &Sender, const JobsWritten &Reply, Instant Now);
  void handle(const std::string &Sender, const WriterLeaseRenewed &Reply,
              Instant Now);
  void handle(const std::string &Sender, const PartitionClaimed &Reply,
              Instant Now);
  template <typename OtherMessage>
  void handle(const std::string &, const OtherMessage &, Instant) {}

  void send(const std::string &Address, JobStoreMessage Message);
  void writeToCopies(const std::string &Id, OwnedJob &Job, Instant Now);
  void writeToCopy(const std::string &Address, const std::string &Id,
                   const OwnedJob &Job);
  static JobWrite makeWrite(const std::string &Address, const std::string &Id,
                            const OwnedJob &Job);
  /// Sends durable ends, several in a message.
  void sendEnds(const std::string &Address, const std::string &Partition,
                const std::vector<JobWrite> &Writes);
  void handleAcknowledgement(const std::string &Sender,
                             const std::string &WrittenPartition,
                             const StoredVersion &Stored, Instant Now);
  void handleDurable(const std::string &Id, OwnedJob &Job, Instant Now);
  /// Keeps only what copies need to know of a job whose end is durable.
  void keepEnd(const std::string &Id, OwnedJob &Job);
  /// Returns true if the end of the job is durable and all voters have it, and
  /// all other copies that are linked.
  bool isSettled(const OwnedJob &Job) const;
  bool hasNewestVersion(const OwnedJob &Job, const std::string &Address) const;
  /// Forgets a job and returns the iterator to the next one.
  JobMap::iterator forget(JobMap::iterator It);
  void handleConflict(const std::string &Sender,
                      const std::string &WrittenPartition,
                      const JobConflict &Conflict);
  void updateCopyId(const CopyIdentity &Copy);
  void losePartition(const std::string &Partition);
  void recordRound(const std::string &Partition, const Ballot &SeenBallot);
  void openPartition();
  void takeOver(const std::string &Partition, const Claim &WonClaim,
                Instant Now);
  /// Keeps a job of a partition that was taken over whose end is durable, so
  /// that the voters that lack the end get it.
  void adoptDurableEnd(const JobRecord &Record,
                       const std::set<std::string> &CopiesWithEnd, Instant Now);
  void renewLease(Instant Now);
  void resend(Instant Now);
  void limitUnsettledEnds();
  uint64_t majorityVersion(const OwnedJob &Job) const;

  JobWriterLimits Limits;
  std::string Self;
  std::string Name;
  VoterSet Voters;
  std::set<std::string> Copies;
  /// Partitions that this VM writes, with the ballot of each.
  std::map<std::string, Ballot> OwnedPartitions;
  std::string OpenPartition;
  uint64_t NextPartition = 1;
  std::map<std::string, Claim> Claims;
  /// Highest ballot round seen, by partition.
  std::map<std::string, uint64_t> HighestRounds;
  JobMap Jobs;
  /// Jobs whose ends are durable but not settled, oldest end first.
  std::map<uint64_t, std::string> UnsettledEnds;
  uint64_t NextEndNumber = 1;
  bool ForgetsEnds = false;
  /// Id of the copy that each VM holds.
  std::map<std::string, uint64_t> CopyIds;
  uint64_t RenewNumber = 0;
  Instant RenewSent;
  Instant NextResend;
  std::set<std::string> RenewedBy;
  Instant WriterLeaseEnd;
  std::vector<WriterEffect> Effects;
};

/// Returns the name of the writer that opened \p Partition.
std::string partitionOpener(const std::string &Partition);

/// Extracts the address of the VM from the name of a writer.
std::string writerAddress(const std::string &Writer);

/// Returns the name of the writer in process \p Incarnation of the VM at \p
/// Address.
std::string writerName(const std::string &Address, uint64_t Incarnation);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_JOBSTORE_JOBWRITER_H
