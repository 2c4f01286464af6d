#ifndef SAPPHIREMOOR_TESTS_SOAK_FAKEBACKEND_H
#define SAPPHIREMOOR_TESTS_SOAK_FAKEBACKEND_H

#include "framework/core/random.h"
#include "framework/net/backendclient.h"
#include "framework/net/httpserver.h"
#include "framework/net/timer.h"
#include "tests/soak/invariantchecker.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sapphiremoor::soak {

/// Faults that a fake backend server shows.
struct BackendFaults {
  /// Reads orders, does not execute them and sends no response.
  bool Unresponsive = false;
  /// Share of orders that get no response and are executed seconds later.
  double LateOrderShare = 0;
  double FailureShare = 0;
  double SlowdownFactor = 1;
};

/// A fake backend server that starts and stops runs on orders of the control
/// VMs, as the platform's protocol requires. It reports its runs to the
/// invariant checker.
class FakeBackend {
public:
  FakeBackend(EventLoop &Loop, BackendClient &Client, InvariantChecker &Checker,
              std::string BackendId, std::vector<Endpoint> Endpoints,
              const std::string &DataCentre, uint64_t Seed);

  /// Ends all runs; after \p Downtime the server is back with a new incarnation
  /// under the same id.
  void crash(Duration Downtime);
  void setFaults(const BackendFaults &NewFaults) { Faults = NewFaults; }
  /// Ends the runs that have completed or whose lease has expired.
  void endFinishedRuns();
  /// Called before an order is executed. Ends the finished runs of all fake
  /// backend servers, because this process may have been paused for longer than
  /// a lease.
  std::function<void()> BeforeOrder = [] {};

private:
  struct Run {
    uint64_t Number = 0;
    int64_t Cpu = 0;
    Instant StartTime;
    Instant EndTime;
    bool Stopping = false;
  };
  /// A poll that waits for the end of a run.
  struct PendingPoll {
    Responder Reply;
    Instant Deadline;
  };

  void handleRequest(const HttpRequest &Request, const Responder &Reply);
  void execute(const std::string &Path, const nlohmann::json &Order,
               const Responder &Reply, bool ShouldReply);
  void startRun(const nlohmann::json &Order, const Responder &Reply,
                bool ShouldReply);
  void stopRun(const nlohmann::json &Order);
  void handlePoll(const nlohmann::json &Order, const Responder &Reply);
  void extendLease(const nlohmann::json &Order);
  void reject(const Responder &Reply, const char *Reason, bool ShouldReply);
  nlohmann::json pollReplyBody() const;
  int64_t clockMs() const;
  void tick();
  void endRun(const std::string &Task, const char *Outcome);
  void sendHeartbeat();
  void startIncarnation();

  EventLoop &Loop;
  BackendClient &Client;
  InvariantChecker &Checker;
  std::string Id;
  std::vector<Endpoint> ControlEndpoints;
  std::string DataCentre;
  Random Rng;
  HttpServer Server;
  uint16_t Port;
  BackendFaults Faults;
  bool Crashed = false;
  int64_t Incarnation = 0;
  Instant IncarnationStartTime;
  uint64_t Sequence = 0;
  uint64_t FencingToken = 0;
  int64_t LeaseEndMs = 0;
  std::map<std::string, Run> Runs;
  std::map<std::string, uint64_t> HighestEndedRuns;
  std::vector<nlohmann::json> EndedRuns;
  uint64_t NextEndNumber = 1;
  std::vector<PendingPoll> PendingPolls;
  std::size_t NextControlIndex = 0;
  std::list<std::unique_ptr<Timer>> PendingTimers;
  std::unique_ptr<Timer> RestartTimer;
  Timer TickTimer;
  Timer HeartbeatTimer;
};

} // namespace sapphiremoor::soak

#endif // SAPPHIREMOOR_TESTS_SOAK_FAKEBACKEND_H
