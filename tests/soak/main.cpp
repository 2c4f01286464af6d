/// The fault soak: runs entry and control VMs as processes, injects faults from
/// outside, and checks invariants against what callers and backend servers
/// observe.

#include "tests/soak/faults.h"
#include "tests/soak/soak.h"

#include <CLI/CLI.hpp>

#include <unistd.h>

#include <filesystem>
#include <iostream>

using namespace sapphiremoor;
using namespace sapphiremoor::soak;

namespace {

/// Time from the last fault until every fault has ended.
constexpr Duration FaultEndTime = std::chrono::milliseconds(4500);
/// Time after which all VMs count as undisturbed again.
constexpr Duration CalmTime = std::chrono::seconds(5);
/// Time from the closing fault until the deployment has to serve again.
constexpr Duration RecoveryTime = std::chrono::seconds(12);

int report(Soak &SoakRun, uint64_t DoneDuringFaults,
           const SoakOptions &Options) {
  const InvariantChecker &Checker = SoakRun.checker();
  std::vector<std::string> Violations = Checker.violations();
  constexpr uint64_t MinDoneAfterFaults = 20;
  if (Checker.doneCount() < DoneDuringFaults + MinDoneAfterFaults)
    Violations.push_back("too few jobs done after the last fault");
  for (const std::string &Violation : Violations)
    std::cout << "BROKEN " << Violation << "\n";
  std::cout << "seed " << Options.Seed << ": " << Checker.doneCount()
            << " done, " << Checker.refusedCount() << " refused, "
            << Checker.unclearCount()
            << " without a clear answer, newest configuration "
            << Checker.newestAcknowledgedVersion() << ", " << Violations.size()
            << " broken" << std::endl;
  return Violations.empty() ? 0 : 1;
}

/// Injects faults until \p EndTime, with short and long delays between them.
void scheduleFaults(Soak &SoakRun, Instant EndTime) {
  if (SoakRun.loop().now() > EndTime)
    return;
  injectFault(SoakRun);
  const auto Delay = std::chrono::milliseconds(
      SoakRun.rng()() % 3 == 0 ? 20 : 200 + SoakRun.rng()() % 1200);
  SoakRun.scheduleAfter(
      Delay, [&SoakRun, EndTime] { scheduleFaults(SoakRun, EndTime); });
}

} // namespace

int main(int ArgCount, char **ArgValues) {
  CLI::App App{"Fault soak of sapphiremoor on loopback addresses"};
  SoakOptions Options;
  // Soaks that run concurrently, by hand or in CI, must not share addresses.
  constexpr int NetworkCount = 200;
  Options.Network = 20 + static_cast<int>(getpid()) % NetworkCount;
  App.add_option("--seed", Options.Seed,
                 "seed of the random traffic and faults");
  App.add_option("--seconds", Options.Seconds,
                 "duration of the fault phase in seconds");
  App.add_option("--program", Options.Program, "path of the daemon to test");
  App.add_option("--folder", Options.Folder,
                 "folder for settings, logs and data");
  App.add_option("--entries", Options.EntryCount, "number of entry VMs");
  App.add_option("--controls", Options.ControlCount, "number of control VMs");
  App.add_option("--network", Options.Network,
                 "second octet of the loopback addresses")
      ->check(CLI::Range(0, 255));
  App.add_option("--backends", Options.BackendCount,
                 "number of backend servers");
  CLI11_PARSE(App, ArgCount, ArgValues);
  const bool UsesTemporaryFolder = Options.Folder.empty();
  if (UsesTemporaryFolder)
    Options.Folder = std::filesystem::temp_directory_path() /
                     ("soak-" + std::to_string(getpid()));
  std::filesystem::create_directories(Options.Folder);
  int ExitCode = 0;
  {
    EventLoop Loop;
    Soak SoakRun(Loop, Options);
    SoakRun.start();
    uint64_t DoneDuringFaults = 0;
    const Duration WarmUpTime = std::chrono::seconds(4);
    const Duration FaultTime = std::chrono::seconds(Options.Seconds);
    SoakRun.scheduleAfter(
        WarmUpTime, [&] { scheduleFaults(SoakRun, Loop.now() + FaultTime); });
    const Duration ClosingTime =
        WarmUpTime + FaultTime + FaultEndTime + CalmTime;
    SoakRun.scheduleAfter(WarmUpTime + FaultTime + FaultEndTime,
                          [&] { endAllFaults(SoakRun); });
    SoakRun.scheduleAfter(ClosingTime, [&] {
      injectClosingFault(SoakRun, Options.Seed);
      DoneDuringFaults = SoakRun.checker().doneCount();
    });
    SoakRun.scheduleAfter(ClosingTime + RecoveryTime,
                          [&] { SoakRun.finish([&Loop] { Loop.stop(); }); });
    Loop.run();
    ExitCode = report(SoakRun, DoneDuringFaults, Options);
  }
  if (UsesTemporaryFolder && ExitCode == 0)
    std::filesystem::remove_all(Options.Folder);
  else
    std::cout << "kept " << Options.Folder << "\n";
  return ExitCode;
}
