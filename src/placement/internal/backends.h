#ifndef SAPPHIREMOOR_PLACEMENT_INTERNAL_BACKENDS_H
#define SAPPHIREMOOR_PLACEMENT_INTERNAL_BACKENDS_H

#include "placement/placementstate.h"

#include <cstdint>

namespace sapphiremoor::detail {

/// Packs a backend server and a service into the owner number of a timer.
constexpr uint64_t timerOwner(uint32_t Backend, uint32_t Service) {
  return uint64_t{Backend} << 32 | Service;
}

/// Returns the offered service of \p Service, or nothing if it is carried no
/// more.
OfferedService *findOfferedService(BackendRecord &Backend, uint32_t Service);

/// Puts a offered service into the index that its standing and free slots
/// demand.
void updateIndex(PlacementState &State, BackendRecord &Backend,
                 OfferedService &Offer);
void updateIndexes(PlacementState &State, BackendRecord &Backend);

/// Changes the standing and keeps the number of demoted carriers.
void setHealthState(PlacementState &State, BackendRecord &Backend,
                    OfferedService &Offer, HealthState NewState);

/// Returns true if the cap leaves room to eject one more carrier, or to use
/// one more last because it is slow.
bool mayEject(const PlacementState &State, uint32_t Service);
bool mayDemote(const PlacementState &State, uint32_t Service);

void backOffUntil(PlacementState &State, uint32_t Backend,
                  OfferedService &Offer, Instant Until);
void scheduleProbe(PlacementState &State, uint32_t Backend,
                   OfferedService &Offer, Instant Time);

/// Ends backoffs and ejections that are due.
void handleTimers(PlacementState &State, Instant Now);

/// Forgets a removed backend server without running tasks.
void eraseIfIdle(PlacementState &State, uint32_t Backend);

} // namespace sapphiremoor::detail

#endif // SAPPHIREMOOR_PLACEMENT_INTERNAL_BACKENDS_H
