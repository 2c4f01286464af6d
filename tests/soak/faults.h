#ifndef SAPPHIREMOOR_TESTS_SOAK_FAULTS_H
#define SAPPHIREMOOR_TESTS_SOAK_FAULTS_H

#include "tests/soak/soak.h"

namespace sapphiremoor::soak {

/// Injects one random fault, which ends by itself after a random time. Faults
/// may overlap.
void injectFault(Soak &SoakRun);

/// Ends all faults: relays pass all data, paused daemons resume, and daemons
/// that have ended are started again.
void endAllFaults(Soak &SoakRun);

} // namespace sapphiremoor::soak

#endif // SAPPHIREMOOR_TESTS_SOAK_FAULTS_H
