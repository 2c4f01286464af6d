#ifndef SAPPHIREMOOR_TESTS_SOAK_SOAK_H
#define SAPPHIREMOOR_TESTS_SOAK_SOAK_H

#include "framework/net/backendclient.h"
#include "relay.h"
#include "tests/endtoend/process.h"
#include "tests/soak/fakebackend.h"
#include "tests/soak/invariantchecker.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace sapphiremoor::soak {

/// Command-line options of the soak.
struct SoakOptions {
  uint64_t Seed = 1;
  int Seconds = 12;
  std::string Folder;
  std::string Program = DAEMON_PROGRAM;
  std::size_t EntryCount = 3;
  std::size_t ControlCount = 3;
  std::size_t BackendCount = 9;
  /// Second octet of the loopback addresses; soaks that run concurrently need
  /// different values.
  int Network = 20;
};

/// One VM under test: its daemon process and the relay in front of its peer
/// port.
struct Node {
  std::string Name;
  std::string DataCentre;
  bool IsControl = false;
  Endpoint PeerEndpoint;
  Endpoint HttpEndpoint;
  std::unique_ptr<relay::Relay> PeerRelay;
  std::unique_ptr<endtoend::Process> Daemon;
  bool Paused = false;
  /// Time from which the VM counts as undisturbed: the end of the last fault
  /// that affects it plus RecoveryTime.
  Instant RecoveredAt;
};

/// A deployment of real daemon processes on loopback addresses. The callers,
/// the operators and the fake backend servers run in this process.
class Soak {
public:
  Soak(EventLoop &Loop, const SoakOptions &InitialOptions);

  /// Starts all daemons and submits the first configuration; the traffic starts
  /// two seconds later.
  void start();
  /// Stops the traffic, waits for outstanding responses and, up to a limit, for
  /// the ends of accepted jobs. Then checks that all accepted jobs have ended
  /// and that each control VM returns the configuration, and calls
  /// \p OnFinished.
  void finish(std::function<void()> OnFinished);

  /// Starts the daemon of \p Vm. \p FirstStart is set for the first start of
  /// the deployment and cleared for restarts.
  void launch(Node &Vm, bool FirstStart);
  /// Deletes the data folder of \p Vm.
  void wipeData(const Node &Vm) const;
  std::vector<Node> &nodes() { return Nodes; }
  std::vector<std::unique_ptr<FakeBackend>> &backends() { return Backends; }
  InvariantChecker &checker() { return Checker; }
  /// Marks a VM as disturbed for \p FaultDuration from now plus RecoveryTime.
  void markDisturbed(Node &Vm, Duration FaultDuration);
  /// Runs \p Callback after \p Delay.
  void scheduleAfter(Duration Delay, std::function<void()> Callback);
  /// Calls \p Callback once, as soon as a configuration is acknowledged.
  void onNextAcknowledgedChange(std::function<void()> Callback) {
    OnAcknowledgedChange = std::move(Callback);
  }
  Random &rng() { return Rng; }
  EventLoop &loop() { return Loop; }

private:
  void writeSettings(const Node &Vm, bool FirstStart) const;
  void submitJob();
  void sendJob(const std::string &Job, const std::string &Body, int Attempt);
  /// Queries the state of an accepted job repeatedly until it has ended.
  void queryJobUntilEnded(const std::string &Job);
  void awaitJobEnds(Instant StartTime, std::function<void()> OnFinished);
  /// Submits a new configuration version; sometimes two operators submit
  /// different contents under the same version.
  void changeConfig();
  void putConfig(Node &Vm, uint64_t Version, const std::string &Body,
                 int Attempt);
  void readConfig();
  /// Reads the configuration at \p Vm until it is returned or \p EndTime has
  /// passed.
  void readConfigUntil(Instant EndTime, const Node &Vm);
  /// Reads the configuration at each control VM, as the operator does when all
  /// faults have ended.
  void checkConfigReadable(std::function<void()> OnFinished);
  Node &pickRandomNode(bool IsControl);
  /// Returns the first three octets of the addresses of control or entry VMs.
  std::string addressPrefix(bool IsControl) const;
  std::string configBody(uint64_t Version, int Variant) const;

  EventLoop &Loop;
  SoakOptions Options;
  Random Rng;
  InvariantChecker Checker;
  BackendClient Client;
  std::vector<Node> Nodes;
  std::vector<std::unique_ptr<FakeBackend>> Backends;
  std::vector<Endpoint> SeedEndpoints;
  uint64_t NextJobNumber = 1;
  uint64_t LatestVersion = 1;
  bool TrafficEnabled = false;
  std::function<void()> OnAcknowledgedChange;
  std::list<std::unique_ptr<Timer>> Timers;
  Timer JobTimer;
  Timer ConfigTimer;
  Timer ConfigReadTimer;
};

} // namespace sapphiremoor::soak

#endif // SAPPHIREMOOR_TESTS_SOAK_SOAK_H
