#ifndef SAPPHIREMOOR_TESTS_SOAK_STANDINCONTROLLED_H
#define SAPPHIREMOOR_TESTS_SOAK_STANDINCONTROLLED_H

#include "framework/core/random.h"
#include "framework/net/backendclient.h"
#include "framework/net/httpserver.h"
#include "framework/net/timer.h"
#include "tests/soak/ledger.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sapphiremoor::soak {

/// What a stand-in of a controlled backend server may do wrong.
struct Disturbance {
  /// Reads orders and answers none.
  bool Silent = false;
  /// Share of orders that get no answer and are carried out seconds later.
  double LateShare = 0;
  double FailShare = 0;
  double Slowness = 1;
};

/// A stand-in of a backend server that starts and stops runs on orders, as the
/// platform's protocol describes it. It tells the ledger what runs.
class StandinControlled {
public:
  StandinControlled(EventLoop &Loop, BackendClient &Client, Ledger &Checked,
                    std::string Id, std::vector<Endpoint> Controls,
                    const std::string &DataCentre, uint64_t Seed);

  /// Ends all runs; after \p Down it is back in a new life under the same id.
  void crash(Duration Down);
  void disturb(const Disturbance &How) { Disturbed = How; }
  /// Ends the runs whose time or lease is over.
  void settle();
  /// Settles all stand-ins; called before an order is carried out, since this
  /// process may have stood still for longer than a lease.
  std::function<void()> SettleAll = [] {};

private:
  struct Run {
    uint64_t Number = 0;
    int64_t Cpu = 0;
    Instant Begin;
    Instant Ends;
    bool Stopping = false;
  };
  /// A hold order that waits for an end.
  struct Waiting {
    Responder Answer;
    Instant Until;
  };

  void handle(const HttpRequest &Request, const Responder &Answer);
  void obey(const std::string &Path, const nlohmann::json &Order,
            const Responder &Answer, bool Answering);
  void start(const nlohmann::json &Order, const Responder &Answer,
             bool Answering);
  void stop(const nlohmann::json &Order);
  void hold(const nlohmann::json &Order, const Responder &Answer);
  void extendLease(const nlohmann::json &Order);
  void reject(const Responder &Answer, const char *Reason, bool Answering);
  nlohmann::json list() const;
  int64_t clock() const;
  void tick();
  void end(const std::string &Task, const char *How);
  void report();
  void beginLife();

  EventLoop &Loop;
  BackendClient &Client;
  Ledger &Checked;
  std::string Id;
  std::vector<Endpoint> Controls;
  std::string DataCentre;
  Random Rng;
  HttpServer Server;
  uint16_t Port;
  Disturbance Disturbed;
  bool Down = false;
  int64_t Born = 0;
  Instant Booted;
  uint64_t Sequence = 0;
  uint64_t Token = 0;
  int64_t LeaseEndMs = 0;
  std::map<std::string, Run> Runs;
  std::map<std::string, uint64_t> HighestEnded;
  std::vector<nlohmann::json> Ended;
  uint64_t NextEnd = 1;
  std::vector<Waiting> Holds;
  std::size_t NextControl = 0;
  std::list<std::unique_ptr<Timer>> LateOrders;
  std::unique_ptr<Timer> Restart;
  Timer TickTimer;
  Timer ReportTimer;
};

} // namespace sapphiremoor::soak

#endif // SAPPHIREMOOR_TESTS_SOAK_STANDINCONTROLLED_H
