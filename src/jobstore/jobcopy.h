#ifndef SAPPHIREMOOR_JOBSTORE_JOBCOPY_H
#define SAPPHIREMOOR_JOBSTORE_JOBCOPY_H

#include "framework/core/time.h"
#include "jobstore/types/jobstoreeffect.h"
#include "versionregister/types/registervalue.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace sapphiremoor {

/// Initial state of a copy.
struct CopyOptions {
  /// Address of this VM.
  std::string Self;
  CopyState StoredState;
  /// Random id, drawn by each process, for a new or rebuilt copy.
  uint64_t NewCopyId = 0;
  /// The whole deployment starts for the first time, with empty disks, so the
  /// empty copy is complete.
  bool FirstStart = false;
};

/// One VM's copy of all stored jobs. It obeys the writer with the highest
/// ballot of each partition and replies to writes and claims once their log
/// entries are durable. A copy that was lost does not reply until it has been
/// rebuilt from a majority of the voters. The class does no I/O: callers pass
/// messages and times in and execute the effects that it returns.
class JobCopy {
public:
  explicit JobCopy(const CopyOptions &Options);

  /// Sets the current voters. A VM that becomes a voter rebuilds its copy.
  void setVoters(const VoterSet &NewVoters);
  void receive(const PeerProcess &Sender, const JobStoreMessage &Message,
               Instant Now);
  /// Confirms that the log entry with this number and all earlier ones are
  /// durable.
  void confirmDurable(uint64_t Number);
  /// Requests missing pages during a rebuild and removes jobs that ended long
  /// ago.
  void tick(Instant Now);

  const JobRecord *find(const std::string &Id) const;
  const std::map<std::string, JobRecord> &jobs() const { return State.Jobs; }
  /// Returns the promised ballot of a partition, or the lowest ballot if none
  /// was promised.
  Ballot promisedBallot(const std::string &Partition) const;
  /// All known partitions with their promised ballots.
  const std::map<std::string, Ballot> &partitions() const {
    return State.Promises;
  }
  /// Returns the writer of a partition as far as this copy knows.
  std::string partitionWriter(const std::string &Partition) const;
  /// Returns true while this VM is a voter and its copy is incomplete.
  bool rebuilding() const;
  /// Returns true if this copy has all jobs that are stored. Only such a copy
  /// can tell that a job is not stored.
  bool isComplete() const { return State.Status.Complete; }
  const CopyState &state() const { return State; }

  std::vector<CopyEffect> takeEffects();

private:
  struct RebuildProgress {
    /// Last job received from each VM, and the VMs that sent all their pages.
    std::map<std::string, std::string> PagePositions;
    std::set<std::string> CompletedVms;
  };

  void handle(const PeerProcess &Sender, const WriteJobs &Request, Instant Now);
  void handle(const PeerProcess &Sender, const RenewWriterLease &Request,
              Instant Now);
  void handle(const PeerProcess &Sender, const ClaimPartition &Request,
              Instant Now);
  void handle(const PeerProcess &Sender, const FetchCopy &Request, Instant Now);
  void handle(const PeerProcess &Sender, const CopyPage &Page, Instant Now);
  void handle(const PeerProcess &Sender, const LocateJob &Request, Instant Now);
  template <typename OtherMessage>
  void handle(const PeerProcess &, const OtherMessage &, Instant) {}

  void storeJob(const PartitionOwnership &Ownership, const JobWrite &Write,
                JobsWritten &Reply, Instant Now);
  bool isObsoleteEpoch(uint64_t Epoch);
  void setComplete(bool Complete);
  std::vector<CopyIdentity> copyIdentities() const;
  void append(CopyEntry Entry);
  void reply(const PeerProcess &Receiver, JobStoreMessage Message);
  void replyWhenDurable(const PeerProcess &Receiver, JobStoreMessage Message);
  void requestPages(Instant Now);
  void checkComplete();

  std::string Self;
  uint64_t NewCopyId;
  CopyState State;
  VoterSet Voters;
  RebuildProgress Rebuild;
  Instant NextPageRequest;
  /// Time at which each ended job was first seen as ended.
  std::map<std::string, Instant> EndedSince;
  Instant NextCleanup;
  /// True once jobs that ended under an earlier process are in EndedSince.
  bool EndedJobsScanned = false;
  uint64_t LastAppend = 0;
  uint64_t LastDurable = 0;
  std::multimap<uint64_t, CopyReply> PendingReplies;
  std::vector<CopyEffect> Effects;
};

/// Applies \p Entry to \p State.
void applyEntry(CopyState &State, const CopyEntry &Entry);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_JOBSTORE_JOBCOPY_H
