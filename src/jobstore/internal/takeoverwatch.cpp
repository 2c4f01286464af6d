#include "jobstore/takeoverwatch.h"

namespace sapphiremoor {

void TakeoverWatch::recordWriter(const std::string &Partition) {
  WriterGoneSince.erase(Partition);
}

bool TakeoverWatch::shouldClaim(const std::string &Partition, std::size_t Rank,
                                bool LostHere, Instant Now) {
  const Instant Since =
      WriterGoneSince.try_emplace(Partition, Now).first->second;
  const Duration Timeout =
      LostHere ? Limits.OwnLossTimeout : Limits.WriterGoneTimeout;
  return Now - Since >=
         Timeout + static_cast<int64_t>(Rank) * Limits.ClaimantDelay;
}

} // namespace sapphiremoor
