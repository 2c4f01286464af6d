#ifndef SAPPHIREMOOR_BENCH_DECISIONS_SCENARIOS_H
#define SAPPHIREMOOR_BENCH_DECISIONS_SCENARIOS_H

/// \file
/// The measurements of the benchmark.

#include "outcome.h"
#include "trace.h"

#include "placement/types/servicespec.h"

#include <cstdint>
#include <vector>

namespace sapphiremoor::bench {

/// Seeds of the traces; the figures pool the runs of all of them.
using SeedList = std::vector<uint64_t>;

enum class Policy : uint8_t {
  Random,
  RoundRobin,
  LeastOutstanding,
  Placement,
  /// Placement with a single team: its queue has the order of the ideal one.
  PlacementOneTeam
};

/// Response over that of the ideal queue.
struct ResponseRatio {
  double Mean = 0;
  double P99 = 0;
};

ResponseRatio measureResponseAtLoad(const SeedList &Seeds, Policy Kind,
                                    double Load);

/// At 70 % load with 3 stragglers, over the ideal queue of the other workers.
ResponseRatio measureResponseWithStragglers(const SeedList &Seeds, Policy Kind);

struct WasteFigures {
  double WastedPerTask = 0;
  /// Start or answer messages of hedges and of refused starts, per task.
  double HedgesPerTask = 0;
  double RefusedStartsPerTask = 0;
  /// Mean response of the completed jobs over the ideal queue of the healthy
  /// workers, and the parts of all jobs and of all tasks in completed jobs.
  double MeanResponseRatio = 0;
  double CompletedJobShare = 0;
  double CompletedTaskShare = 0;
  uint64_t RepeatedStarts = 0;
};

WasteFigures measureHealthyWaste(const SeedList &Seeds, ServiceWeight Weight);
/// 3 workers killed, 2 failing everything, 3 stragglers, at 70 % load.
WasteFigures measureFaultyWaste(const SeedList &Seeds, ServiceWeight Weight);
/// The same two with single requests only, weight response time, 70 % load.
WasteFigures measureRequestWaste(const SeedList &Seeds, bool Faulty);

struct TakeoverFigures {
  uint64_t RefusedStarts = 0;
  uint64_t FailedJobs = 0;
};

/// A dispatcher takes over at 90 % load while all slots are still busy.
TakeoverFigures measureTakeover(const SeedList &Seeds, bool AssumeBusySlots);

struct OverloadFigures {
  /// Run time of jobs completed in time, as part of the capacity.
  double Goodput = 0;
  double InTimeShare = 0;
  double RefusedShare = 0;
  double SlowestRefusalMs = 0;
  uint64_t StartsOfRefusedJobs = 0;
};

/// Twice the capacity, deadlines of 10 to 30 s.
OverloadFigures measureOverload(const SeedList &Seeds);

struct FairnessFigures {
  double P99AloneMs = 0;
  double P99FloodedMs = 0;
  /// Mean response in the first 30 s of the flood over that without it. All
  /// teams start with their saved quota.
  double OnsetRatio = 0;
};

/// A team at 90 % of its quota of a tenth, while another sends 10 times its
/// quota. The other eight teams send \p OtherTeamsLoad of their quotas.
FairnessFigures measureFairness(const SeedList &Seeds, double OtherTeamsLoad);

} // namespace sapphiremoor::bench

#endif // SAPPHIREMOOR_BENCH_DECISIONS_SCENARIOS_H
