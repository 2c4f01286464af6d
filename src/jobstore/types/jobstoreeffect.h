#ifndef SAPPHIREMOOR_JOBSTORE_TYPES_JOBSTOREEFFECT_H
#define SAPPHIREMOOR_JOBSTORE_TYPES_JOBSTOREEFFECT_H

#include "jobstore/types/jobstoremessage.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace sapphiremoor {

/// Sends a message to the VM at an address.
struct SendToCopy {
  std::string Address;
  JobStoreMessage Message;
};

/// A promise not to obey lower ballots for a partition.
struct PromiseEntry {
  PartitionOwnership Ownership;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Ownership); }
};

/// A state of a job.
struct JobEntry {
  PartitionOwnership Ownership;
  JobWrite Write;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Ownership, Write);
  }
};

/// Whether the copy is whole and for which voters.
struct CopyStatusEntry {
  bool Complete = false;
  /// Epoch of the voters that Whole was decided for.
  uint64_t Epoch = 0;
  /// Requests of writers that count voters of an earlier epoch are ignored.
  uint64_t MinEpoch = 0;
  uint64_t CopyId = 0;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Complete, Epoch, MinEpoch, CopyId);
  }
};

/// The copy of another VM was built anew with the help of this one.
struct RebuiltEntry {
  CopyIdentity Copy;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Copy); }
};

/// One entry of the log of a copy.
using CopyEntry =
    std::variant<PromiseEntry, JobEntry, CopyStatusEntry, RebuiltEntry>;

/// All of a copy, for its snapshot.
struct CopyState {
  CopyStatusEntry Status;
  std::map<std::string, JobRecord> Jobs;
  /// Promised ballot by partition.
  std::map<std::string, Ballot> Promises;
  /// Copies that were built anew with the help of this one, by VM.
  std::map<std::string, uint64_t> RebuiltCopies;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Status, Jobs, Promises, RebuiltCopies);
  }
};

/// Appends an entry to the log; JobCopy::stored() follows with its number.
struct AppendEntry {
  uint64_t Number = 0;
  CopyEntry Entry;
};

using CopyEffect = std::variant<SendToCopy, AppendEntry>;

/// The job is stored on a majority and may run. Told for new jobs and for those
/// of partitions that were taken over.
struct JobStored {
  JobSubmission Job;
  JobProgress Progress;
  bool TakenOver = false;
};

/// Another partition has the job; it will not run here.
struct JobHeldElsewhere {
  std::string Id;
  std::string Partition;
};

/// All states up to this version are durable.
struct ProgressStored {
  std::string Id;
  uint64_t Version = 0;
};

/// Another VM has the right to these jobs now.
struct JobsLost {
  std::vector<std::string> Ids;
};

using WriterEffect = std::variant<SendToCopy, JobStored, JobHeldElsewhere,
                                  ProgressStored, JobsLost>;

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_JOBSTORE_TYPES_JOBSTOREEFFECT_H
