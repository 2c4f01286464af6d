#include "load.h"
#include "procstat.h"
#include "scene.h"
#include "sections.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <numeric>
#include <thread>

namespace sapphiremoor::bench {

namespace {

using namespace sapphiremoor::endtoend;
using Clock = std::chrono::steady_clock;

constexpr int VmCounts[] = {2, 4, 8};
constexpr int BackendCounts[] = {0, 12, 48};
constexpr int SettleSeconds = 3;
constexpr int IdleSeconds = 12;
constexpr int Changes = 10;
constexpr double TargetCorePercent = 1.4;
constexpr double TargetMegabytes = 128;
constexpr double TargetKilobytesPerSecond = 5;
constexpr double TargetSecondsToForce = 17;

/// Cost of one idle daemon.
struct Cost {
  double CorePercent = 0;
  double Megabytes = 0;
  double KilobytesPerSecond = 0;
};

/// The mean and the largest cost among the daemons of a deployment.
struct CostRow {
  int Vms = 0;
  int Backends = 0;
  Cost Mean;
  Cost Largest;
};

std::vector<Vm> vmsOfOneCentre(int Count) {
  // Two voters could not survive one loss; a single one is the usual choice.
  const int Voters = Count < 3 ? 1 : 3;
  std::vector<Vm> Vms;
  Vms.reserve(static_cast<std::size_t>(Count));
  for (int I = 0; I < Count; ++I)
    Vms.push_back({"a" + std::to_string(I + 1), "nitra", I < Voters});
  return Vms;
}

struct Sample {
  double Processor;
  uint64_t Bytes;
};

Sample sampleOf(const Deployment &At, const std::string &Name, pid_t Id) {
  return {processorSeconds(Id), connectionBytes(Id, At.peer(Name).Port)};
}

double member(const Cost &Of, int Index) {
  return Index == 0   ? Of.CorePercent
         : Index == 1 ? Of.Megabytes
                      : Of.KilobytesPerSecond;
}

void addTo(CostRow &Row, const Cost &One) {
  const double Share = 1.0 / Row.Vms;
  Row.Mean.CorePercent += One.CorePercent * Share;
  Row.Mean.Megabytes += One.Megabytes * Share;
  Row.Mean.KilobytesPerSecond += One.KilobytesPerSecond * Share;
  Cost &Most = Row.Largest;
  Most.CorePercent = std::max(Most.CorePercent, One.CorePercent);
  Most.Megabytes = std::max(Most.Megabytes, One.Megabytes);
  Most.KilobytesPerSecond =
      std::max(Most.KilobytesPerSecond, One.KilobytesPerSecond);
}

CostRow idleCost(const Deployment &At, const std::vector<Vm> &Vms,
                 int Backends) {
  std::vector<pid_t> Ids;
  Ids.reserve(Vms.size());
  for (const Vm &Each : Vms)
    Ids.push_back(childWith(At.folder() + "/" + Each.Name + ".json"));
  std::this_thread::sleep_for(std::chrono::seconds(SettleSeconds));
  std::vector<Sample> Before;
  for (std::size_t I = 0; I < Vms.size(); ++I)
    Before.push_back(sampleOf(At, Vms[I].Name, Ids[I]));
  std::this_thread::sleep_for(std::chrono::seconds(IdleSeconds));
  CostRow Row{static_cast<int>(Vms.size()), Backends, {}, {}};
  for (std::size_t I = 0; I < Vms.size(); ++I) {
    const Sample After = sampleOf(At, Vms[I].Name, Ids[I]);
    const double Bytes = static_cast<double>(After.Bytes - Before[I].Bytes);
    addTo(Row, {(After.Processor - Before[I].Processor) / IdleSeconds * 100,
                residentMegabytes(Ids[I]), Bytes / IdleSeconds / 1e3});
  }
  return Row;
}

std::string teamFile(int Share) {
  return R"({"teams":{"extra":{"share":)" + std::to_string(Share) + "}}}";
}

/// Returns the seconds from the acceptance of one change to its being in force
/// on all VMs.
double timeToForce(Deployment &At, const std::vector<Vm> &Vms, int Number) {
  const std::string &First = Vms.front().Name;
  const uint64_t Expected = At.status(First).value("revision", uint64_t{0});
  const std::string Id = "change-" + std::to_string(Number);
  Deployment::waitUntil("acceptance of a change", [&] {
    return At.applyFile(First, "30-extra.json", teamFile(Number + 1), Expected,
                        Id)
               .StatusCode == 200;
  });
  const auto Accepted = Clock::now();
  for (const Vm &Each : Vms)
    while (At.status(Each.Name).value("revision", uint64_t{0}) <= Expected)
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
  return std::chrono::duration<double>(Clock::now() - Accepted).count();
}

std::vector<double> timesToForce(Deployment &At, const std::vector<Vm> &Vms) {
  std::vector<double> Times;
  for (int I = 0; I < Changes; ++I) {
    // Spreads the changes over the period of the heartbeat.
    std::this_thread::sleep_for(std::chrono::milliseconds(I * 137 % 1000));
    Times.push_back(timeToForce(At, Vms, I));
  }
  return Times;
}

void printCosts(const std::vector<CostRow> &Rows) {
  std::puts("\n## Control cost of an idle daemon\n");
  std::printf("One data centre, %d s each; mean of the daemons and largest. "
              "Bytes are sent plus received on the links between VMs.\n\n",
              IdleSeconds);
  std::puts("| VMs | backend servers | % of a core | MB resident | KB/s |");
  std::puts("|---|---|---|---|---|");
  for (const CostRow &Row : Rows)
    std::printf("| %d | %d | %.2f, %.2f | %.1f, %.1f | %.2f, %.2f |\n", Row.Vms,
                Row.Backends, Row.Mean.CorePercent, Row.Largest.CorePercent,
                Row.Mean.Megabytes, Row.Largest.Megabytes,
                Row.Mean.KilobytesPerSecond, Row.Largest.KilobytesPerSecond);
  std::printf("| target | | at most %.1f | at most %.0f | at most %.0f |\n",
              TargetCorePercent, TargetMegabytes, TargetKilobytesPerSecond);
}

const CostRow &rowOf(const std::vector<CostRow> &Rows, int Vms, int Backends) {
  return *std::ranges::find_if(Rows, [&](const CostRow &Row) {
    return Row.Vms == Vms && Row.Backends == Backends;
  });
}

void printSlopes(const std::vector<CostRow> &Rows) {
  const int MostVms = *std::ranges::max_element(VmCounts);
  // Below three VMs there is one voter, which sends no leader heartbeats.
  const int FewestVms = 4;
  const int MostBackends = *std::ranges::max_element(BackendCounts);
  const Cost &Full = rowOf(Rows, MostVms, MostBackends).Largest;
  const Cost &FewVms = rowOf(Rows, FewestVms, MostBackends).Largest;
  const Cost &NoBackends = rowOf(Rows, MostVms, 0).Largest;
  std::puts("\n| slope of the largest cost | % of a core | MB | KB/s |");
  std::puts("|---|---|---|---|");
  std::printf("| per VM from %d VMs, at %d backend servers |", FewestVms,
              MostBackends);
  for (int I = 0; I < 3; ++I)
    std::printf(" %.4f |",
                (member(Full, I) - member(FewVms, I)) / (MostVms - FewestVms));
  std::printf("\n| per backend server, at %d VMs |", MostVms);
  for (int I = 0; I < 3; ++I)
    std::printf(" %.4f |",
                (member(Full, I) - member(NoBackends, I)) / MostBackends);
  std::puts("");
}

void printChanges(int Vms, const std::vector<double> &Times) {
  const double Longest = *std::ranges::max_element(Times);
  std::printf("| %d | %.2f | %.2f | at most %.0f | %s |\n", Vms,
              quantile(Times, 0.5), Longest, TargetSecondsToForce,
              Longest <= TargetSecondsToForce ? "met" : "missed");
}

} // namespace

void printControl() {
  std::vector<CostRow> Costs;
  std::vector<std::vector<double>> Times;
  for (const int Count : VmCounts) {
    const std::vector<Vm> Vms = vmsOfOneCentre(Count);
    Deployment At(Vms);
    At.configure();
    int Added = 0;
    for (const int Backends : BackendCounts) {
      for (; Added < Backends; ++Added)
        At.addBackend("b" + std::to_string(Added), "a1", {"--run-ms", "0"});
      Costs.push_back(idleCost(At, Vms, Backends));
    }
    Times.push_back(timesToForce(At, Vms));
  }
  printCosts(Costs);
  printSlopes(Costs);
  std::printf("\n## Acceptance of a configuration change to in force on all "
              "VMs\n\nSeconds, %d changes each, 48 idle backend servers.\n\n",
              Changes);
  std::puts("| VMs | median | longest | target | |\n|---|---|---|---|---|");
  for (std::size_t I = 0; I < Times.size(); ++I)
    printChanges(VmCounts[I], Times[I]);
}

} // namespace sapphiremoor::bench
