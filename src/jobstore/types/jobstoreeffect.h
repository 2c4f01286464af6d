#ifndef SAPPHIREMOOR_JOBSTORE_TYPES_JOBSTOREEFFECT_H
#define SAPPHIREMOOR_JOBSTORE_TYPES_JOBSTOREEFFECT_H

#include "framework/core/types/peerprocess.h"
#include "jobstore/types/jobstoremessage.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace sapphiremoor {

/// Sends a request to the copy of the VM at an address, whichever process it
/// has.
struct SendToCopy {
  std::string Address;
  JobStoreMessage Message;
};

/// Sends a reply of a copy to the process that asked for it, and to no other
/// process of its VM: the numbers of its requests may be in use there again.
struct CopyReply {
  PeerProcess Receiver;
  JobStoreMessage Message;
};

/// Log entry: the copy promises to reject lower ballots for a partition.
struct PromiseEntry {
  PartitionOwnership Ownership;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Ownership); }
};

/// Log entry: the state of a job.
struct JobEntry {
  PartitionOwnership Ownership;
  JobWrite Write;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Ownership, Write);
  }
};

/// Log entry: whether the copy is complete and for which voters.
struct CopyStatusEntry {
  bool Complete = false;
  /// Epoch of the voters for which Complete was determined.
  uint64_t Epoch = 0;
  /// Requests of writers that use the voters of an earlier epoch are ignored.
  uint64_t MinEpoch = 0;
  uint64_t CopyId = 0;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Complete, Epoch, MinEpoch, CopyId);
  }
};

/// Log entry: another VM rebuilt its copy from this one.
struct RebuiltEntry {
  CopyIdentity Copy;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Copy); }
};

/// One entry of a copy's log.
using CopyEntry =
    std::variant<PromiseEntry, JobEntry, CopyStatusEntry, RebuiltEntry>;

/// The complete state of a copy, as written to its snapshot.
struct CopyState {
  CopyStatusEntry Status;
  std::map<std::string, JobRecord> Jobs;
  /// Promised ballot by partition.
  std::map<std::string, Ballot> Promises;
  /// Ids of the copies that were rebuilt from this one, by VM.
  std::map<std::string, uint64_t> RebuiltCopies;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Status, Jobs, Promises, RebuiltCopies);
  }
};

/// Appends an entry to the log. Once it is durable, JobCopy::confirmDurable()
/// has to be called with its number.
struct AppendEntry {
  uint64_t Number = 0;
  CopyEntry Entry;
};

using CopyEffect = std::variant<SendToCopy, CopyReply, AppendEntry>;

/// The job is stored on a majority and may run. Emitted for new jobs and for
/// jobs of partitions that were taken over.
struct JobStored {
  JobSubmission Job;
  JobProgress Progress;
  bool TakenOver = false;
};

/// The job belongs to another partition and will not run on this VM.
struct JobHeldElsewhere {
  std::string Id;
  std::string Partition;
};

/// All states of the job up to this version are durable.
struct ProgressStored {
  std::string Id;
  uint64_t Version = 0;
};

/// Another VM owns these jobs now.
struct JobsLost {
  std::vector<std::string> Ids;
};

/// More ends than the writer keeps wait for voters that do not acknowledge
/// them; from now on it forgets the oldest ones. Emitted once until all are
/// acknowledged.
struct EndsForgotten {
  std::size_t KeptEnds = 0;
};

using WriterEffect = std::variant<SendToCopy, JobStored, JobHeldElsewhere,
                                  ProgressStored, JobsLost, EndsForgotten>;

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_JOBSTORE_TYPES_JOBSTOREEFFECT_H
