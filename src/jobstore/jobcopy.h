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

/// What a copy starts with.
struct CopyOptions {
  /// Address of this VM.
  std::string Self;
  CopyState StoredState;
  /// Drawn anew for each process; names a copy that is built anew.
  uint64_t NewCopyId = 0;
  /// The whole deployment starts for the first time, with empty disks.
  bool FirstStart = false;
};

/// One VM's copy of all stored jobs. It obeys the writer with the highest
/// ballot of each partition and answers once what it was told is durable. A
/// copy that was lost answers nothing before it has been built anew from a
/// majority of the others. Pure decisions.
class JobCopy {
public:
  explicit JobCopy(const CopyOptions &Options);

  /// The voters in force. One that joins them builds its copy anew.
  void setVoters(const VoterSet &NewVoters);
  void receive(const std::string &Sender, const JobStoreMessage &Message,
               Instant Now);
  /// The entry with this number and all before are durable.
  void confirmDurable(uint64_t Number);
  /// Asks for missing pages and forgets jobs that ended long ago.
  void tick(Instant Now);

  const JobRecord *find(const std::string &Id) const;
  const std::map<std::string, JobRecord> &jobs() const { return State.Jobs; }
  /// Returns the promised ballot of a partition; the lowest one if there is
  /// none.
  Ballot promisedBallot(const std::string &Partition) const;
  /// All partitions that were met, with their promised ballots.
  const std::map<std::string, Ballot> &partitions() const {
    return State.Promises;
  }
  /// True while this VM is a voter without a whole copy.
  bool rebuilding() const;
  const CopyState &state() const { return State; }

  std::vector<CopyEffect> takeEffects();

private:
  struct RebuildProgress {
    /// Next page by VM, and those that sent all.
    std::map<std::string, std::string> PagePositions;
    std::set<std::string> CompletedVms;
  };

  void handle(const std::string &Sender, const WriteJobs &Request, Instant Now);
  void handle(const std::string &Sender, const RenewWriterLease &Request,
              Instant Now);
  void handle(const std::string &Sender, const ClaimPartition &Request,
              Instant Now);
  void handle(const std::string &Sender, const FetchCopy &Request, Instant Now);
  void handle(const std::string &Sender, const CopyPage &Page, Instant Now);
  template <typename OtherMessage>
  void handle(const std::string &, const OtherMessage &, Instant) {}

  void storeJob(const PartitionOwnership &Ownership, const JobWrite &Write,
                JobsWritten &Reply, Instant Now);
  bool isObsoleteEpoch(uint64_t Epoch);
  void setComplete(bool Complete);
  std::vector<CopyIdentity> copyIdentities() const;
  void append(CopyEntry Entry);
  void sendWhenDurable(const std::string &Address, JobStoreMessage Message);
  void requestPages(Instant Now);
  void checkComplete();

  std::string Self;
  uint64_t NewCopyId;
  CopyState State;
  VoterSet Voters;
  RebuildProgress Rebuild;
  Instant NextPageRequest;
  /// When ended jobs were first seen as such.
  std::map<std::string, Instant> EndedSince;
  Instant NextCleanup;
  /// Ended jobs of an earlier process were noted.
  bool EndedJobsScanned = false;
  uint64_t LastAppend = 0;
  uint64_t LastDurable = 0;
  std::multimap<uint64_t, SendToCopy> PendingReplies;
  std::vector<CopyEffect> Effects;
};

/// Brings \p State to what it is after \p Entry.
void applyEntry(CopyState &State, const CopyEntry &Entry);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_JOBSTORE_JOBCOPY_H
