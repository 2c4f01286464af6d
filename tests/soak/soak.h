#ifndef SAPPHIREMOOR_TESTS_SOAK_SOAK_H
#define SAPPHIREMOOR_TESTS_SOAK_SOAK_H

#include "framework/net/backendclient.h"
#include "relay.h"
#include "tests/endtoend/process.h"
#include "tests/soak/ledger.h"
#include "tests/soak/standincontrolled.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sapphiremoor::soak {

struct SoakOptions {
  uint64_t Seed = 1;
  int Seconds = 12;
  std::string Folder;
  std::string Program = DAEMON_PROGRAM;
  std::size_t EntryCount = 3;
  std::size_t ControlCount = 3;
  std::size_t BackendCount = 9;
  /// Second number of the loopback addresses, for soaks beside each other.
  int Network = 20;
};

/// One VM under test: its process and the relay before its internal port.
struct Node {
  std::string Name;
  std::string DataCentre;
  bool IsControl = false;
  Endpoint PeerEndpoint;
  Endpoint HttpEndpoint;
  std::unique_ptr<relay::Relay> PeerRelay;
  std::unique_ptr<endtoend::Process> Daemon;
  bool Paused = false;
  /// Disturbed until this time, with the time to recover.
  Instant RecoveredAt;
};

/// A deployment of real processes on loopback addresses, with callers, an
/// operator and stand-ins of backend servers in this process.
class Soak {
public:
  Soak(EventLoop &Loop, const SoakOptions &Options);

  /// Starts all processes and the traffic.
  void start();
  /// Ends the traffic, waits for the ends of accepted jobs, checks what has to
  /// hold in the end, and calls \p OnFinished.
  void finish(std::function<void()> OnFinished);

  void launch(Node &Vm, bool FirstStart);
  void wipeData(const Node &Vm) const;
  std::vector<Node> &nodes() { return Nodes; }
  std::vector<std::unique_ptr<FakeBackend>> &backends() { return Backends; }
  InvariantChecker &checker() { return Checker; }
  /// Marks a VM as disturbed until \p FaultDuration from now.
  void markDisturbed(Node &Vm, Duration FaultDuration);
  /// Runs \p Callback after \p Delay.
  void scheduleAfter(Duration Delay, std::function<void()> Callback);
  Random &rng() { return Rng; }
  EventLoop &loop() { return Loop; }

private:
  void writeSettings(const Node &Vm, bool FirstStart) const;
  void submitJob();
  void sendJob(const std::string &Job, const std::string &Body, int Attempt);
  /// Asks for an accepted job until it has ended.
  void queryJobUntilEnded(const std::string &Job);
  void awaitJobEnds(Instant StartTime, std::function<void()> OnFinished);
  void changeConfig();
  void putConfig(Node &Vm, uint64_t Version, const std::string &Body,
                 int Attempt);
  void readConfig();
  Node &pickRandomNode(bool IsControl);
  /// First three numbers of the addresses of control or entry VMs.
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
  std::list<std::unique_ptr<Timer>> Timers;
  Timer JobTimer;
  Timer ConfigTimer;
  Timer ConfigReadTimer;
};

} // namespace sapphiremoor::soak

#endif // SAPPHIREMOOR_TESTS_SOAK_SOAK_H
