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
struct PartitionRight {
  std::string Partition;
  Ballot Of;

  auto operator<=>(const PartitionRight &) const = default;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Partition, Of); }
};

/// One state of a job on its way to the copies.
struct JobWrite {
  std::string Id;
  uint64_t Version = 0;
  bool Established = false;
  /// Left out if the receiver is known to have it.
  std::optional<JobSubmission> Submission;
  JobProgress Progress;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Id, Version, Established, Submission, Progress);
  }
};

/// Stores states of jobs of one partition.
struct WriteJobs {
  PartitionRight Under;
  /// Epoch of the voters that the writer counts.
  uint64_t Epoch = 0;
  std::vector<JobWrite> Jobs;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Under, Epoch, Jobs);
  }
};

/// A job and the version of it that is durable.
struct StoredVersion {
  std::string Id;
  uint64_t Version = 0;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Id, Version); }
};

/// A job that belongs to another partition.
struct HeldJob {
  std::string Id;
  std::string Partition;
  bool Established = false;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Id, Partition, Established);
  }
};

/// The copy that a VM holds. Its name differs after the copy was built anew.
struct CopyName {
  std::string Vm;
  uint64_t Copy = 0;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Vm, Copy); }
};

/// Reply to WriteJobs, sent once the states are durable.
struct JobsWritten {
  PartitionRight Under;
  /// Above Under.Of if another VM has the right to the partition.
  Ballot Promised;
  /// The sender's copy, and those that it helped to build anew. What the former
  /// copies of these VMs had stored does not count any more.
  std::vector<CopyName> Copies;
  std::vector<StoredVersion> Stored;
  /// Jobs whose submission is missing here.
  std::vector<std::string> Incomplete;
  std::vector<HeldJob> Held;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Under, Promised, Copies, Stored, Incomplete, Held);
  }
};

/// Asks whether the rights of a writer still hold.
struct RenewRights {
  uint64_t Number = 0;
  uint64_t Epoch = 0;
  std::vector<PartitionRight> Rights;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Number, Epoch, Rights);
  }
};

struct RightsRenewed {
  uint64_t Number = 0;
  /// Partitions to which another VM has the right.
  std::vector<std::string> Fenced;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Number, Fenced);
  }
};

/// Takes the right to a partition whose writer is gone.
struct ClaimPartition {
  PartitionRight Right;
  uint64_t Epoch = 0;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Right, Epoch); }
};

/// Reply to ClaimPartition, sent once the promise is durable.
struct PartitionClaimed {
  PartitionRight Right;
  /// Above Right.Of if the claim was refused.
  Ballot Promised;
  /// As in JobsWritten.
  std::vector<CopyName> Copies;
  /// All jobs of the partition. Submissions of ended ones are left out.
  std::vector<JobRecord> Jobs;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Right, Promised, Copies, Jobs);
  }
};

/// Asks for a page of another VM's copy, for building a lost one anew.
struct FetchCopy {
  /// The page starts behind this job.
  std::string After;
  uint64_t Epoch = 0;
  /// Name of the copy that is built.
  uint64_t Copy = 0;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(After, Epoch, Copy);
  }
};

struct CopyPage {
  std::string After;
  std::vector<JobRecord> Jobs;
  std::vector<PartitionRight> Promises;
  bool Last = false;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(After, Jobs, Promises, Last);
  }
};

/// A run of a stored job has ended on a backend server that its dispatcher does
/// not own any more.
struct RunEndNews {
  TaskId Task;
  uint64_t Run = 0;
  RunOutcome How = RunOutcome::Other;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Task, Run, How);
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
struct AskJob {
  std::string Job;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Job); }
};

/// Reply to AskJob by a whole copy.
struct JobWhereabouts {
  std::string Job;
  bool Known = false;
  /// Writer of its partition, as far as the copy knows.
  std::string Writer;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Job, Known, Writer);
  }
};

using JobStoreMessage =
    std::variant<WriteJobs, JobsWritten, RenewRights, RightsRenewed,
                 ClaimPartition, PartitionClaimed, FetchCopy, CopyPage,
                 RunEndNews, RunEndStored, AskJob, JobWhereabouts>;

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_JOBSTORE_TYPES_JOBSTOREMESSAGE_H
