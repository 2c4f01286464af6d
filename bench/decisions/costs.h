#ifndef SAPPHIREMOOR_BENCH_DECISIONS_COSTS_H
#define SAPPHIREMOOR_BENCH_DECISIONS_COSTS_H

#include <cstdint>

namespace sapphiremoor::bench {

/// Processor time per task start of all placement decisions (admission,
/// queueing, choice of the worker, end of the task), with 50 and with 940
/// workers and all slots busy.
struct DecisionCosts {
  double Workers50Us = 0;
  double Workers940Us = 0;
};

/// Measures both numbers of workers in turn, several times, and returns the
/// least time of each.
DecisionCosts measureDecisionCosts();

/// Returns the processor time per task, in microseconds, of cancelling 10,000
/// queued tasks in jobs of \p TasksPerJob. It includes the time in which the
/// entries of the dropped jobs are later skipped in the queue.
double measureCancelMicroseconds(uint32_t TasksPerJob);

} // namespace sapphiremoor::bench

#endif // SAPPHIREMOOR_BENCH_DECISIONS_COSTS_H
