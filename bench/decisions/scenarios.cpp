#include "scenarios.h"
#include "baselines.h"
#include "simulation.h"

#include <algorithm>
#include <numeric>

namespace sapphiremoor::bench {

namespace {

constexpr Duration Length{300'000'000};
constexpr Duration WarmUp{30'000'000};
constexpr Duration FaultsAt{60'000'000};
constexpr uint32_t TeamCount = 8;
constexpr uint32_t KilledCount = 3;
constexpr uint32_t FailAllCount = 2;
constexpr uint32_t StragglerCount = 3;
constexpr uint32_t HealthySlots =
    SlotCount - (KilledCount + FailAllCount + StragglerCount) * SlotsPerWorker;

double meanOf(const std::vector<Duration> &Values) {
  const Duration Sum =
      std::accumulate(Values.begin(), Values.end(), Duration{0});
  return static_cast<double>(Sum.count()) / static_cast<double>(Values.size());
}

double percentile99(std::vector<Duration> Values) {
  const auto Rank = static_cast<std::ptrdiff_t>(Values.size() * 99 / 100);
  std::ranges::nth_element(Values, Values.begin() + Rank);
  return static_cast<double>(Values[static_cast<std::size_t>(Rank)].count());
}

/// Responses of the same jobs under a policy and in the ideal queue.
struct Pair {
  std::vector<Duration> Measured;
  std::vector<Duration> Ideal;

  void add(const Trace &Jobs, const RunOutcome &Run, const RunOutcome &Best,
           Duration From) {
    for (std::size_t Job = 0; Job < Jobs.size(); ++Job) {
      if (Jobs[Job].Arrival < From || Run.Jobs[Job].End != JobEnd::Complete)
        continue;
      Measured.push_back(Run.Jobs[Job].Response);
      Ideal.push_back(Best.Jobs[Job].Response);
    }
  }
};

RunOutcome runPolicy(const Trace &Jobs, Policy Kind, uint64_t Seed,
                     uint32_t Stragglers) {
  switch (Kind) {
  case Policy::Random:
    return runBaseline(Jobs, Choice::Random, Seed, Stragglers, FaultsAt);
  case Policy::RoundRobin:
    return runBaseline(Jobs, Choice::RoundRobin, Seed, Stragglers, FaultsAt);
  case Policy::LeastOutstanding:
    return runBaseline(Jobs, Choice::LeastOutstanding, Seed, Stragglers,
                       FaultsAt);
  case Policy::Placement:
  case Policy::PlacementOneTeam:
    break;
  }
  SimulationSetup Setup{.TeamCount = TeamCount};
  Setup.FaultsAt = FaultsAt;
  Setup.Stragglers = Stragglers;
  return Simulation(Jobs, Setup).run();
}

ResponseRatio compare(const SeedList &Seeds, Policy Kind, double Load,
                      uint32_t Stragglers, Duration From) {
  const uint32_t IdealSlots = SlotCount - Stragglers * SlotsPerWorker;
  const uint32_t Teams = Kind == Policy::PlacementOneTeam ? 1 : TeamCount;
  Pair Responses;
  for (const uint64_t Seed : Seeds) {
    const Trace Jobs = generateTrace(equalStreams(Teams, Load), Length, Seed);
    Responses.add(Jobs, runPolicy(Jobs, Kind, Seed, Stragglers),
                  runIdeal(Jobs, IdealSlots), From);
  }
  return {meanOf(Responses.Measured) / meanOf(Responses.Ideal),
          percentile99(Responses.Measured) / percentile99(Responses.Ideal)};
}

/// Sums over the runs of all seeds.
struct Sums {
  double Messages = 0;
  double Answered = 0;
  double Hedges = 0;
  double Refusals = 0;
  double Jobs = 0;
  double Completed = 0;
  double Tasks = 0;
  double CompletedTasks = 0;
  uint64_t Repeated = 0;

  void add(const Trace &Traced, const RunOutcome &Run) {
    for (std::size_t Job = 0; Job < Traced.size(); ++Job) {
      const auto Count = static_cast<double>(Traced[Job].RunTimes.size());
      Tasks += Count;
      if (Run.Jobs[Job].End == JobEnd::Complete)
        CompletedTasks += Count;
    }
    Messages += static_cast<double>(Run.Messages);
    Answered += static_cast<double>(Run.AnsweredTasks);
    Hedges += static_cast<double>(Run.Hedges);
    Refusals += static_cast<double>(Run.Refusals);
    Jobs += static_cast<double>(Run.Jobs.size());
    Completed += static_cast<double>(
        std::ranges::count(Run.Jobs, JobEnd::Complete, &JobOutcome::End));
    Repeated += Run.RepeatedStarts;
  }
};

SimulationSetup faultySetup(ServiceWeight Weight) {
  return {.Weight = Weight,
          .TeamCount = TeamCount,
          .FaultsAt = FaultsAt,
          .Killed = KilledCount,
          .FailAll = FailAllCount,
          .Stragglers = StragglerCount};
}

WasteFigures measureWaste(const SeedList &Seeds, const SimulationSetup &Setup,
                          const std::vector<Stream> &Streams,
                          uint32_t IdealSlots, Duration From) {
  Sums Total;
  Pair Responses;
  for (const uint64_t Seed : Seeds) {
    const Trace Jobs = generateTrace(Streams, Length, Seed);
    const RunOutcome Run = Simulation(Jobs, Setup).run();
    Total.add(Jobs, Run);
    Responses.add(Jobs, Run, runIdeal(Jobs, IdealSlots), From);
  }
  return {.PerTask = (Total.Messages - 2 * Total.Answered) / Total.Answered,
          .Hedges = 2 * Total.Hedges / Total.Answered,
          .Refusals = 2 * Total.Refusals / Total.Answered,
          .MeanRatio = meanOf(Responses.Measured) / meanOf(Responses.Ideal),
          .Completed = Total.Completed / Total.Jobs,
          .CompletedTasks = Total.CompletedTasks / Total.Tasks,
          .RepeatedStarts = Total.Repeated};
}

/// Responses of one team: before the end of the warm-up and after it.
struct TeamResponses {
  std::vector<Duration> Early;
  std::vector<Duration> Late;

  void add(const Trace &Jobs, const RunOutcome &Run, uint32_t Team) {
    for (std::size_t Job = 0; Job < Jobs.size(); ++Job)
      if (Jobs[Job].Team == Team && Run.Jobs[Job].End == JobEnd::Complete)
        (Jobs[Job].Arrival < WarmUp ? Early : Late)
            .push_back(Run.Jobs[Job].Response);
  }
};

} // namespace

ResponseRatio responseAtLoad(const SeedList &Seeds, Policy Kind, double Load) {
  return compare(Seeds, Kind, Load, 0, WarmUp);
}

ResponseRatio responseWithStragglers(const SeedList &Seeds, Policy Kind) {
  return compare(Seeds, Kind, 0.7, StragglerCount, FaultsAt);
}

WasteFigures wasteHealthy(const SeedList &Seeds, ServiceWeight Weight) {
  return measureWaste(Seeds, {.Weight = Weight, .TeamCount = TeamCount},
                      equalStreams(TeamCount, 0.9), SlotCount, WarmUp);
}

WasteFigures wasteFaulty(const SeedList &Seeds, ServiceWeight Weight) {
  return measureWaste(Seeds, faultySetup(Weight), equalStreams(TeamCount, 0.7),
                      HealthySlots, FaultsAt);
}

WasteFigures wasteOfRequests(const SeedList &Seeds, bool Faulty) {
  const std::vector<Stream> Streams = equalStreams(TeamCount, 0.7, 1.0);
  if (Faulty)
    return measureWaste(Seeds, faultySetup(ServiceWeight::ResponseTime),
                        Streams, HealthySlots, FaultsAt);
  return measureWaste(Seeds, {.TeamCount = TeamCount}, Streams, SlotCount,
                      WarmUp);
}

TakeoverFigures takeover(const SeedList &Seeds, bool AssumeBusySlots) {
  TakeoverFigures Figures;
  for (const uint64_t Seed : Seeds) {
    Trace Jobs = generateTrace(equalStreams(TeamCount, 0.9), WarmUp, Seed);
    // The callers of the lost dispatcher come back at once.
    for (TraceJob &Job : Jobs)
      Job.Arrival = std::max(Job.Arrival - WarmUp / 3, Duration{0});
    SimulationSetup Setup{.TeamCount = TeamCount};
    Setup.Takeover = true;
    Setup.AssumeBusySlots = AssumeBusySlots;
    const RunOutcome Run = Simulation(Jobs, Setup).run();
    Figures.Refusals += Run.Refusals;
    Figures.FailedJobs += static_cast<uint64_t>(
        std::ranges::count(Run.Jobs, JobEnd::Failed, &JobOutcome::End));
  }
  return Figures;
}

OverloadFigures overload(const SeedList &Seeds) {
  OverloadFigures Figures;
  double Accepted = 0;
  double InTime = 0;
  double All = 0;
  double Work = 0;
  for (const uint64_t Seed : Seeds) {
    Trace Jobs = generateTrace(equalStreams(TeamCount, 2.0), Length, Seed);
    setDeadlines(Jobs, Duration{10'000'000}, Duration{30'000'000}, Seed);
    const RunOutcome Run = Simulation(Jobs, {.TeamCount = TeamCount}).run();
    Figures.StartsOfRefused += Run.StartsOfRefused;
    for (std::size_t Index = 0; Index < Jobs.size(); ++Index) {
      const JobOutcome &Job = Run.Jobs[Index];
      const Duration End = Jobs[Index].Arrival + Job.Response;
      const bool Good =
          Job.End == JobEnd::Complete && Job.Response <= Jobs[Index].Deadline;
      // Goodput counts what ends inside the steady part of the run.
      if (Good && End >= WarmUp && End < Length)
        for (const Duration RunTime : Jobs[Index].RunTimes)
          Work += static_cast<double>(RunTime.count());
      if (Jobs[Index].Arrival < WarmUp)
        continue;
      All += 1;
      Accepted += Job.End == JobEnd::Refused ? 0 : 1;
      InTime += Good ? 1 : 0;
      if (Job.End == JobEnd::Refused)
        Figures.SlowestRefusalMs =
            std::max(Figures.SlowestRefusalMs,
                     static_cast<double>(Job.Response.count()) / 1e3);
    }
  }
  Figures.Goodput = Work / (static_cast<double>(Seeds.size()) * SlotCount *
                            static_cast<double>((Length - WarmUp).count()));
  Figures.InTime = InTime / Accepted;
  Figures.Refused = 1 - Accepted / All;
  return Figures;
}

FairnessFigures fairness(const SeedList &Seeds, double OthersLoad) {
  constexpr uint32_t Teams = 10;
  constexpr double Quota = 1.0 / Teams;
  TeamResponses Alone;
  TeamResponses Flooded;
  for (const uint64_t Seed : Seeds) {
    std::vector<Stream> Streams{{0, 0.9 * Quota}};
    for (uint32_t Team = 2; Team < Teams && OthersLoad > 0; ++Team)
      Streams.push_back({Team, OthersLoad * Quota});
    const Trace Without = generateTrace(Streams, Length, Seed);
    Streams.push_back({1, 10 * Quota});
    const Trace With = generateTrace(Streams, Length, Seed);
    const SimulationSetup Setup{.TeamCount = Teams};
    Alone.add(Without, Simulation(Without, Setup).run(), 0);
    Flooded.add(With, Simulation(With, Setup).run(), 0);
  }
  return {percentile99(Alone.Late) / 1e3, percentile99(Flooded.Late) / 1e3,
          meanOf(Flooded.Early) / meanOf(Alone.Early)};
}

} // namespace sapphiremoor::bench
