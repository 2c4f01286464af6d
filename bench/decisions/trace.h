#ifndef SAPPHIREMOOR_BENCH_DECISIONS_TRACE_H
#define SAPPHIREMOOR_BENCH_DECISIONS_TRACE_H

/// \file
/// Generated workload: jobs of 1 to 1,600 tasks with Poisson arrivals. Run
/// times are log-uniform from 50 ms to 1 s, except for 2 % that are log-uniform
/// from 1 to 6 s.

#include "framework/core/time.h"

#include <cstdint>
#include <vector>

namespace sapphiremoor::bench {

inline constexpr uint32_t WorkerCount = 50;
inline constexpr uint32_t SlotsPerWorker = 8;
inline constexpr uint32_t WorkersPerRack = 8;
inline constexpr uint32_t SlotCount = WorkerCount * SlotsPerWorker;
/// Delay of a message between any two machines.
inline constexpr Duration OneWayDelay{1'000};
inline constexpr int64_t StragglerSlowdown = 10;

/// One job of a trace.
struct TraceJob {
  Duration Arrival{0};
  uint32_t Team = 0;
  Duration Deadline = Duration::max();
  std::vector<Duration> RunTimes;

  bool single() const { return RunTimes.size() == 1; }
};

using Trace = std::vector<TraceJob>;

/// The jobs that one team sends.
struct ArrivalStream {
  uint32_t Team = 0;
  /// Sum of the run times, as a share of the capacity of all slots.
  double Load = 0;
  /// Share of the jobs that are single requests.
  double SingleShare = 0.5;
};

/// Generates the jobs of all streams for the time \p Length, ordered by
/// arrival. Arrival times are scaled so that each stream has exactly its load.
Trace generateTrace(const std::vector<ArrivalStream> &Streams, Duration Length,
                    uint64_t Seed);

/// Gives each job a deadline between \p MinDeadline and \p MaxDeadline after
/// its arrival.
void setDeadlines(Trace &Jobs, Duration MinDeadline, Duration MaxDeadline,
                  uint64_t Seed);

/// Returns \p TeamCount streams that share \p Load equally.
std::vector<ArrivalStream> makeEqualStreams(uint32_t TeamCount, double Load,
                                            double SingleShare = 0.5);

} // namespace sapphiremoor::bench

#endif // SAPPHIREMOOR_BENCH_DECISIONS_TRACE_H
