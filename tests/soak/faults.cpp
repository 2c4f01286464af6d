#include "tests/soak/faults.h"

#include <csignal>

#include <algorithm>
#include <iostream>
#include <utility>

namespace sapphiremoor::soak {

namespace {

Duration randomDuration(Soak &SoakRun, int64_t MinMs, int64_t MaxMs) {
  return std::chrono::milliseconds(
      MinMs + static_cast<int64_t>(SoakRun.rng()() %
                                   static_cast<uint64_t>(MaxMs - MinMs)));
}

void logFault(Soak &SoakRun, const std::string &Fault,
              const std::string &Target) {
  const auto NowMs = std::chrono::duration_cast<std::chrono::milliseconds>(
      SoakRun.loop().now().time_since_epoch());
  std::cout << NowMs.count() << " " << Fault << " " << Target << std::endl;
}

void killAndRestart(Soak &SoakRun, Node &Vm, bool WipeData) {
  const Duration Downtime = randomDuration(SoakRun, 100, 2000);
  logFault(SoakRun, WipeData ? "wipe" : "kill", Vm.Name);
  SoakRun.markDisturbed(Vm, Downtime);
  Vm.Daemon->kill();
  if (WipeData)
    SoakRun.wipeData(Vm);
  SoakRun.scheduleAfter(Downtime, [&SoakRun, &Vm] {
    if (Vm.Daemon->hasEnded())
      SoakRun.launch(Vm, false);
  });
}

void pauseAndResume(Soak &SoakRun, Node &Vm) {
  const Duration PauseDuration = randomDuration(SoakRun, 300, 3000);
  logFault(SoakRun, "pause", Vm.Name);
  SoakRun.markDisturbed(Vm, PauseDuration);
  Vm.Daemon->signal(SIGSTOP);
  SoakRun.scheduleAfter(PauseDuration, [&Vm] { Vm.Daemon->signal(SIGCONT); });
}

void stopAndRestart(Soak &SoakRun, Node &Vm) {
  logFault(SoakRun, "stop", Vm.Name);
  const Duration StopTimeout = std::chrono::milliseconds(4500);
  SoakRun.markDisturbed(Vm, StopTimeout);
  Vm.Daemon->signal(SIGTERM);
  SoakRun.scheduleAfter(StopTimeout, [&SoakRun, &Vm] {
    if (!Vm.Daemon->hasEnded())
      Vm.Daemon->kill();
    SoakRun.launch(Vm, false);
  });
}

void injectConnectionFault(Soak &SoakRun, Node &Vm) {
  const std::vector<std::string> ModeCommands{
      "cut",          "hold",         "freeze",  "swallow up",
      "swallow down", "swallow both", "delay 80"};
  const std::string &ModeCommand =
      ModeCommands[SoakRun.rng()() % ModeCommands.size()];
  const Duration FaultDuration = randomDuration(SoakRun, 500, 3500);
  logFault(SoakRun, ModeCommand, Vm.Name);
  // All VMs count as disturbed, since each may have a connection to this VM.
  for (Node &AffectedVm : SoakRun.nodes())
    SoakRun.markDisturbed(AffectedVm, FaultDuration);
  Vm.PeerRelay->setMode(*relay::parseMode(ModeCommand));
  SoakRun.scheduleAfter(FaultDuration, [&Vm] { Vm.PeerRelay->setMode({}); });
}

void injectBackendFault(Soak &SoakRun) {
  const std::size_t Number = SoakRun.rng()() % SoakRun.backends().size();
  FakeBackend &Backend = *SoakRun.backends()[Number];
  BackendFaults Faults;
  switch (SoakRun.rng()() % 5) {
  case 0:
    logFault(SoakRun, "crash", "b" + std::to_string(Number));
    Backend.crash(randomDuration(SoakRun, 50, 2000));
    return;
  case 1:
    Faults.Unresponsive = true;
    break;
  case 2:
    Faults.LateOrderShare = 0.15;
    break;
  case 3:
    Faults.FailureShare = 1;
    break;
  default:
    Faults.SlowdownFactor = 30;
    break;
  }
  logFault(SoakRun, "disturb", "b" + std::to_string(Number));
  Backend.setFaults(Faults);
  SoakRun.scheduleAfter(randomDuration(SoakRun, 500, 4000),
                        [&Backend] { Backend.setFaults({}); });
}

bool controlVmsUndisturbed(Soak &SoakRun) {
  const Instant Now = SoakRun.loop().now();
  return std::ranges::all_of(SoakRun.nodes(), [Now](const Node &Vm) {
    return !Vm.IsControl || Vm.RecoveredAt < Now;
  });
}

} // namespace

void injectFault(Soak &SoakRun) {
  Node &Vm = SoakRun.nodes()[SoakRun.rng()() % SoakRun.nodes().size()];
  switch (SoakRun.rng()() % 10) {
  case 0:
  case 1:
    killAndRestart(SoakRun, Vm, false);
    return;
  case 2:
    // At most one control VM may lose its disk at a time.
    killAndRestart(SoakRun, Vm, Vm.IsControl && controlVmsUndisturbed(SoakRun));
    return;
  case 3:
  case 4:
    pauseAndResume(SoakRun, Vm);
    return;
  case 5:
    stopAndRestart(SoakRun, Vm);
    return;
  case 6:
  case 7:
    injectConnectionFault(SoakRun, Vm);
    return;
  default:
    injectBackendFault(SoakRun);
    return;
  }
}

void endAllFaults(Soak &SoakRun) {
  for (Node &Vm : SoakRun.nodes()) {
    Vm.PeerRelay->setMode({});
    Vm.Daemon->signal(SIGCONT);
    if (Vm.Daemon->hasEnded())
      SoakRun.launch(Vm, false);
  }
  for (const auto &Backend : SoakRun.backends())
    Backend->setFaults({});
}

void injectClosingFault(Soak &SoakRun, uint64_t Seed) {
  enum class ClosingFault { None, Kill, KillAndWipeOne };
  constexpr uint64_t FaultKinds = 3;
  const auto Fault = static_cast<ClosingFault>(Seed % FaultKinds);
  if (Fault == ClosingFault::None)
    return;
  SoakRun.onNextAcknowledgedChange([&SoakRun, Fault] {
    bool WipeNext = Fault == ClosingFault::KillAndWipeOne;
    for (Node &Vm : SoakRun.nodes())
      if (Vm.IsControl)
        killAndRestart(SoakRun, Vm, std::exchange(WipeNext, false));
  });
}

} // namespace sapphiremoor::soak
