#include "scenarios.h"
#include "baselines.h"
#include "simulation.h"

#include <algorithm>
#include <numeric>

namespace sapphiremoor::bench {

namespace {

constexpr Duration TraceLength{300'000'000};
constexpr Duration WarmUp{30'000'000};
constexpr Duration FaultStart{60'000'000};
constexpr uint32_t TeamCount = 8;
constexpr uint32_t KilledCount = 3;
constexpr uint32_t FailingCount = 2;
constexpr uint32_t StragglerCount = 3;
constexpr uint32_t HealthySlots =
    SlotCount - (KilledCount + FailingCount + StragglerCount) * SlotsPerWorker;

double mean(const std::vector<Duration> &Values) {
  const Duration Sum =
      std::accumulate(Values.begin(), Values.end(), Duration{0});
  return static_cast<double>(Sum.count()) / static_cast<double>(Values.size());
}

double percentile99(std::vector<Duration> Values) {
  const auto Rank = static_cast<std::ptrdiff_t>(Values.size() * 99 / 100);
  std::ranges::nth_element(Values, Values.begin() + Rank);
  return static_cast<double>(Values[static_cast<std::size_t>(Rank)].count());
}

/// Response times of the same jobs under a policy and in the ideal queue.
struct ResponsePairs {
  std::vector<Duration> Measured;
  std::vector<Duration> Ideal;

  void add(const Trace &Jobs, const SimulationOutcome &Outcome,
           const SimulationOutcome &IdealOutcome, Duration WindowStart) {
    for (std::size_t Job = 0; Job < Jobs.size(); ++Job) {
      if (Jobs[Job].Arrival < WindowStart ||
          Outcome.Jobs[Job].Status != JobStatus::Complete)
        continue;
      Measured.push_back(Outcome.Jobs[Job].ResponseTime);
      Ideal.push_back(IdealOutcome.Jobs[Job].ResponseTime);
    }
  }
};

SimulationOutcome runPolicy(const Trace &Jobs, Policy Kind, uint64_t Seed,
                            uint32_t Stragglers) {
  switch (Kind) {
  case Policy::Random:
    return simulateBaseline(Jobs, WorkerSelection::Random, Seed, Stragglers,
                            FaultStart);
  case Policy::RoundRobin:
    return simulateBaseline(Jobs, WorkerSelection::RoundRobin, Seed, Stragglers,
                            FaultStart);
  case Policy::LeastOutstanding:
    return simulateBaseline(Jobs, WorkerSelection::LeastOutstanding, Seed,
                            Stragglers, FaultStart);
  case Policy::Placement:
  case Policy::PlacementOneTeam:
    break;
  }
  SimulationSetup Setup{.TeamCount = TeamCount};
  Setup.FaultStart = FaultStart;
  Setup.Stragglers = Stragglers;
  return Simulation(Jobs, Setup).run();
}

ResponseRatio measureResponse(const SeedList &Seeds, Policy Kind, double Load,
                              uint32_t Stragglers, Duration WindowStart) {
  const uint32_t IdealSlots = SlotCount - Stragglers * SlotsPerWorker;
  const uint32_t Teams = Kind == Policy::PlacementOneTeam ? 1 : TeamCount;
  ResponsePairs Responses;
  for (const uint64_t Seed : Seeds) {
    const Trace Jobs =
        generateTrace(makeEqualStreams(Teams, Load), TraceLength, Seed);
    Responses.add(Jobs, runPolicy(Jobs, Kind, Seed, Stragglers),
                  simulateIdealQueue(Jobs, IdealSlots), WindowStart);
  }
  return {mean(Responses.Measured) / mean(Responses.Ideal),
          percentile99(Responses.Measured) / percentile99(Responses.Ideal)};
}

/// Sums over the simulations of all seeds.
struct WasteTotals {
  double Messages = 0;
  double AnsweredTasks = 0;
  double Hedges = 0;
  double RefusedStarts = 0;
  double Jobs = 0;
  double CompletedJobs = 0;
  double Tasks = 0;
  double CompletedTasks = 0;
  uint64_t RepeatedStarts = 0;

  void add(const Trace &Traced, const SimulationOutcome &Outcome) {
    for (std::size_t Job = 0; Job < Traced.size(); ++Job) {
      const auto Count = static_cast<double>(Traced[Job].RunTimes.size());
      Tasks += Count;
      if (Outcome.Jobs[Job].Status == JobStatus::Complete)
        CompletedTasks += Count;
    }
    Messages += static_cast<double>(Outcome.Messages);
    AnsweredTasks += static_cast<double>(Outcome.AnsweredTasks);
    Hedges += static_cast<double>(Outcome.Hedges);
    RefusedStarts += static_cast<double>(Outcome.RefusedStarts);
    Jobs += static_cast<double>(Outcome.Jobs.size());
    CompletedJobs += static_cast<double>(std::ranges::count(
        Outcome.Jobs, JobStatus::Complete, &JobOutcome::Status));
    RepeatedStarts += Outcome.RepeatedStarts;
  }
};

SimulationSetup makeFaultySetup(ServiceWeight Weight) {
  return {.Weight = Weight,
          .TeamCount = TeamCount,
          .FaultStart = FaultStart,
          .KilledWorkers = KilledCount,
          .FailingWorkers = FailingCount,
          .Stragglers = StragglerCount};
}

WasteFigures measureWaste(const SeedList &Seeds, const SimulationSetup &Setup,
                          const std::vector<ArrivalStream> &Streams,
                          uint32_t IdealSlots, Duration WindowStart) {
  WasteTotals Totals;
  ResponsePairs Responses;
  for (const uint64_t Seed : Seeds) {
    const Trace Jobs = generateTrace(Streams, TraceLength, Seed);
    const SimulationOutcome Outcome = Simulation(Jobs, Setup).run();
    Totals.add(Jobs, Outcome);
    Responses.add(Jobs, Outcome, simulateIdealQueue(Jobs, IdealSlots),
                  WindowStart);
  }
  return {.WastedPerTask = (Totals.Messages - 2 * Totals.AnsweredTasks) /
                           Totals.AnsweredTasks,
          .HedgesPerTask = 2 * Totals.Hedges / Totals.AnsweredTasks,
          .RefusedStartsPerTask =
              2 * Totals.RefusedStarts / Totals.AnsweredTasks,
          .MeanResponseRatio = mean(Responses.Measured) / mean(Responses.Ideal),
          .CompletedJobShare = Totals.CompletedJobs / Totals.Jobs,
          .CompletedTaskShare = Totals.CompletedTasks / Totals.Tasks,
          .RepeatedStarts = Totals.RepeatedStarts};
}

/// Response times of the jobs of one team that arrive during the warm-up and
/// after it.
struct TeamResponses {
  std::vector<Duration> DuringWarmUp;
  std::vector<Duration> AfterWarmUp;

  void add(const Trace &Jobs, const SimulationOutcome &Outcome, uint32_t Team) {
    for (std::size_t Job = 0; Job < Jobs.size(); ++Job)
      if (Jobs[Job].Team == Team &&
          Outcome.Jobs[Job].Status == JobStatus::Complete)
        (Jobs[Job].Arrival < WarmUp ? DuringWarmUp : AfterWarmUp)
            .push_back(Outcome.Jobs[Job].ResponseTime);
  }
};

} // namespace

ResponseRatio measureResponseAtLoad(const SeedList &Seeds, Policy Kind,
                                    double Load) {
  return measureResponse(Seeds, Kind, Load, 0, WarmUp);
}

ResponseRatio measureResponseWithStragglers(const SeedList &Seeds,
                                            Policy Kind) {
  return measureResponse(Seeds, Kind, 0.7, StragglerCount, FaultStart);
}

WasteFigures measureHealthyWaste(const SeedList &Seeds, ServiceWeight Weight) {
  return measureWaste(Seeds, {.Weight = Weight, .TeamCount = TeamCount},
                      makeEqualStreams(TeamCount, 0.9), SlotCount, WarmUp);
}

WasteFigures measureFaultyWaste(const SeedList &Seeds, ServiceWeight Weight) {
  return measureWaste(Seeds, makeFaultySetup(Weight),
                      makeEqualStreams(TeamCount, 0.7), HealthySlots,
                      FaultStart);
}

WasteFigures measureRequestWaste(const SeedList &Seeds, bool Faulty) {
  const std::vector<ArrivalStream> Streams =
      makeEqualStreams(TeamCount, 0.7, 1.0);
  if (Faulty)
    return measureWaste(Seeds, makeFaultySetup(ServiceWeight::ResponseTime),
                        Streams, HealthySlots, FaultStart);
  return measureWaste(Seeds, {.TeamCount = TeamCount}, Streams, SlotCount,
                      WarmUp);
}

TakeoverFigures measureTakeover(const SeedList &Seeds, bool AssumeBusySlots) {
  TakeoverFigures Figures;
  for (const uint64_t Seed : Seeds) {
    Trace Jobs = generateTrace(makeEqualStreams(TeamCount, 0.9), WarmUp, Seed);
    // All callers of the lost dispatcher return at once: the jobs of the first
    // 10 s arrive at the start.
    for (TraceJob &Job : Jobs)
      Job.Arrival = std::max(Job.Arrival - WarmUp / 3, Duration{0});
    SimulationSetup Setup{.TeamCount = TeamCount};
    Setup.Takeover = true;
    Setup.AssumeBusySlots = AssumeBusySlots;
    const SimulationOutcome Outcome = Simulation(Jobs, Setup).run();
    Figures.RefusedStarts += Outcome.RefusedStarts;
    Figures.FailedJobs += static_cast<uint64_t>(std::ranges::count(
        Outcome.Jobs, JobStatus::Failed, &JobOutcome::Status));
  }
  return Figures;
}

OverloadFigures measureOverload(const SeedList &Seeds) {
  OverloadFigures Figures;
  double AcceptedCount = 0;
  double InTimeCount = 0;
  double JobCount = 0;
  double InTimeWorkUs = 0;
  for (const uint64_t Seed : Seeds) {
    Trace Jobs =
        generateTrace(makeEqualStreams(TeamCount, 2.0), TraceLength, Seed);
    setDeadlines(Jobs, Duration{10'000'000}, Duration{30'000'000}, Seed);
    const SimulationOutcome Outcome =
        Simulation(Jobs, {.TeamCount = TeamCount}).run();
    Figures.StartsOfRefusedJobs += Outcome.StartsOfRefusedJobs;
    for (std::size_t Index = 0; Index < Jobs.size(); ++Index) {
      const JobOutcome &Job = Outcome.Jobs[Index];
      const Duration End = Jobs[Index].Arrival + Job.ResponseTime;
      const bool CompletedInTime = Job.Status == JobStatus::Complete &&
                                   Job.ResponseTime <= Jobs[Index].Deadline;
      // Goodput counts the jobs that end after the warm-up and within the
      // length of the trace.
      if (CompletedInTime && End >= WarmUp && End < TraceLength)
        for (const Duration RunTime : Jobs[Index].RunTimes)
          InTimeWorkUs += static_cast<double>(RunTime.count());
      if (Jobs[Index].Arrival < WarmUp)
        continue;
      JobCount += 1;
      AcceptedCount += Job.Status == JobStatus::Refused ? 0 : 1;
      InTimeCount += CompletedInTime ? 1 : 0;
      if (Job.Status == JobStatus::Refused)
        Figures.SlowestRefusalMs =
            std::max(Figures.SlowestRefusalMs,
                     static_cast<double>(Job.ResponseTime.count()) / 1e3);
    }
  }
  Figures.Goodput =
      InTimeWorkUs / (static_cast<double>(Seeds.size()) * SlotCount *
                      static_cast<double>((TraceLength - WarmUp).count()));
  Figures.InTimeShare = InTimeCount / AcceptedCount;
  Figures.RefusedShare = 1 - AcceptedCount / JobCount;
  return Figures;
}

FairnessFigures measureFairness(const SeedList &Seeds, double OtherTeamsLoad) {
  constexpr uint32_t Teams = 10;
  constexpr double Quota = 1.0 / Teams;
  TeamResponses QuietResponses;
  TeamResponses FloodResponses;
  for (const uint64_t Seed : Seeds) {
    std::vector<ArrivalStream> Streams{{0, 0.9 * Quota}};
    for (uint32_t Team = 2; Team < Teams && OtherTeamsLoad > 0; ++Team)
      Streams.push_back({Team, OtherTeamsLoad * Quota});
    const Trace QuietTrace = generateTrace(Streams, TraceLength, Seed);
    Streams.push_back({1, 10 * Quota});
    const Trace FloodTrace = generateTrace(Streams, TraceLength, Seed);
    const SimulationSetup Setup{.TeamCount = Teams};
    QuietResponses.add(QuietTrace, Simulation(QuietTrace, Setup).run(), 0);
    FloodResponses.add(FloodTrace, Simulation(FloodTrace, Setup).run(), 0);
  }
  return {percentile99(QuietResponses.AfterWarmUp) / 1e3,
          percentile99(FloodResponses.AfterWarmUp) / 1e3,
          mean(FloodResponses.DuringWarmUp) /
              mean(QuietResponses.DuringWarmUp)};
}

} // namespace sapphiremoor::bench
