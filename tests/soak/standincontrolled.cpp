#include "tests/soak/standincontrolled.h"

#include <algorithm>
#include <utility>

namespace sapphiremoor::soak {

namespace {

using nlohmann::json;

constexpr int64_t Capacity = 4000;
constexpr int64_t LongestLeaseMs = 1000;
constexpr Duration TickPeriod = std::chrono::milliseconds(5);
constexpr Duration ReportPeriod = std::chrono::milliseconds(500);
constexpr Duration StopTime = std::chrono::milliseconds(20);

} // namespace

StandinControlled::StandinControlled(EventLoop &Loop, BackendClient &Client,
                                     Ledger &Checked, std::string Name,
                                     std::vector<Endpoint> Named,
                                     const std::string &DataCentre,
                                     uint64_t Seed)
    : Loop(Loop), Client(Client), Checked(Checked), Id(std::move(Name)),
      Controls(std::move(Named)), DataCentre(DataCentre), Rng(Seed),
      Server(Loop, {},
             [this](const HttpRequest &Request, const Responder &Answer) {
               handle(Request, Answer);
             }),
      Port(valueOf(Server.listen({"127.0.0.1", 0}))),
      TickTimer(Loop, [this] { tick(); }),
      ReportTimer(Loop, [this] { report(); }) {
  beginLife();
  TickTimer.startPeriodic(TickPeriod);
  ReportTimer.startPeriodic(ReportPeriod);
}

void StandinControlled::beginLife() {
  const auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  Born =
      std::max(Born + 1,
               std::chrono::duration_cast<std::chrono::milliseconds>(SinceEpoch)
                   .count());
  Booted = Loop.now();
  Sequence = 0;
  Token = 0;
  LeaseEndMs = 0;
  NextEnd = 1;
  Ended.clear();
  HighestEnded.clear();
  Down = false;
}

void StandinControlled::crash(Duration Time) {
  for (const auto &[Task, Of] : Runs)
    Checked.ended(Id, Task, false);
  Runs.clear();
  Holds.clear();
  Down = true;
  Restart = std::make_unique<Timer>(Loop, [this] { beginLife(); });
  Restart->start(Time);
}

int64_t StandinControlled::clock() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Loop.now() -
                                                               Booted)
      .count();
}

void StandinControlled::handle(const HttpRequest &Request,
                               const Responder &Answer) {
  const json Order = json::parse(Request.Body, nullptr, false);
  if (!Order.is_object()) {
    Answer.respond({400, "{}"});
    return;
  }
  // A responder that is kept gives no answer; the caller's timeout ends it.
  const auto Keep = [this, Answer](Duration Time) {
    auto Held = std::make_unique<Timer>(Loop, [Answer] {});
    Held->start(Time);
    LateOrders.push_back(std::move(Held));
  };
  if (Down || Disturbed.Silent) {
    Keep(std::chrono::seconds(1));
    return;
  }
  const bool Late =
      std::uniform_real_distribution<double>(0, 1)(Rng) < Disturbed.LateShare;
  if (!Late) {
    obey(Request.Path, Order, Answer, true);
    return;
  }
  auto Carried =
      std::make_unique<Timer>(Loop, [this, Path = Request.Path, Order, Answer] {
        if (!Down)
          obey(Path, Order, Answer, false);
      });
  Carried->start(std::chrono::milliseconds(2000 + Rng() % 3000));
  LateOrders.push_back(std::move(Carried));
}

void StandinControlled::reject(const Responder &Answer, const char *Reason,
                               bool Answering) {
  if (Answering)
    Answer.respond(
        {409, json{{"wall_clock_ms", clock()}, {"reason", Reason}}.dump()});
}

void StandinControlled::obey(const std::string &Path, const json &Order,
                             const Responder &Answer, bool Answering) {
  SettleAll();
  const uint64_t Given = Order.value("fencing_token", uint64_t{0});
  if (Given < Token) {
    reject(Answer, "fence", Answering);
    return;
  }
  Token = Given;
  if (Path == "/api/run-start") {
    start(Order, Answer, Answering);
    return;
  }
  if (Path == "/api/run-stop")
    stop(Order);
  if (!Answering)
    return;
  if (Path == "/api/hold")
    hold(Order, Answer);
  else
    Answer.respond({200, json{{"wall_clock_ms", clock()}}.dump()});
}

void StandinControlled::extendLease(const json &Order) {
  const int64_t Asked = Order.value("expires_at_ms", int64_t{0});
  LeaseEndMs = std::max(LeaseEndMs, std::min(Asked, clock() + LongestLeaseMs));
}

void StandinControlled::start(const json &Order, const Responder &Answer,
                              bool Answering) {
  const std::string Task = Order.at("task");
  const uint64_t Number = Order.at("run");
  if (clock() > Order.at("expires_at_ms").get<int64_t>()) {
    reject(Answer, "late", Answering);
    return;
  }
  extendLease(Order);
  const auto Found = Runs.find(Task);
  if (Found == Runs.end() && Number <= HighestEnded[Task]) {
    reject(Answer, "old", Answering);
    return;
  }
  if (Found == Runs.end()) {
    // The payload says what the task needs and how long it takes.
    const json Spec = json::parse(Order.at("spec").get<std::string>());
    const auto Work = std::chrono::duration_cast<Duration>(
        std::chrono::milliseconds(Spec.at("ms").get<int64_t>()) *
        Disturbed.Slowness);
    const Instant Now = Loop.now();
    Runs[Task] = {Number, Spec.at("cpu"), Now, Now + Work, false};
    Checked.started(Id, Task);
    int64_t Used = 0;
    for (const auto &[Name, Of] : Runs)
      Used += Of.Cpu;
    if (Used > Capacity)
      Checked.overfilled(Id);
  }
  if (Answering)
    Answer.respond({200, json{{"wall_clock_ms", clock()}}.dump()});
}

void StandinControlled::stop(const json &Order) {
  const std::string Task = Order.at("task");
  const uint64_t Number = Order.at("run");
  const auto Found = Runs.find(Task);
  if (Found != Runs.end() && Found->second.Number == Number) {
    Found->second.Stopping = true;
    Found->second.Ends = std::min(Found->second.Ends, Loop.now() + StopTime);
  }
  uint64_t &Highest = HighestEnded[Task];
  Highest = std::max(Highest, Number);
}

void StandinControlled::hold(const json &Order, const Responder &Answer) {
  const uint64_t Confirmed = Order.value("ack_cursor", uint64_t{0});
  for (const json &Row : Ended)
    if (Row.at(0).get<uint64_t>() <= Confirmed && Row.at(3) == "done" &&
        clock() <= LeaseEndMs)
      Checked.confirmed(Row.at(1).get<std::string>());
  std::erase_if(Ended, [Confirmed](const json &Row) {
    return Row.at(0).get<uint64_t>() <= Confirmed;
  });
  extendLease(Order);
  const auto Wait =
      std::chrono::milliseconds(Order.value("wait_ms", int64_t{0}));
  if (Ended.empty() && Wait.count() > 0)
    Holds.push_back({Answer, Loop.now() + Wait});
  else
    Answer.respond({200, list().dump()});
}

json StandinControlled::list() const {
  json Active = json::array();
  const Instant Now = Loop.now();
  for (const auto &[Task, Of] : Runs) {
    const double Share = std::chrono::duration<double>(Now - Of.Begin) /
                         std::chrono::duration<double>(
                             std::max(Of.Ends - Of.Begin, Duration(1)));
    Active.push_back(
        json::array({Task, Of.Number, "", static_cast<int>(99 * Share)}));
  }
  return {{"wall_clock_ms", clock()},
          {"born", Born},
          {"running", Active},
          {"finished", Ended}};
}

void StandinControlled::end(const std::string &Task, const char *How) {
  const Run Of = Runs.at(Task);
  Runs.erase(Task);
  uint64_t &Highest = HighestEnded[Task];
  Highest = std::max(Highest, Of.Number);
  Ended.push_back(json::array({NextEnd++, Task, Of.Number, How, ""}));
  Checked.ended(Id, Task, std::string(How) == "done");
}

void StandinControlled::settle() {
  const Instant Now = Loop.now();
  const bool Expired = clock() > LeaseEndMs;
  std::vector<std::pair<std::string, const char *>> Ends;
  for (const auto &[Task, Of] : Runs) {
    const bool Fails =
        std::uniform_real_distribution<double>(0, 1)(Rng) < Disturbed.FailShare;
    if (Expired)
      Ends.emplace_back(Task, "lapsed");
    else if (Now >= Of.Ends)
      Ends.emplace_back(Task, Of.Stopping ? "stopped"
                              : Fails     ? "failed"
                                          : "done");
  }
  for (const auto &[Task, How] : Ends)
    end(Task, How);
}

void StandinControlled::tick() {
  if (Down)
    return;
  settle();
  const Instant Now = Loop.now();
  const auto Due = std::ranges::partition(Holds, [&](const Waiting &Each) {
    return Ended.empty() && Now < Each.Until;
  });
  for (const Waiting &Each : Due)
    if (!Disturbed.Silent)
      Each.Answer.respond({200, list().dump()});
  Holds.erase(Due.begin(), Due.end());
}

void StandinControlled::report() {
  if (Down)
    return;
  HttpCallRequest Request;
  Request.Path = "/api/instances/" + Id + "/heartbeat";
  Request.Timeout = std::chrono::milliseconds(300);
  Request.Body = json{
      {"service", "stamp"},
      {"address", "127.0.0.1:" + std::to_string(Port)},
      {"zone", DataCentre},
      {"state", "ready"},
      {"capacity", {{"cpu", Capacity}, {"mem_mb", 1000}}},
      {"labels", {"a", "r1"}},
      {"sequence", ++Sequence},
      {"born", Born}}.dump();
  Client.send(Controls[NextControl % Controls.size()], Request,
              [this](const HttpCallResult &Answer) {
                if (Answer.Status != HttpCallStatus::Answered)
                  ++NextControl;
              });
}

} // namespace sapphiremoor::soak
