#ifndef SAPPHIREMOOR_JOBSTORE_TAKEOVERWATCH_H
#define SAPPHIREMOOR_JOBSTORE_TAKEOVERWATCH_H

#include "framework/core/time.h"

#include <cstddef>
#include <map>
#include <string>

namespace sapphiremoor {

/// Time limits of a TakeoverWatch.
struct TakeoverLimits {
  /// The jobs of a writer that has been gone for this time are taken over.
  Duration WriterGoneTimeout = std::chrono::seconds(1);
  /// Replaces WriterGoneTimeout for a partition that this VM has lost. The
  /// partition has another writer, whose name is not known here before its
  /// first write. A writer that has not written within this time counts as
  /// gone.
  Duration OwnLossTimeout = std::chrono::seconds(5);
  /// Each VM waits this much longer than the one that is preferred to it. The
  /// preferred VM may not know the partition: its copy lacks writes from the
  /// time when it was down.
  Duration ClaimantDelay = std::chrono::seconds(1);
};

/// Decides when a VM claims the partitions whose writers are gone.
class TakeoverWatch {
public:
  explicit TakeoverWatch(const TakeoverLimits &Limits) : Limits(Limits) {}

  /// Notes that \p Partition has a live writer, or is claimed by this VM.
  void recordWriter(const std::string &Partition);
  /// Notes that the writer of \p Partition is gone, and returns true if this VM
  /// should claim it. \p Rank is the number of live VMs that are preferred to
  /// this one; \p LostHere is true if this VM was the writer.
  bool shouldClaim(const std::string &Partition, std::size_t Rank,
                   bool LostHere, Instant Now);

private:
  TakeoverLimits Limits;
  /// Time since which the writer of a partition is gone, by partition.
  std::map<std::string, Instant> WriterGoneSince;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_JOBSTORE_TAKEOVERWATCH_H
