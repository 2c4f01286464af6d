#include "dispatch/backendhealth.h"

#include <algorithm>

namespace sapphiremoor {

bool recordFailure(BackendHealth &Health, const DispatchLimits &Limits,
                   Instant Now) {
  ++Health.FailuresInRow;
  if (Health.FailuresInRow < Limits.FailuresToEject && !Health.OnProbation)
    return false;
  eject(Health, Limits, Now);
  return true;
}

void eject(BackendHealth &Health, const DispatchLimits &Limits, Instant Now) {
  // Runs that were placed before the ejection may fail during it. They are no
  // further evidence.
  if (Now < Health.EjectedUntil)
    return;
  const Duration EjectionTime =
      std::max(Health.NextEjectionTime, Limits.InitialEjectionTime);
  Health.EjectedUntil = Now + EjectionTime;
  Health.NextEjectionTime = std::min(2 * EjectionTime, Limits.MaxEjectionTime);
  Health.OnProbation = true;
}

void recordSuccess(BackendHealth &Health) {
  Health.FailuresInRow = 0;
  Health.OnProbation = false;
  Health.NextEjectionTime = Duration::zero();
}

bool mayPlace(const BackendHealth &Health, std::size_t RunningCount,
              Instant Now) {
  if (Now < Health.EjectedUntil)
    return false;
  return !Health.OnProbation || RunningCount == 0;
}

} // namespace sapphiremoor
