#ifndef SAPPHIREMOOR_BENCH_DECISIONS_OUTCOME_H
#define SAPPHIREMOOR_BENCH_DECISIONS_OUTCOME_H

#include "trace.h"

#include <cstdint>
#include <vector>

namespace sapphiremoor::bench {

enum class JobStatus : uint8_t { Open, Complete, Failed, Refused };

/// The outcome of one job as its caller sees it.
struct JobOutcome {
  JobStatus Status = JobStatus::Open;
  Duration ResponseTime{0};
};

/// The outcome of a simulated trace. Jobs has the same indexes as the trace.
struct SimulationOutcome {
  std::vector<JobOutcome> Jobs;
  /// Start messages and answers.
  uint64_t Messages = 0;
  /// Tasks that were answered, each counted once.
  uint64_t AnsweredTasks = 0;
  uint64_t Starts = 0;
  uint64_t Hedges = 0;
  uint64_t RefusedStarts = 0;
  /// Starts of tasks that had started before, without single requests.
  uint64_t RepeatedStarts = 0;
  uint64_t StartsOfRefusedJobs = 0;
};

} // namespace sapphiremoor::bench

#endif // SAPPHIREMOOR_BENCH_DECISIONS_OUTCOME_H
