#ifndef SAPPHIREMOOR_PLACEMENT_INTERNAL_HEALTH_H
#define SAPPHIREMOOR_PLACEMENT_INTERNAL_HEALTH_H

#include "placement/placementstate.h"
#include "placement/types/taskoutcome.h"

#include <cstdint>

namespace sapphiremoor::detail {

/// Updates the statistics and the health state of an offered service after one
/// start of a task has ended.
void updateHealth(PlacementState &State, uint32_t Backend,
                  OfferedService &Offer, TaskOutcome Outcome, Duration RunTime,
                  Instant Now);

} // namespace sapphiremoor::detail

#endif // SAPPHIREMOOR_PLACEMENT_INTERNAL_HEALTH_H
