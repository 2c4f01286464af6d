#ifndef SAPPHIREMOOR_TESTS_SOAK_FAULTS_H
#define SAPPHIREMOOR_TESTS_SOAK_FAULTS_H

#include "tests/soak/soak.h"

namespace sapphiremoor::soak {

/// Injects one random fault, which ends by itself. Faults come in series and
/// overlap.
void injectFault(Soak &SoakRun);

/// Ends what is still disturbed: relays pass, paused processes go on, and those
/// that have ended are started.
void endAllFaults(Soak &SoakRun);

} // namespace sapphiremoor::soak

#endif // SAPPHIREMOOR_TESTS_SOAK_FAULTS_H
