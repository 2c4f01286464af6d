/// \file
/// Benchmark of the placement decisions. Prints a Markdown table of the
/// measured figures and their targets, which are set in docs/design.md,
/// section 1.5.

#include "costs.h"
#include "scenarios.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>

namespace {

using namespace sapphiremoor;
using namespace sapphiremoor::bench;

std::string formatNumber(double Value, int Digits) {
  std::string Buffer(32, '\0');
  const int Length =
      std::snprintf(Buffer.data(), Buffer.size(), "%.*f", Digits, Value);
  Buffer.resize(static_cast<std::size_t>(Length));
  return Buffer;
}

void printRow(const std::string &Measure, const std::string &Target,
              const std::string &Measured, bool Met) {
  std::printf("| %s | %s | %s | %s |\n", Measure.c_str(), Target.c_str(),
              Measured.c_str(), Met ? "met" : "missed");
}

void printRowAtMost(const std::string &Measure, double Target, double Measured,
                    int Digits = 3) {
  printRow(Measure, "at most " + formatNumber(Target, 2),
           formatNumber(Measured, Digits), Measured <= Target);
}

void printRowAtLeast(const std::string &Measure, double Target,
                     double Measured) {
  printRow(Measure, "at least " + formatNumber(Target, 2),
           formatNumber(Measured, 3), Measured >= Target);
}

void printTableHead() {
  std::puts("| measure | target | measured | |");
  std::puts("|---|---|---|---|");
}

void printResponses(const SeedList &Seeds) {
  std::puts("\n| response / ideal | 70 % mean | p99 | 90 % mean | p99 | "
            "98 % mean | p99 | 70 %, 3 stragglers, mean | p99 |");
  std::puts("|---|---|---|---|---|---|---|---|---|");
  const std::pair<Policy, const char *> Rows[] = {
      {Policy::Random, "random, 3 VMs"},
      {Policy::RoundRobin, "round robin, 3 VMs"},
      {Policy::LeastOutstanding, "least outstanding, 3 VMs"},
      {Policy::Placement, "placement"},
      {Policy::PlacementOneTeam, "placement, one team"}};
  for (const auto &[Kind, Name] : Rows) {
    std::printf("| %s |", Name);
    for (const double Load : {0.7, 0.9, 0.98}) {
      const ResponseRatio Ratio = measureResponseAtLoad(Seeds, Kind, Load);
      std::printf(" %.3f | %.3f |", Ratio.Mean, Ratio.P99);
    }
    const ResponseRatio StragglerRatio =
        measureResponseWithStragglers(Seeds, Kind);
    std::printf(" %.3f | %.3f |\n", StragglerRatio.Mean, StragglerRatio.P99);
  }
}

void printTargets(const SeedList &Seeds) {
  printTableHead();
  const ResponseRatio Load70 =
      measureResponseAtLoad(Seeds, Policy::Placement, 0.7);
  const ResponseRatio Load90 =
      measureResponseAtLoad(Seeds, Policy::Placement, 0.9);
  const ResponseRatio Load98 =
      measureResponseAtLoad(Seeds, Policy::Placement, 0.98);
  printRowAtMost("mean response / ideal at 70 %", 1.03, Load70.Mean);
  printRowAtMost("mean response / ideal at 90 %", 1.10, Load90.Mean);
  printRowAtMost("mean response / ideal at 98 %", 1.25, Load98.Mean);
  printRowAtMost("p99 response / ideal p99 at 90 %", 1.20, Load90.P99);
}

void printWaste(const SeedList &Seeds) {
  const WasteFigures ResponseTimeWaste =
      measureHealthyWaste(Seeds, ServiceWeight::ResponseTime);
  const WasteFigures MessagesWaste =
      measureHealthyWaste(Seeds, ServiceWeight::Messages);
  const WasteFigures ResponseTimeFaultyWaste =
      measureFaultyWaste(Seeds, ServiceWeight::ResponseTime);
  const WasteFigures MessagesFaultyWaste =
      measureFaultyWaste(Seeds, ServiceWeight::Messages);
  printRowAtMost("wasted messages per task, healthy, weight response time",
                 0.10, ResponseTimeWaste.WastedPerTask, 4);
  printRowAtMost("wasted messages per task, healthy, weight messages", 0.02,
                 MessagesWaste.WastedPerTask, 4);
  printRowAtMost("wasted messages per task, faulty, weight response time", 0.25,
                 ResponseTimeFaultyWaste.WastedPerTask, 4);
  printRowAtMost("wasted messages per task, faulty, weight messages", 0.05,
                 MessagesFaultyWaste.WastedPerTask, 4);
  printRowAtMost("mean response / ideal of survivors, weight response time",
                 1.30, ResponseTimeFaultyWaste.MeanResponseRatio);
  printRowAtMost("mean response / ideal of survivors, weight messages", 1.30,
                 MessagesFaultyWaste.MeanResponseRatio);
  const WasteFigures RequestWaste = measureRequestWaste(Seeds, false);
  const WasteFigures RequestFaultyWaste = measureRequestWaste(Seeds, true);
  printRowAtMost("wasted messages per task, healthy, single requests only",
                 0.10, RequestWaste.WastedPerTask, 4);
  printRowAtMost("wasted messages per task, faulty, single requests only", 0.25,
                 RequestFaultyWaste.WastedPerTask, 4);
  printRowAtMost("mean response / ideal of survivors, single requests only",
                 1.30, RequestFaultyWaste.MeanResponseRatio);
  const uint64_t RepeatedStarts = ResponseTimeWaste.RepeatedStarts +
                                  MessagesWaste.RepeatedStarts +
                                  ResponseTimeFaultyWaste.RepeatedStarts +
                                  MessagesFaultyWaste.RepeatedStarts;
  printRow("tasks of submissions that ran twice", "0",
           std::to_string(RepeatedStarts), RepeatedStarts == 0);
  std::printf("| wasted by hedges, single requests, healthy and faulty | | "
              "%.4f, %.4f | |\n",
              RequestWaste.HedgesPerTask, RequestFaultyWaste.HedgesPerTask);
  std::printf("| mean response / ideal, single requests, healthy | | %.3f | "
              "|\n",
              RequestWaste.MeanResponseRatio);
  std::printf("| jobs completed, faulty: each weight, single requests | | "
              "%.4f, %.4f, %.5f | |\n",
              ResponseTimeFaultyWaste.CompletedJobShare,
              MessagesFaultyWaste.CompletedJobShare,
              RequestFaultyWaste.CompletedJobShare);
  std::printf("| tasks in completed jobs, faulty: each weight | | %.4f, %.4f | "
              "|\n",
              ResponseTimeFaultyWaste.CompletedTaskShare,
              MessagesFaultyWaste.CompletedTaskShare);
}

void printOverload(const SeedList &Seeds) {
  const OverloadFigures Figures = measureOverload(Seeds);
  printRowAtLeast("goodput / capacity at twice the capacity", 0.95,
                  Figures.Goodput);
  printRowAtLeast("accepted within deadline at twice the capacity", 0.99,
                  Figures.InTimeShare);
  printRow("refusals under 10 ms (slowest)", "10 ms",
           formatNumber(Figures.SlowestRefusalMs, 1) + " ms",
           Figures.SlowestRefusalMs < 10);
  printRow("starts of refused jobs", "0",
           std::to_string(Figures.StartsOfRefusedJobs),
           Figures.StartsOfRefusedJobs == 0);
  std::printf("| refused part of the jobs at twice the capacity | | %.3f | |\n",
              Figures.RefusedShare);
}

void printTakeover(const SeedList &Seeds) {
  const TakeoverFigures SlotsAssumedFree = measureTakeover(Seeds, false);
  const TakeoverFigures SlotsAssumedBusy = measureTakeover(Seeds, true);
  std::printf("| takeover with busy slots: refused starts, failed jobs | | "
              "%llu, %llu | |\n",
              static_cast<unsigned long long>(SlotsAssumedBusy.RefusedStarts),
              static_cast<unsigned long long>(SlotsAssumedBusy.FailedJobs));
  std::printf("| the same without assumeBusySlots | | %llu, %llu | |\n",
              static_cast<unsigned long long>(SlotsAssumedFree.RefusedStarts),
              static_cast<unsigned long long>(SlotsAssumedFree.FailedJobs));
}

void printFairness(const SeedList &Seeds, const char *OtherTeams,
                   double OtherTeamsLoad) {
  const FairnessFigures Figures = measureFairness(Seeds, OtherTeamsLoad);
  printRowAtMost(std::string("p99 of a team, another at 10 times its quota, ") +
                     OtherTeams,
                 1.20, Figures.P99FloodMs / Figures.P99QuietMs);
  std::printf("| p99 without and with the flood, %s | | %.0f ms, %.0f ms | |\n",
              OtherTeams, Figures.P99QuietMs, Figures.P99FloodMs);
  std::printf("| mean response in the first 30 s of the flood / without, %s | "
              "| %.3f | |\n",
              OtherTeams, Figures.OnsetRatio);
}

void printCosts() {
  const DecisionCosts Costs = measureDecisionCosts();
  printRowAtMost("decision time per task start, 50 workers, us", 2.0,
                 Costs.Workers50Us);
  printRowAtMost("decision time per task start, 940 workers, us", 2.0,
                 Costs.Workers940Us);
  printRowAtMost("decision time, 940 / 50 workers", 1.5,
                 Costs.Workers940Us / Costs.Workers50Us);
  std::printf("| cancelling 10,000 queued tasks, us per task: jobs of 1,000, "
              "of 1 | | %.4f, %.4f | |\n",
              measureCancelMicroseconds(1'000), measureCancelMicroseconds(1));
}

} // namespace

/// Usage: bench_decisions [SEED...]
int main(int ArgCount, char **Args) {
  const auto Begin = std::chrono::steady_clock::now();
  SeedList Seeds;
  for (int Index = 1; Index < ArgCount; ++Index)
    Seeds.push_back(std::strtoull(Args[Index], nullptr, 10));
  if (Seeds.empty())
    Seeds = {11, 22, 33};
  std::printf("Seeds:");
  for (const uint64_t Seed : Seeds)
    std::printf(" %llu", static_cast<unsigned long long>(Seed));
  std::puts("\n");
  printTargets(Seeds);
  printWaste(Seeds);
  printOverload(Seeds);
  printTakeover(Seeds);
  printFairness(Seeds, "other teams silent", 0.0);
  printFairness(Seeds, "other teams at half their quota", 0.5);
  printCosts();
  printResponses(Seeds);
  std::printf(
      "\nRun time %.1f s\n",
      std::chrono::duration<double>(std::chrono::steady_clock::now() - Begin)
          .count());
  return 0;
}
