#ifndef SAPPHIREMOOR_JOBSTORE_TYPES_JOBRECORD_H
#define SAPPHIREMOOR_JOBSTORE_TYPES_JOBRECORD_H

#include "dispatch/types/jobsubmission.h"
#include "dispatch/types/storedjob.h"
#include "versionregister/types/ballot.h"

#include <compare>
#include <cstdint>
#include <string>

namespace sapphiremoor {

/// A stored job as one VM keeps it.
struct JobRecord {
  JobSubmission Submission;
  JobProgress Progress;
  /// Increases with each change by the same writer.
  uint64_t Version = 0;
  /// The partition that the job belongs to. A committed job never changes it.
  std::string Partition;
  /// Ballot of the writer that stored this state.
  Ballot WriterBallot;
  /// A majority is known to store the job, so no other partition can get it.
  bool Committed = false;

  auto operator<=>(const JobRecord &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Submission, Progress, Version, Partition, WriterBallot, Committed);
  }
};

/// Returns true if \p B has to replace \p A. Two VMs that store the same job at
/// the same time may leave it in two partitions; the committed one is then the
/// valid one.
inline bool isReplacedBy(const JobRecord &A, const JobRecord &B) {
  if (A.Partition != B.Partition)
    return B.Committed && !A.Committed;
  return A.WriterBallot != B.WriterBallot ? A.WriterBallot < B.WriterBallot
                                          : A.Version < B.Version;
}

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_JOBSTORE_TYPES_JOBRECORD_H
