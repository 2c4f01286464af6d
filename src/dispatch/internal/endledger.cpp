#include "dispatch/internal/endledger.h"

#include <algorithm>
#include <limits>

namespace sapphiremoor::detail {

bool EndLedger::recordListed(uint64_t EndNumber) {
  if (EndNumber <= LastListed)
    return false;
  LastListed = EndNumber;
  return true;
}

void EndLedger::hold(uint64_t EndNumber, Instant Now) {
  Held[EndNumber].ReportedAt = Now;
}

bool EndLedger::wasReportedBefore(uint64_t EndNumber, Instant Deadline) const {
  const auto It = Held.find(EndNumber);
  return It != Held.end() && !It->second.Superseded &&
         It->second.ReportedAt < Deadline;
}

void EndLedger::release(uint64_t EndNumber) {
  if (const auto It = Held.find(EndNumber); It != Held.end())
    erase(It);
}

void EndLedger::markSuperseded(uint64_t EndNumber) {
  const auto It = Held.find(EndNumber);
  if (It == Held.end() || It->second.Superseded)
    return;
  It->second.Superseded = true;
  ++SupersededCount;
}

void EndLedger::releaseSuperseded() {
  std::erase_if(Held,
                [](const auto &Entry) { return Entry.second.Superseded; });
  SupersededCount = 0;
}

void EndLedger::releaseForgotten(const RunList &List) {
  uint64_t LowestListed = std::numeric_limits<uint64_t>::max();
  for (const EndedRun &Ended : List.Ended)
    LowestListed = std::min(LowestListed, Ended.EndNumber);
  while (!Held.empty() && Held.begin()->first < LowestListed)
    erase(Held.begin());
}

void EndLedger::erase(HeldMap::iterator It) {
  if (It->second.Superseded)
    --SupersededCount;
  Held.erase(It);
}

} // namespace sapphiremoor::detail
