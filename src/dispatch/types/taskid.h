#ifndef SAPPHIREMOOR_DISPATCH_TYPES_TASKID_H
#define SAPPHIREMOOR_DISPATCH_TYPES_TASKID_H

#include <compare>
#include <cstdint>
#include <string>

namespace sapphiremoor {

/// Identifies one task of a job. Unique across the whole deployment.
struct TaskId {
  std::string Job;
  uint32_t Step = 0;
  uint32_t Index = 0;

  auto operator<=>(const TaskId &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Job, Step, Index);
  }
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_DISPATCH_TYPES_TASKID_H
