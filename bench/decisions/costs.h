#ifndef SAPPHIREMOOR_BENCH_DECISIONS_COSTS_H
#define SAPPHIREMOOR_BENCH_DECISIONS_COSTS_H

#include <cstdint>

namespace sapphiremoor::bench {

/// Processor time in microseconds of all decisions per task start (admission,
/// queueing, choice, end) with all slots busy.
struct DecisionCosts {
  double Workers50Us = 0;
  double Workers940Us = 0;
};

/// Measures both sizes in turn and takes the least of each.
DecisionCosts measureDecisionCosts();

/// Returns the microseconds per task of cancelling 10,000 queued tasks in jobs
/// of \p TasksPerJob, including the later skip of the dropped entries.
double measureCancelMicroseconds(uint32_t TasksPerJob);

} // namespace sapphiremoor::bench

#endif // SAPPHIREMOOR_BENCH_DECISIONS_COSTS_H
