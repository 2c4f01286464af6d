#include "trace.h"

#include "framework/core/random.h"

#include <algorithm>
#include <cmath>

namespace sapphiremoor::bench {

namespace {

constexpr double MostTasks = 1'600;
constexpr double TailShare = 0.02;

double uniform(Random &Generator) {
  return static_cast<double>(Generator() >> 11) * 0x1.0p-53;
}

double logUniform(Random &Generator, double Least, double Most) {
  return Least * std::pow(Most / Least, uniform(Generator));
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
  return static_cast<std::size_t>(logUniform(Generator, 2, MostTasks + 1));
}

Trace generateStream(const Stream &Source, Duration Length, Random &Generator) {
  const double Wanted =
      Source.Load * SlotCount * static_cast<double>(Length.count());
  Trace Jobs;
  double Work = 0;
  double Clock = 0;
  while (Work < Wanted) {
    TraceJob Job;
    Job.Team = Source.Team;
    Job.RunTimes.resize(drawTaskCount(Generator, Source.SingleShare));
    for (Duration &RunTime : Job.RunTimes) {
      RunTime = drawRunTime(Generator);
      Work += static_cast<double>(RunTime.count());
    }
    Clock += -std::log(1 - uniform(Generator));
    Job.Arrival = Duration{static_cast<int64_t>(Clock * 1e6)};
    Jobs.push_back(std::move(Job));
  }
  const double Scale = Work / (Source.Load * SlotCount) / (Clock * 1e6);
  for (TraceJob &Job : Jobs)
    Job.Arrival = Duration{
        static_cast<int64_t>(static_cast<double>(Job.Arrival.count()) * Scale)};
  return Jobs;
}

} // namespace

Trace generateTrace(const std::vector<Stream> &Streams, Duration Length,
                    uint64_t Seed) {
  Trace All;
  for (const Stream &Source : Streams) {
    // A stream does not depend on which other streams there are.
    Random Generator(Seed * 1'000 + Source.Team);
    std::ranges::move(generateStream(Source, Length, Generator),
                      std::back_inserter(All));
  }
  std::ranges::stable_sort(All, {}, &TraceJob::Arrival);
  return All;
}

void setDeadlines(Trace &Jobs, Duration Least, Duration Most, uint64_t Seed) {
  Random Generator(Seed);
  for (TraceJob &Job : Jobs)
    Job.Deadline =
        Least +
        Duration{static_cast<int64_t>(
            uniform(Generator) * static_cast<double>((Most - Least).count()))};
}

std::vector<Stream> equalStreams(uint32_t TeamCount, double Load,
                                 double SingleShare) {
  std::vector<Stream> Streams;
  for (uint32_t Team = 0; Team < TeamCount; ++Team)
    Streams.push_back({Team, Load / TeamCount, SingleShare});
  return Streams;
}

} // namespace sapphiremoor::bench
