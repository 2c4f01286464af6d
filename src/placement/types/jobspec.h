#ifndef SAPPHIREMOOR_PLACEMENT_TYPES_JOBSPEC_H
#define SAPPHIREMOOR_PLACEMENT_TYPES_JOBSPEC_H

#include "framework/core/time.h"

#include <compare>
#include <cstdint>
#include <string>

namespace sapphiremoor {

/// Properties of a job that placement needs. SingleRequest distinguishes a
/// request (one task, which may be retried or hedged if its service is
/// idempotent) from a submission.
struct JobSpec {
  std::string Team;
  std::string Service;
  uint32_t TaskCount = 1;
  Instant Deadline = Instant::max();
  bool SingleRequest = false;

  auto operator<=>(const JobSpec &) const = default;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_PLACEMENT_TYPES_JOBSPEC_H
