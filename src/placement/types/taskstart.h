#ifndef SAPPHIREMOOR_PLACEMENT_TYPES_TASKSTART_H
#define SAPPHIREMOOR_PLACEMENT_TYPES_TASKSTART_H

#include "placement/types/jobnumber.h"

#include <compare>
#include <cstdint>
#include <string>

namespace sapphiremoor {

/// One start of a task. It occupies a slot of the backend server until the same
/// value is passed to taskFinished().
struct TaskStart {
  JobNumber Job{};
  uint32_t TaskIndex = 0;
  std::string BackendId;
  bool Hedge = false;

  auto operator<=>(const TaskStart &) const = default;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_PLACEMENT_TYPES_TASKSTART_H
