#ifndef SAPPHIREMOOR_BENCH_DECISIONS_BASELINES_H
#define SAPPHIREMOOR_BENCH_DECISIONS_BASELINES_H

#include "outcome.h"
#include "trace.h"

namespace sapphiremoor::bench {

/// One first-come-first-served queue over \p Slots healthy slots, with perfect
/// knowledge and without delays.
SimulationOutcome simulateIdealQueue(const Trace &Jobs, uint32_t Slots);

/// How a VM picks a worker for each task of a job as soon as it arrives. The
/// tasks beyond the slots queue first-come-first-served at the worker.
enum class WorkerSelection : uint8_t { Random, RoundRobin, LeastOutstanding };

/// Three VMs that share no knowledge, with message delays.
/// The first \p Stragglers workers become 10 times slower at \p FaultStart.
SimulationOutcome simulateBaseline(const Trace &Jobs, WorkerSelection Kind,
                                   uint64_t Seed, uint32_t Stragglers = 0,
                                   Duration FaultStart = Duration::max());

} // namespace sapphiremoor::bench

#endif // SAPPHIREMOOR_BENCH_DECISIONS_BASELINES_H
