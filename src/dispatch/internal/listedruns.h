#ifndef SAPPHIREMOOR_DISPATCH_INTERNAL_LISTEDRUNS_H
#define SAPPHIREMOOR_DISPATCH_INTERNAL_LISTEDRUNS_H

#include "dispatch/types/control.h"
#include "dispatch/types/taskid.h"

#include <cstdint>
#include <set>
#include <utility>

namespace sapphiremoor::detail {

/// What a run list tells about a run.
enum class ListedState {
  Active,
  Ended,
  /// The list is complete and does not name the run: it does not exist there.
  Absent,
  /// The list is cut and does not name the run: it may have ended.
  Unknown,
};

/// The runs of a run list, by task and run number.
class ListedRuns {
public:
  explicit ListedRuns(const RunList &List);

  ListedState state(const TaskId &Task, uint64_t RunNumber) const;

private:
  using RunKey = std::pair<TaskId, uint64_t>;

  std::set<RunKey> Active;
  std::set<RunKey> Ended;
  bool EndsComplete;
};

} // namespace sapphiremoor::detail

#endif // SAPPHIREMOOR_DISPATCH_INTERNAL_LISTEDRUNS_H
