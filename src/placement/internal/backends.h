#ifndef SAPPHIREMOOR_PLACEMENT_INTERNAL_BACKENDS_H
#define SAPPHIREMOOR_PLACEMENT_INTERNAL_BACKENDS_H

#include "placement/placementstate.h"

#include <cstdint>

namespace sapphiremoor::detail {

/// Packs the indexes of a backend server and a service into the owner of a
/// timer.
constexpr uint64_t timerOwner(uint32_t Backend, uint32_t Service) {
  return uint64_t{Backend} << 32 | Service;
}

/// Returns what \p Backend offers as \p Service, or null if it no longer offers
/// the service.
OfferedService *findOfferedService(BackendRecord &Backend, uint32_t Service);

/// Moves an offered service to the slot index that matches its health state and
/// the number of free slots.
void updateIndex(PlacementState &State, BackendRecord &Backend,
                 OfferedService &Offer);
void updateIndexes(PlacementState &State, BackendRecord &Backend);

/// Changes the health state and updates the counts of the service.
void setHealthState(PlacementState &State, BackendRecord &Backend,
                    OfferedService &Offer, HealthState NewState);

/// Returns whether MaxEjectedShare allows one more backend server of the
/// service to be ejected (mayEject) or demoted because it is slow (mayDemote).
bool mayEject(const PlacementState &State, uint32_t Service);
bool mayDemote(const PlacementState &State, uint32_t Service);

void backOffUntil(PlacementState &State, uint32_t Backend,
                  OfferedService &Offer, Instant Until);
void scheduleProbe(PlacementState &State, uint32_t Backend,
                   OfferedService &Offer, Instant Time);

/// Ends the backoffs that are due, and makes the offered services ready for a
/// probe whose ejection or delay is over.
void handleTimers(PlacementState &State, Instant Now);

/// Erases a removed backend server that has no running tasks.
void eraseIfIdle(PlacementState &State, uint32_t Backend);

} // namespace sapphiremoor::detail

#endif // SAPPHIREMOOR_PLACEMENT_INTERNAL_BACKENDS_H
