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

/// The right to write a partition.
struct PartitionOwnership {
  std::string Partition;
  Ballot WriterBallot;

  auto operator<=>(const PartitionOwnership &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Partition, WriterBallot);
  }
};

/// One state of a job on its way to the copies.
struct JobWrite {
  std::string Id;
  uint64_t Version = 0;
  bool Committed = false;
  /// Left out if the receiver is known to have it.
  std::optional<JobSubmission> Submission;
  JobProgress Progress;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Id, Version, Committed, Submission, Progress);
  }
};

/// Stores states of jobs of one partition.
struct WriteJobs {
  PartitionOwnership Ownership;
  /// Epoch of the voters that the writer counts.
  uint64_t Epoch = 0;
  std::vector<JobWrite> Jobs;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Ownership, Epoch, Jobs);
  }
};

/// A job and the version of it that is durable.
struct StoredVersion {
  std::string Id;
  uint64_t Version = 0;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Id, Version); }
};

/// A job that belongs to another partition.
struct JobConflict {
  std::string Id;
  std::string Partition;
  bool Committed = false;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Id, Partition, Committed);
  }
};

/// The copy that a VM holds. Its name differs after the copy was built anew.
struct CopyIdentity {
  std::string Vm;
  uint64_t CopyId = 0;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Vm, CopyId); }
};

/// Reply to WriteJobs, sent once the states are durable.
struct JobsWritten {
  PartitionOwnership Ownership;
  /// Above Under.Of if another VM has the right to the partition.
  Ballot Promised;
  /// The sender's copy, and those that it helped to build anew. What the former
  /// copies of these VMs had stored does not count any more.
  std::vector<CopyIdentity> Copies;
  std::vector<StoredVersion> Stored;
  /// Jobs whose submission is missing here.
  std::vector<std::string> MissingSubmissions;
  std::vector<JobConflict> Conflicts;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Ownership, Promised, Copies, Stored, MissingSubmissions, Conflicts);
  }
};

/// Asks whether the rights of a writer still hold.
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
  /// Partitions to which another VM has the right.
  std::vector<std::string> Fenced;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Number, Fenced);
  }
};

/// Takes the right to a partition whose writer is gone.
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
  /// Above Right.Of if the claim was refused.
  Ballot Promised;
  /// As in JobsWritten.
  std::vector<CopyIdentity> Copies;
  /// All jobs of the partition. Submissions of ended ones are left out.
  std::vector<JobRecord> Jobs;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Ownership, Promised, Copies, Jobs);
  }
};

/// Asks for a page of another VM's copy, for building a lost one anew.
struct FetchCopy {
  /// The page starts behind this job.
  std::string AfterId;
  uint64_t Epoch = 0;
  /// Name of the copy that is built.
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

/// A run of a stored job has ended on a backend server that its dispatcher does
/// not own any more.
struct RunEndNotice {
  TaskId Task;
  uint64_t Run = 0;
  RunOutcome End = RunOutcome::Other;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Task, Run, End);
  }
};

/// The end of the run is stored and may be confirmed.
struct RunEndStored {
  TaskId Task;
  uint64_t Run = 0;
  /// Another run had been started before; see Dispatcher::endStored().
  bool Superseded = false;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Task, Run, Superseded);
  }
};

/// Asks whether the receiver's copy has a job.
struct LocateJob {
  std::string Job;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Job); }
};

/// Reply to LocateJob by a whole copy.
struct JobLocation {
  std::string Job;
  bool Known = false;
  /// Writer of its partition, as far as the copy knows.
  std::string Writer;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Job, Known, Writer);
  }
};

using JobStoreMessage =
    std::variant<WriteJobs, JobsWritten, RenewWriterLease, WriterLeaseRenewed,
                 ClaimPartition, PartitionClaimed, FetchCopy, CopyPage,
                 RunEndNotice, RunEndStored, LocateJob, JobLocation>;

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_JOBSTORE_TYPES_JOBSTOREMESSAGE_H
