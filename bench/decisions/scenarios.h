#ifndef SAPPHIREMOOR_BENCH_DECISIONS_SCENARIOS_H
#define SAPPHIREMOOR_BENCH_DECISIONS_SCENARIOS_H

/// \file
/// The measurements of the benchmark. Each simulates one trace per seed.

#include "outcome.h"
#include "trace.h"

#include "placement/types/servicespec.h"

#include <cstdint>
#include <vector>

namespace sapphiremoor::bench {

/// Seeds of the traces. Each figure covers the simulations of all seeds.
using SeedList = std::vector<uint64_t>;

enum class Policy : uint8_t {
  Random,
  RoundRobin,
  LeastOutstanding,
  Placement,
  /// Placement with a single team, whose queue has the order of the ideal one.
  PlacementOneTeam
};

/// Mean and 99th percentile of the response time, each divided by that of the
/// ideal queue.
struct ResponseRatio {
  double Mean = 0;
  double P99 = 0;
};

ResponseRatio measureResponseAtLoad(const SeedList &Seeds, Policy Kind,
                                    double Load);

/// Measures at 70 % load with 3 stragglers. The ideal queue has the slots of
/// the other workers only.
ResponseRatio measureResponseWithStragglers(const SeedList &Seeds, Policy Kind);

struct WasteFigures {
  /// Messages beyond one start and one answer, per answered task.
  double WastedPerTask = 0;
  /// Start messages and answers of hedges and of refused starts, per answered
  /// task.
  double HedgesPerTask = 0;
  double RefusedStartsPerTask = 0;
  /// Mean response time of the completed jobs, divided by that of the ideal
  /// queue of the healthy workers.
  double MeanResponseRatio = 0;
  /// Shares of all jobs that completed and of all tasks in completed jobs.
  double CompletedJobShare = 0;
  double CompletedTaskShare = 0;
  uint64_t RepeatedStarts = 0;
};

/// Measures without faults, at 90 % load.
WasteFigures measureHealthyWaste(const SeedList &Seeds, ServiceWeight Weight);
/// Measures with 3 workers killed, 2 workers that fail every task and 3
/// stragglers, at 70 % load.
WasteFigures measureFaultyWaste(const SeedList &Seeds, ServiceWeight Weight);
/// Measures with single requests only and the weight response time, at 70 %
/// load, without faults or with those of measureFaultyWaste.
WasteFigures measureRequestWaste(const SeedList &Seeds, bool Faulty);

struct TakeoverFigures {
  uint64_t RefusedStarts = 0;
  uint64_t FailedJobs = 0;
};

/// Measures a dispatcher that takes over at 90 % load while all slots still run
/// tasks of its predecessor. \p AssumeBusySlots says whether placement is told.
TakeoverFigures measureTakeover(const SeedList &Seeds, bool AssumeBusySlots);

struct OverloadFigures {
  /// Run time of the jobs that completed in time, as a share of the capacity.
  double Goodput = 0;
  double InTimeShare = 0;
  double RefusedShare = 0;
  double SlowestRefusalMs = 0;
  uint64_t StartsOfRefusedJobs = 0;
};

/// Measures at twice the capacity, with deadlines of 10 to 30 s.
OverloadFigures measureOverload(const SeedList &Seeds);

struct FairnessFigures {
  double P99QuietMs = 0;
  double P99FloodMs = 0;
  /// Mean response time in the first 30 s of the flood, divided by that without
  /// the flood. All teams start with their saved quota.
  double OnsetRatio = 0;
};

/// Measures a team that sends 90 % of its quota, a tenth of the capacity, while
/// another team sends 10 times its quota. Each of the other eight teams sends
/// \p OtherTeamsLoad times its quota.
FairnessFigures measureFairness(const SeedList &Seeds, double OtherTeamsLoad);

} // namespace sapphiremoor::bench

#endif // SAPPHIREMOOR_BENCH_DECISIONS_SCENARIOS_H
