/// \file
/// Benchmark of the placement decisions. Prints a Markdown table of the targets
/// of docs/design.md, section 1.5, beside the measured figures.

#include "costs.h"
#include "scenarios.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>

namespace {

using namespace sapphiremoor;
using namespace sapphiremoor::bench;

std::string text(double Value, int Digits) {
  std::string Buffer(32, '\0');
  const int Length =
      std::snprintf(Buffer.data(), Buffer.size(), "%.*f", Digits, Value);
  Buffer.resize(static_cast<std::size_t>(Length));
  return Buffer;
}

void row(const std::string &Measure, const std::string &Target,
         const std::string &Measured, bool Met) {
  std::printf("| %s | %s | %s | %s |\n", Measure.c_str(), Target.c_str(),
              Measured.c_str(), Met ? "met" : "missed");
}

void rowAtMost(const std::string &Measure, double Target, double Measured,
               int Digits = 3) {
  row(Measure, "at most " + text(Target, 2), text(Measured, Digits),
      Measured <= Target);
}

void rowAtLeast(const std::string &Measure, double Target, double Measured) {
  row(Measure, "at least " + text(Target, 2), text(Measured, 3),
      Measured >= Target);
}

void tableHead() {
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
      const ResponseRatio Ratio = responseAtLoad(Seeds, Kind, Load);
      std::printf(" %.3f | %.3f |", Ratio.Mean, Ratio.P99);
    }
    const ResponseRatio Slow = responseWithStragglers(Seeds, Kind);
    std::printf(" %.3f | %.3f |\n", Slow.Mean, Slow.P99);
  }
}

void printTargets(const SeedList &Seeds) {
  tableHead();
  const ResponseRatio At70 = responseAtLoad(Seeds, Policy::Placement, 0.7);
  const ResponseRatio At90 = responseAtLoad(Seeds, Policy::Placement, 0.9);
  const ResponseRatio At98 = responseAtLoad(Seeds, Policy::Placement, 0.98);
  rowAtMost("mean response / ideal at 70 %", 1.03, At70.Mean);
  rowAtMost("mean response / ideal at 90 %", 1.10, At90.Mean);
  rowAtMost("mean response / ideal at 98 %", 1.25, At98.Mean);
  rowAtMost("p99 response / ideal p99 at 90 %", 1.20, At90.P99);
}

void printWaste(const SeedList &Seeds) {
  const WasteFigures Fast = wasteHealthy(Seeds, ServiceWeight::ResponseTime);
  const WasteFigures Thrifty = wasteHealthy(Seeds, ServiceWeight::Messages);
  const WasteFigures FastFaulty =
      wasteFaulty(Seeds, ServiceWeight::ResponseTime);
  const WasteFigures ThriftyFaulty =
      wasteFaulty(Seeds, ServiceWeight::Messages);
  rowAtMost("wasted messages per task, healthy, weight response time", 0.10,
            Fast.PerTask, 4);
  rowAtMost("wasted messages per task, healthy, weight messages", 0.02,
            Thrifty.PerTask, 4);
  rowAtMost("wasted messages per task, faulty, weight response time", 0.25,
            FastFaulty.PerTask, 4);
  rowAtMost("wasted messages per task, faulty, weight messages", 0.05,
            ThriftyFaulty.PerTask, 4);
  rowAtMost("mean response / ideal of survivors, weight response time", 1.30,
            FastFaulty.MeanRatio);
  rowAtMost("mean response / ideal of survivors, weight messages", 1.30,
            ThriftyFaulty.MeanRatio);
  const WasteFigures Requests = wasteOfRequests(Seeds, false);
  const WasteFigures RequestsFaulty = wasteOfRequests(Seeds, true);
  rowAtMost("wasted messages per task, healthy, single requests only", 0.10,
            Requests.PerTask, 4);
  rowAtMost("wasted messages per task, faulty, single requests only", 0.25,
            RequestsFaulty.PerTask, 4);
  rowAtMost("mean response / ideal of survivors, single requests only", 1.30,
            RequestsFaulty.MeanRatio);
  const uint64_t Repeated = Fast.RepeatedStarts + Thrifty.RepeatedStarts +
                            FastFaulty.RepeatedStarts +
                            ThriftyFaulty.RepeatedStarts;
  row("tasks of submissions that ran twice", "0", std::to_string(Repeated),
      Repeated == 0);
  std::printf("| wasted by hedges, single requests, healthy and faulty | | "
              "%.4f, %.4f | |\n",
              Requests.Hedges, RequestsFaulty.Hedges);
  std::printf("| mean response / ideal, single requests, healthy | | %.3f | "
              "|\n",
              Requests.MeanRatio);
  std::printf("| jobs completed, faulty: each weight, single requests | | "
              "%.4f, %.4f, %.5f | |\n",
              FastFaulty.Completed, ThriftyFaulty.Completed,
              RequestsFaulty.Completed);
  std::printf("| tasks in completed jobs, faulty: each weight | | %.4f, %.4f | "
              "|\n",
              FastFaulty.CompletedTasks, ThriftyFaulty.CompletedTasks);
}

void printOverload(const SeedList &Seeds) {
  const OverloadFigures Figures = overload(Seeds);
  rowAtLeast("goodput / capacity at twice the capacity", 0.95, Figures.Goodput);
  rowAtLeast("accepted within deadline at twice the capacity", 0.99,
             Figures.InTime);
  row("refusals under 10 ms (slowest)", "10 ms",
      text(Figures.SlowestRefusalMs, 1) + " ms", Figures.SlowestRefusalMs < 10);
  row("starts of refused jobs", "0", std::to_string(Figures.StartsOfRefused),
      Figures.StartsOfRefused == 0);
  std::printf("| refused part of the jobs at twice the capacity | | %.3f | |\n",
              Figures.Refused);
}

void printTakeover(const SeedList &Seeds) {
  const TakeoverFigures Trusting = takeover(Seeds, false);
  const TakeoverFigures Wary = takeover(Seeds, true);
  std::printf("| takeover with busy slots: refused starts, failed jobs | | "
              "%llu, %llu | |\n",
              static_cast<unsigned long long>(Wary.Refusals),
              static_cast<unsigned long long>(Wary.FailedJobs));
  std::printf("| the same without assumeBusySlots | | %llu, %llu | |\n",
              static_cast<unsigned long long>(Trusting.Refusals),
              static_cast<unsigned long long>(Trusting.FailedJobs));
}

void printFairness(const SeedList &Seeds, const char *Others, double Load) {
  const FairnessFigures Figures = fairness(Seeds, Load);
  rowAtMost(std::string("p99 of a team, another at 10 times its quota, ") +
                Others,
            1.20, Figures.P99FloodedMs / Figures.P99AloneMs);
  std::printf("| p99 without and with the flood, %s | | %.0f ms, %.0f ms | |\n",
              Others, Figures.P99AloneMs, Figures.P99FloodedMs);
  std::printf("| mean response in the first 30 s of the flood / without, %s | "
              "| %.3f | |\n",
              Others, Figures.OnsetRatio);
}

void printCosts() {
  const DecisionCosts Costs = decisionCosts();
  rowAtMost("decision time per task start, 50 workers, us", 2.0,
            Costs.Workers50);
  rowAtMost("decision time per task start, 940 workers, us", 2.0,
            Costs.Workers940);
  rowAtMost("decision time, 940 / 50 workers", 1.5,
            Costs.Workers940 / Costs.Workers50);
  std::printf("| cancelling 10,000 queued tasks, us per task: jobs of 1,000, "
              "of 1 | | %.4f, %.4f | |\n",
              cancelMicroseconds(1'000), cancelMicroseconds(1));
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
