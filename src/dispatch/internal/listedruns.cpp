#include "dispatch/internal/listedruns.h"

namespace sapphiremoor::detail {

ListedRuns::ListedRuns(const RunList &List) : EndsComplete(List.EndsComplete) {
  for (const ActiveRun &Run : List.Active)
    Active.emplace(Run.Task, Run.RunNumber);
  for (const EndedRun &Run : List.Ended)
    Ended.emplace(Run.Task, Run.RunNumber);
}

ListedState ListedRuns::state(const TaskId &Task, uint64_t RunNumber) const {
  const RunKey Key(Task, RunNumber);
  if (Active.contains(Key))
    return ListedState::Active;
  if (Ended.contains(Key))
    return ListedState::Ended;
  return EndsComplete ? ListedState::Absent : ListedState::Unknown;
}

} // namespace sapphiremoor::detail
