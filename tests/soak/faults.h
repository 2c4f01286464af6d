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

/// Kills control VMs right after the configuration was acknowledged, and starts
/// them again. The seed decides between none, all, and all with the disk of one
/// lost. All VMs must be undisturbed.
void injectClosingFault(Soak &SoakRun, uint64_t Seed);

} // namespace sapphiremoor::soak

#endif // SAPPHIREMOOR_TESTS_SOAK_FAULTS_H
