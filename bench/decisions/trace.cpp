#include "trace.h"

#include "framework/core/random.h"

#include <algorithm>
#include <cmath>

namespace sapphiremoor::bench {

namespace {

constexpr double MaxTasksPerJob = 1'600;
constexpr double TailShare = 0.02;

double uniform(Random &Generator) {
  return static_cast<double>(Generator() >> 11) * 0x1.0p-53;
}

double logUniform(Random &Generator, double Min, double Max) {
  return Min * std::pow(Max / Min, uniform(Generator));
}

Duration drawRunTime(Random &Generator) {
  const bool Tail = uniform(Generator) < TailShare;
  const double Seconds =
      Tail ? logUniform(Generator, 1.0, 6.0) : logUniform(Generator, 0.05, 1.0);
  return Duration{static_cast<int64_t>(Seconds * 1e6)};
}

std::size_t drawTaskCount(Random &Generator, double SingleShare) {
  if (uniform(Generator) < SingleShare)
    return 1;
  return static_cast<std::size_t>(logUniform(Generator, 2, MaxTasksPerJob + 1));
}

Trace generateStream(const ArrivalStream &Stream, Duration Length,
                     Random &Generator) {
  const double TargetWorkUs =
      Stream.Load * SlotCount * static_cast<double>(Length.count());
  Trace Jobs;
  double WorkUs = 0;
  double ElapsedSeconds = 0;
  while (WorkUs < TargetWorkUs) {
    TraceJob Job;
    Job.Team = Stream.Team;
    Job.RunTimes.resize(drawTaskCount(Generator, Stream.SingleShare));
    for (Duration &RunTime : Job.RunTimes) {
      RunTime = drawRunTime(Generator);
      WorkUs += static_cast<double>(RunTime.count());
    }
    ElapsedSeconds += -std::log(1 - uniform(Generator));
    Job.Arrival = Duration{static_cast<int64_t>(ElapsedSeconds * 1e6)};
    Jobs.push_back(std::move(Job));
  }
  const double Scale =
      WorkUs / (Stream.Load * SlotCount) / (ElapsedSeconds * 1e6);
  for (TraceJob &Job : Jobs)
    Job.Arrival = Duration{
        static_cast<int64_t>(static_cast<double>(Job.Arrival.count()) * Scale)};
  return Jobs;
}

} // namespace

Trace generateTrace(const std::vector<ArrivalStream> &Streams, Duration Length,
                    uint64_t Seed) {
  Trace Jobs;
  for (const ArrivalStream &Stream : Streams) {
    // Each stream has a seed of its own, so that its jobs do not depend on
    // which other streams there are.
    Random Generator(Seed * 1'000 + Stream.Team);
    std::ranges::move(generateStream(Stream, Length, Generator),
                      std::back_inserter(Jobs));
  }
  std::ranges::stable_sort(Jobs, {}, &TraceJob::Arrival);
  return Jobs;
}

void setDeadlines(Trace &Jobs, Duration MinDeadline, Duration MaxDeadline,
                  uint64_t Seed) {
  Random Generator(Seed);
  for (TraceJob &Job : Jobs)
    Job.Deadline =
        MinDeadline +
        Duration{static_cast<int64_t>(
            uniform(Generator) *
            static_cast<double>((MaxDeadline - MinDeadline).count()))};
}

std::vector<ArrivalStream> makeEqualStreams(uint32_t TeamCount, double Load,
                                            double SingleShare) {
  std::vector<ArrivalStream> Streams;
  for (uint32_t Team = 0; Team < TeamCount; ++Team)
    Streams.push_back({Team, Load / TeamCount, SingleShare});
  return Streams;
}

} // namespace sapphiremoor::bench
