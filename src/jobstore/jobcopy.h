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
struct CopyStart {
  /// Address of this VM.
  std::string Self;
  CopyState Stored;
  /// Drawn anew for each process; names a copy that is built anew.
  uint64_t Fresh = 0;
  /// The whole deployment starts for the first time, with empty disks.
  bool FirstStart = false;
};

/// One VM's copy of all stored jobs. It obeys the writer with the highest
/// ballot of each partition and answers once what it was told is durable. A
/// copy that was lost answers nothing before it has been built anew from a
/// majority of the others. Pure decisions.
class JobCopy {
public:
  explicit JobCopy(const CopyStart &Start);

  /// The voters in force. One that joins them builds its copy anew.
  void voters(const VoterSet &Now);
  void received(const std::string &From, const JobStoreMessage &Message,
                Instant Now);
  /// The entry with this number and all before are durable.
  void stored(uint64_t Number);
  /// Asks for missing pages and forgets jobs that ended long ago.
  void tick(Instant Now);

  const JobRecord *find(const std::string &Id) const;
  const std::map<std::string, JobRecord> &jobs() const { return State.Jobs; }
  /// Returns the promised ballot of a partition; the lowest one if there is
  /// none.
  Ballot promised(const std::string &Partition) const;
  /// All partitions that were met, with their promised ballots.
  const std::map<std::string, Ballot> &partitions() const {
    return State.Promises;
  }
  /// True while this VM is a voter without a whole copy.
  bool rebuilding() const;
  const CopyState &state() const { return State; }

  std::vector<CopyEffect> takeEffects();

private:
  struct Rebuilding {
    /// Next page by VM, and those that sent all.
    std::map<std::string, std::string> After;
    std::set<std::string> Complete;
  };

  void handle(const std::string &From, const WriteJobs &Request, Instant Now);
  void handle(const std::string &From, const RenewRights &Request, Instant Now);
  void handle(const std::string &From, const ClaimPartition &Request,
              Instant Now);
  void handle(const std::string &From, const FetchCopy &Request, Instant Now);
  void handle(const std::string &From, const CopyPage &Page, Instant Now);
  template <typename Other>
  void handle(const std::string &, const Other &, Instant) {}

  void writeOne(const PartitionRight &Under, const JobWrite &Write,
                JobsWritten &Reply, Instant Now);
  bool obsolete(uint64_t Epoch);
  void standing(bool Whole);
  std::vector<CopyName> copyNames() const;
  void append(CopyEntry Entry);
  void sendDurable(const std::string &To, JobStoreMessage Message);
  void askPages(Instant Now);
  void considerWhole();

  std::string Self;
  uint64_t Fresh;
  CopyState State;
  VoterSet Voters;
  Rebuilding Rebuild;
  Instant NextAsk;
  /// When ended jobs were first seen as such.
  std::map<std::string, Instant> EndedSince;
  Instant NextForget;
  /// Ended jobs of an earlier process were noted.
  bool Scanned = false;
  uint64_t LastAppend = 0;
  uint64_t LastDurable = 0;
  std::multimap<uint64_t, SendToCopy> AfterAppend;
  std::vector<CopyEffect> Effects;
};

/// Brings \p State to what it is after \p Entry.
void applyEntry(CopyState &State, const CopyEntry &Entry);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_JOBSTORE_JOBCOPY_H
