#ifndef SAPPHIREMOOR_DISPATCH_BACKENDHEALTH_H
#define SAPPHIREMOOR_DISPATCH_BACKENDHEALTH_H

#include "dispatch/types/dispatchlimits.h"

#include <cstddef>

namespace sapphiremoor {

/// Health of a backend server, judged by the outcomes of its runs. A backend
/// server with repeated failures is ejected. Afterwards it is on probation: it
/// gets a single run as a probe until a run succeeds.
struct BackendHealth {
  int FailuresInRow = 0;
  Duration NextEjectionTime{0};
  Instant EjectedUntil;
  /// Ejected before, with no successful run since.
  bool OnProbation = false;
};

/// Records a failed run. Returns true if it causes an ejection.
bool recordFailure(BackendHealth &Health, const DispatchLimits &Limits,
                   Instant Now);

/// Ejects at once, whatever the number of failures. Has no effect during an
/// ejection.
void eject(BackendHealth &Health, const DispatchLimits &Limits, Instant Now);

/// Records a successful run; ends the probation.
void recordSuccess(BackendHealth &Health);

/// Returns true if the backend server may get another run in addition to \p
/// RunningCount active ones.
bool mayPlace(const BackendHealth &Health, std::size_t RunningCount,
              Instant Now);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_DISPATCH_BACKENDHEALTH_H
