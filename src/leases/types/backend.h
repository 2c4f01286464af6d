#ifndef SAPPHIREMOOR_LEASES_TYPES_BACKEND_H
#define SAPPHIREMOOR_LEASES_TYPES_BACKEND_H

#include "framework/core/time.h"
#include "framework/statechart/types/transition.h"
#include "leases/types/announcement.h"

namespace sapphiremoor {

/// A known backend server.
struct Backend {
  Announcement LastAnnouncement;
  StateId State = 0;    ///< a state of charts/backend.json
  Duration Interval{0}; ///< announcement interval sent to the server
  Instant LeaseEnd;     ///< end of the lease, or of the hold while leaving
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_LEASES_TYPES_BACKEND_H
