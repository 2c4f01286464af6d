#ifndef SAPPHIREMOOR_LEASES_TYPES_ANNOUNCERESULT_H
#define SAPPHIREMOOR_LEASES_TYPES_ANNOUNCERESULT_H

#include "framework/core/time.h"
#include "leases/types/backendchange.h"

#include <optional>

namespace sapphiremoor {

/// Effect of an announcement on the table.
enum class AnnounceOutcome {
  Joined,
  Changed,
  Renewed,
  RefusedLeaving, ///< the server is leaving and gets no new tasks
};

/// Answer to an announcement.
struct AnnounceResult {
  Duration NextAnnouncement{0}; ///< sent as next_ms
  AnnounceOutcome Outcome = AnnounceOutcome::Renewed;
  std::optional<BackendChange>
      TableChange; ///< for the other VMs and for placement
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_LEASES_TYPES_ANNOUNCERESULT_H
