#ifndef SAPPHIREMOOR_BENCH_DECISIONS_BASELINES_H
#define SAPPHIREMOOR_BENCH_DECISIONS_BASELINES_H

#include "outcome.h"
#include "trace.h"

namespace sapphiremoor::bench {

/// Simulates one first-come, first-served queue over \p Slots healthy slots,
/// with perfect knowledge of the slots and without message delays.
SimulationOutcome simulateIdealQueue(const Trace &Jobs, uint32_t Slots);

/// How a VM selects a worker for each task. It does so as soon as the job
/// arrives. Tasks in excess of the slots of a worker wait there and are served
/// first come, first served.
enum class WorkerSelection : uint8_t { Random, RoundRobin, LeastOutstanding };

/// Simulates three VMs that select workers without knowledge of each other's
/// tasks, with message delays. The first \p Stragglers workers become 10 times
/// slower at \p FaultStart.
SimulationOutcome simulateBaseline(const Trace &Jobs, WorkerSelection Kind,
                                   uint64_t Seed, uint32_t Stragglers = 0,
                                   Duration FaultStart = Duration::max());

} // namespace sapphiremoor::bench

#endif // SAPPHIREMOOR_BENCH_DECISIONS_BASELINES_H
