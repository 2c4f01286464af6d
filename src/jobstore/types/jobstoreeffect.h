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
  std::string To;
  JobStoreMessage Message;
};

/// A promise not to obey lower ballots for a partition.
struct PromiseEntry {
  PartitionRight Right;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Right); }
};

/// A state of a job.
struct JobEntry {
  PartitionRight Under;
  JobWrite Write;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Under, Write); }
};

/// Whether the copy is whole and for which voters.
struct StandingEntry {
  bool Whole = false;
  /// Epoch of the voters that Whole was decided for.
  uint64_t Epoch = 0;
  /// Requests of writers that count voters of an earlier epoch are ignored.
  uint64_t LeastEpoch = 0;
  uint64_t Copy = 0;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Whole, Epoch, LeastEpoch, Copy);
  }
};

/// The copy of another VM was built anew with the help of this one.
struct RebuiltEntry {
  CopyName Other;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Other); }
};

/// One entry of the log of a copy.
using CopyEntry =
    std::variant<PromiseEntry, JobEntry, StandingEntry, RebuiltEntry>;

/// All of a copy, for its snapshot.
struct CopyState {
  StandingEntry Standing;
  std::map<std::string, JobRecord> Jobs;
  /// Promised ballot by partition.
  std::map<std::string, Ballot> Promises;
  /// Copies that were built anew with the help of this one, by VM.
  std::map<std::string, uint64_t> Rebuilt;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Standing, Jobs, Promises, Rebuilt);
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
