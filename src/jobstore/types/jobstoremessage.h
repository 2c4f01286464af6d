#ifndef SAPPHIREMOOR_JOBSTORE_TYPES_JOBSTOREMESSAGE_H
#define SAPPHIREMOOR_JOBSTORE_TYPES_JOBSTOREMESSAGE_H

#include "dispatch/types/control.h"
#include "jobstore/types/jobrecord.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sapphiremoor {

/// A partition and the ballot under which a VM writes it.
struct PartitionOwnership {
  std::string Partition;
  Ballot WriterBallot;

  auto operator<=>(const PartitionOwnership &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Partition, WriterBallot);
  }
};

/// One state of a job, sent to the copies.
struct JobWrite {
  std::string Id;
  uint64_t Version = 0;
  bool Committed = false;
  /// Absent if the receiver is known to have it.
  std::optional<JobSubmission> Submission;
  JobProgress Progress;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Id, Version, Committed, Submission, Progress);
  }
};

/// Asks a copy to store job states of one partition.
struct WriteJobs {
  PartitionOwnership Ownership;
  /// Epoch of the voters among which the writer counts a majority.
  uint64_t Epoch = 0;
  std::vector<JobWrite> Jobs;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Ownership, Epoch, Jobs);
  }
};

/// A job and its newest durable version.
struct StoredVersion {
  std::string Id;
  uint64_t Version = 0;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Id, Version); }
};

/// A job that the copy stores in another partition.
struct JobConflict {
  std::string Id;
  std::string Partition;
  bool Committed = false;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Id, Partition, Committed);
  }
};

/// The copy that a VM holds. A rebuilt copy gets a new id.
struct CopyIdentity {
  std::string Vm;
  uint64_t CopyId = 0;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Vm, CopyId); }
};

/// Reply to WriteJobs, sent once the states are durable.
struct JobsWritten {
  PartitionOwnership Ownership;
  /// Higher than Ownership.WriterBallot if another VM owns the partition.
  Ballot Promised;
  /// The sender's copy and the copies that were rebuilt from it. What the
  /// previous copies of these VMs acknowledged no longer counts.
  std::vector<CopyIdentity> Copies;
  std::vector<StoredVersion> Stored;
  /// Jobs whose submission the copy lacks.
  std::vector<std::string> MissingSubmissions;
  std::vector<JobConflict> Conflicts;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Ownership, Promised, Copies, Stored, MissingSubmissions, Conflicts);
  }
};

/// Asks whether the sender still owns its partitions, to renew its writer
/// lease.
struct RenewWriterLease {
  uint64_t Number = 0;
  uint64_t Epoch = 0;
  std::vector<PartitionOwnership> Partitions;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Number, Epoch, Partitions);
  }
};

struct WriterLeaseRenewed {
  uint64_t Number = 0;
  /// Partitions that another VM owns.
  std::vector<std::string> Fenced;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Number, Fenced);
  }
};

/// Asks for a promise in order to take over a partition whose writer is gone.
struct ClaimPartition {
  PartitionOwnership Ownership;
  uint64_t Epoch = 0;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Ownership, Epoch);
  }
};

/// Reply to ClaimPartition, sent once the promise is durable.
struct PartitionClaimed {
  PartitionOwnership Ownership;
  /// Higher than Ownership.WriterBallot if the claim is rejected.
  Ballot Promised;
  /// As in JobsWritten.
  std::vector<CopyIdentity> Copies;
  /// All jobs of the partition. Ended jobs have no submission details.
  std::vector<JobRecord> Jobs;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Ownership, Promised, Copies, Jobs);
  }
};

/// Asks for a page of another VM's copy in order to rebuild a lost one.
struct FetchCopy {
  /// The page starts after this job.
  std::string AfterId;
  uint64_t Epoch = 0;
  /// Id of the copy that is being rebuilt.
  uint64_t CopyId = 0;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(AfterId, Epoch, CopyId);
  }
};

struct CopyPage {
  std::string AfterId;
  std::vector<JobRecord> Jobs;
  std::vector<PartitionOwnership> Promises;
  bool Last = false;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(AfterId, Jobs, Promises, Last);
  }
};

/// Reports that a run of a stored job ended on a backend server that the job's
/// dispatcher no longer owns.
struct RunEndNotice {
  TaskId Task;
  uint64_t RunNumber = 0;
  RunOutcome Outcome = RunOutcome::Other;

  auto operator<=>(const RunEndNotice &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Task, RunNumber, Outcome);
  }
};

/// Reply to RunEndNotice: the end of the run is stored and may be confirmed.
struct RunEndStored {
  TaskId Task;
  uint64_t RunNumber = 0;
  /// Another run had already been started; see Dispatcher::handleEndStored().
  bool Superseded = false;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Task, RunNumber, Superseded);
  }
};

/// Asks whether the receiver's copy contains a job.
struct LocateJob {
  std::string Job;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Job); }
};

/// Reply to LocateJob from a complete copy.
struct JobLocation {
  std::string Job;
  bool HasJob = false;
  /// Writer of the job's partition, as far as the copy knows.
  std::string Writer;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Job, HasJob, Writer);
  }
};

using JobStoreMessage =
    std::variant<WriteJobs, JobsWritten, RenewWriterLease, WriterLeaseRenewed,
                 ClaimPartition, PartitionClaimed, FetchCopy, CopyPage,
                 RunEndNotice, RunEndStored, LocateJob, JobLocation>;

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_JOBSTORE_TYPES_JOBSTOREMESSAGE_H
