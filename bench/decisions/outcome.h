#ifndef SAPPHIREMOOR_BENCH_DECISIONS_OUTCOME_H
#define SAPPHIREMOOR_BENCH_DECISIONS_OUTCOME_H

#include "trace.h"

#include <cstdint>
#include <vector>

namespace sapphiremoor::bench {

enum class JobStatus : uint8_t { Open, Complete, Failed, Refused };

/// What became of one job, as its caller saw it.
struct JobOutcome {
  JobStatus Status = JobStatus::Open;
  Duration ResponseTime{0};
};

/// What became of a trace. Indexes are those of the trace.
struct SimulationOutcome {
  std::vector<JobOutcome> Jobs;
  /// Start and answer messages, and the tasks that were answered.
  uint64_t Messages = 0;
  uint64_t AnsweredTasks = 0;
  uint64_t Starts = 0;
  uint64_t Hedges = 0;
  uint64_t RefusedStarts = 0;
  uint64_t RepeatedStarts = 0;
  uint64_t StartsOfRefusedJobs = 0;
};

} // namespace sapphiremoor::bench

#endif // SAPPHIREMOOR_BENCH_DECISIONS_OUTCOME_H
