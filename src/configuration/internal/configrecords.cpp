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
  if (State.LastChanges.size() <= State.Files.size() + MaxRemovals)
    return;
  std::vector<std::pair<uint64_t, std::string>> Removals;
  for (const auto &[Name, Change] : State.LastChanges)
    if (Change.Removed)
      Removals.emplace_back(Change.Revision, Name);
  std::ranges::sort(Removals);
  Removals.resize(Removals.size() - std::min(Removals.size(), MaxRemovals));
  for (const auto &[Revision, Name] : Removals) {
    State.LastChanges.erase(Name);
    State.OldestKnown = std::max(State.OldestKnown, Revision);
  }
}

} // namespace

void trimRecords(ConfigState &State) {
  dropOldest(State.History, MaxHistory);
  dropOldest(State.Decided, MaxDecided);
  dropOldestRemovals(State);
}

} // namespace sapphiremoor
