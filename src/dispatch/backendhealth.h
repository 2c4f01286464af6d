#ifndef SAPPHIREMOOR_DISPATCH_BACKENDHEALTH_H
#define SAPPHIREMOOR_DISPATCH_BACKENDHEALTH_H

#include "dispatch/types/dispatchlimits.h"

#include <cstddef>

namespace sapphiremoor {

/// Judges a backend server by how its runs end. One that fails what it starts
/// is ejected, and returns by a single run that has to succeed.
struct BackendHealth {
  int FailuresInRow = 0;
  Duration NextEjectionTime{0};
  Instant EjectedUntil;
  /// Ejected before and not proved since.
  bool OnProbation = false;
};

/// Takes a failure into account. Returns true if it ejects the backend server.
bool recordFailure(BackendHealth &Health, const DispatchLimits &Limits,
                   Instant Now);

/// Ejects at once, whatever the number of failures.
void eject(BackendHealth &Health, const DispatchLimits &Limits, Instant Now);

/// Takes a run that ended as done into account.
void recordSuccess(BackendHealth &Health);

/// Returns true if a further run may be placed beside \p RunningCount ones.
bool mayPlace(const BackendHealth &Health, std::size_t RunningCount,
              Instant Now);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_DISPATCH_BACKENDHEALTH_H
