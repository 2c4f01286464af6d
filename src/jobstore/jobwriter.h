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

/// Timing of a writer of stored jobs.
struct JobWriterLimits {
  /// The right to run jobs lasts for this time after a majority confirmed it.
  Duration WriterLeaseDuration = std::chrono::milliseconds(1000);
  Duration RenewPeriod = std::chrono::milliseconds(200);
  /// Pause between a claim and the first start of a job that was taken over.
  /// The former writer stops when its right ends, and its backend servers when
  /// their leases end (600 ms), with a margin for clocks and stops.
  Duration TakeoverDelay = std::chrono::milliseconds(2000);
  /// Pause before a write without a reply is sent again; several synced writes
  /// of a slow disk.
  Duration WriteRetryDelay = std::chrono::milliseconds(400);
  /// Time after which a claim without a majority is given up.
  Duration ClaimTimeout = std::chrono::milliseconds(1000);
};

/// Stores the jobs that one VM runs. Jobs are kept in partitions; a VM opens
/// one for the jobs that it accepts, and takes over those of VMs that are gone.
/// The VM with the highest ballot that a majority of the copies promised is the
/// only writer of a partition (Paxos, with a partition as the unit of
/// leadership). Pure decisions.
class JobWriter {
public:
  /// \p Self is the address of the VM; \p Incarnation names the process.
  JobWriter(const JobWriterLimits &Limits, const std::string &Self,
            uint64_t Incarnation);

  void setVoters(const VoterSet &NewVoters) { Voters = NewVoters; }
  /// VMs that get all writes, voters or not.
  void setCopies(std::set<std::string> Addresses) {
    Copies = std::move(Addresses);
  }

  /// Stores a new job; JobStored or JobHeldElsewhere follows.
  void create(const JobSubmission &Job, Instant Now);
  /// Stores how far an own job has come and returns the version.
  uint64_t updateProgress(const std::string &Id, const JobProgress &Progress,
                          Instant Now);
  /// Takes over a partition. \p KnownBallot is its highest ballot known here.
  void claim(const std::string &Partition, const Ballot &KnownBallot,
             Instant Now);

  void receive(const std::string &Sender, const JobStoreMessage &Message,
               Instant Now);
  void tick(Instant Now);

  /// This VM stood still: its right may be over although its clock says not.
  void handleStall();

  /// Jobs of this writer may be run until then.
  Instant writerLeaseEnd() const { return WriterLeaseEnd; }
  /// Name of this writer in ballots and partitions.
  const std::string &name() const { return Name; }
  /// Returns true if this VM writes the partition or tries to.
  bool ownsOrClaims(const std::string &Partition) const;
  bool ownsJob(const std::string &Id) const { return Jobs.contains(Id); }
  /// Returns true if this VM has the right to the partition.
  bool ownsPartition(const std::string &Partition) const {
    return OwnedPartitions.contains(Partition);
  }
  /// Returns the newest state of an own job, if it is known.
  const JobProgress *find(const std::string &Id) const;
  /// Returns true if the job is an own one and its end is durable.
  bool endDurable(const std::string &Id) const;
  /// Returns the newest version of an own job, 0 if it is not known.
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
    /// A majority had the job at some time.
    bool Committed = false;
    /// First version that told the copies so.
    uint64_t CommitVersion = 0;
    /// JobStored was told.
    bool StoredReported = false;
    /// Copies that hold the job in another partition.
    std::set<std::string> ConflictingCopies;
    /// Durable version by copy.
    std::map<std::string, uint64_t> AckedVersions;
    Instant LastSent;
  };
  struct Claim {
    Ballot ClaimBallot;
    Instant Started;
    /// Set once a majority has promised.
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
  void handleAcknowledgement(const std::string &Sender,
                             const StoredVersion &Stored, Instant Now);
  void handleDurable(const std::string &Id, OwnedJob &Job, Instant Now);
  void handleConflict(const std::string &Sender,
                      const std::string &WrittenPartition,
                      const JobConflict &Conflict);
  void updateCopyId(const CopyIdentity &Copy);
  void losePartition(const std::string &Partition);
  void recordRound(const std::string &Partition, const Ballot &SeenBallot);
  void openPartition();
  void takeOver(const std::string &Partition, const Claim &WonClaim,
                Instant Now);
  void renewLease(Instant Now);
  void resend(Instant Now);
  uint64_t majorityVersion(const OwnedJob &Job) const;

  JobWriterLimits Limits;
  std::string Self;
  std::string Name;
  VoterSet Voters;
  std::set<std::string> Copies;
  /// Partitions that this VM writes, by name, with its ballot.
  std::map<std::string, Ballot> OwnedPartitions;
  std::string OpenPartition;
  uint64_t NextPartition = 1;
  std::map<std::string, Claim> Claims;
  /// Highest round that was met, by partition.
  std::map<std::string, uint64_t> HighestRounds;
  std::map<std::string, OwnedJob> Jobs;
  /// Name of the copy that each VM holds.
  std::map<std::string, uint64_t> CopyIds;
  uint64_t RenewNumber = 0;
  Instant RenewSent;
  std::set<std::string> RenewedBy;
  Instant WriterLeaseEnd;
  std::vector<WriterEffect> Effects;
};

/// Returns the name of the writer that opened \p Partition.
std::string partitionOpener(const std::string &Partition);

/// Returns the address of the VM in the name of a writer.
std::string writerAddress(const std::string &Writer);

/// Returns the name of the writer that process \p Incarnation of the VM at \p
/// Address has.
std::string writerName(const std::string &Address, uint64_t Incarnation);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_JOBSTORE_JOBWRITER_H
