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
constexpr int ChangeCount = 10;
constexpr double TargetCorePercent = 1.4;
constexpr double TargetMegabytes = 128;
constexpr double TargetKilobytesPerSecond = 5;
constexpr double TargetInForceSeconds = 17;

/// Resources that one idle daemon uses.
struct IdleCost {
  double CorePercent = 0;
  double Megabytes = 0;
  double KilobytesPerSecond = 0;
};

/// The mean and the largest cost of the daemons of one deployment.
struct CostRow {
  int Vms = 0;
  int Backends = 0;
  IdleCost Mean;
  IdleCost Largest;
};

std::vector<Vm> makeVms(int Count) {
  // Two voters do not survive the loss of one, so fewer than three VMs usually
  // have a single voter.
  const int VoterCount = Count < 3 ? 1 : 3;
  std::vector<Vm> Vms;
  Vms.reserve(static_cast<std::size_t>(Count));
  for (int I = 0; I < Count; ++I)
    Vms.push_back({"a" + std::to_string(I + 1), "nitra", I < VoterCount});
  return Vms;
}

struct Sample {
  double ProcessorSeconds;
  uint64_t Bytes;
};

Sample takeSample(const Deployment &Cluster, const std::string &VmName,
                  pid_t Pid) {
  return {processorSeconds(Pid),
          connectionBytes(Pid, Cluster.peer(VmName).Port)};
}

double costComponent(const IdleCost &Cost, int Index) {
  return Index == 0   ? Cost.CorePercent
         : Index == 1 ? Cost.Megabytes
                      : Cost.KilobytesPerSecond;
}

void addDaemonCost(CostRow &Row, const IdleCost &Cost) {
  const double Weight = 1.0 / Row.Vms;
  Row.Mean.CorePercent += Cost.CorePercent * Weight;
  Row.Mean.Megabytes += Cost.Megabytes * Weight;
  Row.Mean.KilobytesPerSecond += Cost.KilobytesPerSecond * Weight;
  IdleCost &Largest = Row.Largest;
  Largest.CorePercent = std::max(Largest.CorePercent, Cost.CorePercent);
  Largest.Megabytes = std::max(Largest.Megabytes, Cost.Megabytes);
  Largest.KilobytesPerSecond =
      std::max(Largest.KilobytesPerSecond, Cost.KilobytesPerSecond);
}

CostRow measureIdleCost(const Deployment &Cluster, const std::vector<Vm> &Vms,
                        int BackendCount) {
  std::vector<pid_t> Pids;
  Pids.reserve(Vms.size());
  for (const Vm &VmEntry : Vms)
    Pids.push_back(findChild(Cluster.folder() + "/" + VmEntry.Name + ".json"));
  std::this_thread::sleep_for(std::chrono::seconds(SettleSeconds));
  std::vector<Sample> FirstSamples;
  for (std::size_t I = 0; I < Vms.size(); ++I)
    FirstSamples.push_back(takeSample(Cluster, Vms[I].Name, Pids[I]));
  std::this_thread::sleep_for(std::chrono::seconds(IdleSeconds));
  CostRow Row{static_cast<int>(Vms.size()), BackendCount, {}, {}};
  for (std::size_t I = 0; I < Vms.size(); ++I) {
    const Sample LastSample = takeSample(Cluster, Vms[I].Name, Pids[I]);
    const double Bytes =
        static_cast<double>(LastSample.Bytes - FirstSamples[I].Bytes);
    addDaemonCost(
        Row, {(LastSample.ProcessorSeconds - FirstSamples[I].ProcessorSeconds) /
                  IdleSeconds * 100,
              residentMegabytes(Pids[I]), Bytes / IdleSeconds / 1e3});
  }
  return Row;
}

std::string makeTeamFile(int Share) {
  return R"({"teams":{"extra":{"share":)" + std::to_string(Share) + "}}}";
}

/// Applies a change and returns the seconds from its acceptance until it is in
/// force on all VMs.
double measureInForceDelay(Deployment &Cluster, const std::vector<Vm> &Vms,
                           int ChangeIndex) {
  const std::string &FirstVm = Vms.front().Name;
  const uint64_t BaseRevision =
      Cluster.status(FirstVm).value("revision", uint64_t{0});
  const std::string RequestId = "change-" + std::to_string(ChangeIndex);
  Deployment::waitUntil("acceptance of a change", [&] {
    return Cluster
               .applyFile(FirstVm, "30-extra.json",
                          makeTeamFile(ChangeIndex + 1), BaseRevision,
                          RequestId)
               .StatusCode == 200;
  });
  const auto AcceptTime = Clock::now();
  for (const Vm &VmEntry : Vms)
    while (Cluster.status(VmEntry.Name).value("revision", uint64_t{0}) <=
           BaseRevision)
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
  return std::chrono::duration<double>(Clock::now() - AcceptTime).count();
}

std::vector<double> measureInForceDelays(Deployment &Cluster,
                                         const std::vector<Vm> &Vms) {
  std::vector<double> Delays;
  for (int I = 0; I < ChangeCount; ++I) {
    // Starts the changes at different times within the heartbeat period.
    std::this_thread::sleep_for(std::chrono::milliseconds(I * 137 % 1000));
    Delays.push_back(measureInForceDelay(Cluster, Vms, I));
  }
  return Delays;
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

const CostRow &findRow(const std::vector<CostRow> &Rows, int Vms,
                       int Backends) {
  return *std::ranges::find_if(Rows, [&](const CostRow &Row) {
    return Row.Vms == Vms && Row.Backends == Backends;
  });
}

void printSlopes(const std::vector<CostRow> &Rows) {
  const int MaxVms = *std::ranges::max_element(VmCounts);
  // Fewer than three VMs have one voter, which sends no leader heartbeats.
  const int MinVms = 4;
  const int MaxBackends = *std::ranges::max_element(BackendCounts);
  const IdleCost &Full = findRow(Rows, MaxVms, MaxBackends).Largest;
  const IdleCost &FewVms = findRow(Rows, MinVms, MaxBackends).Largest;
  const IdleCost &NoBackends = findRow(Rows, MaxVms, 0).Largest;
  std::puts("\n| slope of the largest cost | % of a core | MB | KB/s |");
  std::puts("|---|---|---|---|");
  std::printf("| per VM from %d VMs, at %d backend servers |", MinVms,
              MaxBackends);
  for (int I = 0; I < 3; ++I)
    std::printf(" %.4f |", (costComponent(Full, I) - costComponent(FewVms, I)) /
                               (MaxVms - MinVms));
  std::printf("\n| per backend server, at %d VMs |", MaxVms);
  for (int I = 0; I < 3; ++I)
    std::printf(" %.4f |",
                (costComponent(Full, I) - costComponent(NoBackends, I)) /
                    MaxBackends);
  std::puts("");
}

void printInForceDelays(int Vms, const std::vector<double> &Delays) {
  const double Longest = *std::ranges::max_element(Delays);
  std::printf("| %d | %.2f | %.2f | at most %.0f | %s |\n", Vms,
              quantile(Delays, 0.5), Longest, TargetInForceSeconds,
              Longest <= TargetInForceSeconds ? "met" : "missed");
}

} // namespace

void printControl() {
  std::vector<CostRow> Costs;
  std::vector<std::vector<double>> Delays;
  for (const int Count : VmCounts) {
    const std::vector<Vm> Vms = makeVms(Count);
    Deployment Cluster(Vms);
    Cluster.configure();
    int AddedBackends = 0;
    for (const int Backends : BackendCounts) {
      for (; AddedBackends < Backends; ++AddedBackends)
        Cluster.addBackend("b" + std::to_string(AddedBackends), "a1",
                           {"--run-ms", "0"});
      Costs.push_back(measureIdleCost(Cluster, Vms, Backends));
    }
    Delays.push_back(measureInForceDelays(Cluster, Vms));
  }
  printCosts(Costs);
  printSlopes(Costs);
  std::printf("\n## Acceptance of a configuration change to in force on all "
              "VMs\n\nSeconds, %d changes each, 48 idle backend servers.\n\n",
              ChangeCount);
  std::puts("| VMs | median | longest | target | |\n|---|---|---|---|---|");
  for (std::size_t I = 0; I < Delays.size(); ++I)
    printInForceDelays(VmCounts[I], Delays[I]);
}

} // namespace sapphiremoor::bench
