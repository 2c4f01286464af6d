#include "configuration/internal/configrecords.h"

#include "configuration/configstate.h"

#include <algorithm>
#include <vector>

namespace sapphiremoor {

namespace {

template <typename Record>
void dropOldest(std::deque<Record> &Records, std::size_t Limit) {
  while (Records.size() > Limit)
    Records.pop_front();
}

void dropOldestRemovals(ConfigState &State) {
  if (State.LastChanges.size() <= State.Files.size() + MaxRemovedFiles)
    return;
  std::vector<std::pair<uint64_t, std::string>> Removals;
  for (const auto &[Name, Change] : State.LastChanges)
    if (Change.Removed)
      Removals.emplace_back(Change.Revision, Name);
  std::ranges::sort(Removals);
  Removals.resize(Removals.size() - std::min(Removals.size(), MaxRemovedFiles));
  for (const auto &[Revision, Name] : Removals) {
    State.LastChanges.erase(Name);
    State.OldestKnownRevision = std::max(State.OldestKnownRevision, Revision);
  }
}

} // namespace

void trimRecords(ConfigState &State) {
  dropOldest(State.History, MaxHistoryRecords);
  dropOldest(State.DecidedRequests, MaxDecidedRequests);
  dropOldestRemovals(State);
}

} // namespace sapphiremoor
