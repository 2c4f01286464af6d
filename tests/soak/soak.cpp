#include "tests/soak/soak.h"

#include <arpa/inet.h>

#include <algorithm>
#include <filesystem>
#include <fstream>

namespace sapphiremoor::soak {

namespace {

using nlohmann::json;

constexpr uint16_t PeerPort = 27720;
constexpr uint16_t HttpPort = 28080;
constexpr uint16_t ReadyPort = 28081;
constexpr Duration JobPeriod = std::chrono::milliseconds(25);
constexpr Duration ConfigPeriod = std::chrono::milliseconds(900);
constexpr Duration ReadPeriod = std::chrono::milliseconds(350);
constexpr int64_t DeadlineMs = 2500;
constexpr Duration AnswerLimit = std::chrono::milliseconds(DeadlineMs + 700);
/// Callers send a job again this long after an answer that tells nothing.
constexpr Duration ResendPause = std::chrono::milliseconds(1300);
/// Every so many jobs one has to be stored.
constexpr uint64_t StoredEvery = 4;
constexpr Duration AskPause = std::chrono::milliseconds(400);
constexpr Duration OrderTimeout = std::chrono::milliseconds(1500);
/// Accepted jobs have to end within this time after the last job was sent.
/// Source: the time after which the users ask for them.
constexpr Duration StoredJobsEnd = std::chrono::seconds(14);
/// Time for answers that are on their way.
constexpr Duration LastAnswers = std::chrono::seconds(4);
constexpr Duration EndCheckPeriod = std::chrono::milliseconds(250);
constexpr Duration RecoveryTime = std::chrono::seconds(5);

sockaddr_in addressOf(const Endpoint &At) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(At.Port);
  inet_pton(AF_INET, At.Address.c_str(), &Address.sin_addr);
  return Address;
}

} // namespace

Soak::Soak(EventLoop &Loop, const SoakOptions &Of)
    : Loop(Loop), Options(Of), Rng(Of.Seed), Client(Loop, {}),
      JobTimer(Loop, [this] { submitJob(); }),
      ConfigTimer(Loop, [this] { changeConfig(); }),
      ReadTimer(Loop, [this] { readConfig(); }) {
  const std::vector<std::string> Centres{"nitra", "trencin", "zilina"};
  const auto Add = [&](bool Control, std::size_t Number) {
    Node Added;
    Added.Name = (Control ? "control-" : "entry-") + std::to_string(Number);
    Added.DataCentre = Centres[Number % Centres.size()];
    Added.Control = Control;
    const std::string Address = subnet(Control) + std::to_string(Number + 1);
    Added.Peer = {Address, PeerPort};
    Added.Http = {Address, HttpPort};
    Added.Link =
        std::make_unique<relay::Relay>(Loop.base(), 0, addressOf(Added.Peer));
    Nodes.push_back(std::move(Added));
  };
  for (std::size_t Number = 0; Number < Options.Controls; ++Number)
    Add(true, Number);
  for (std::size_t Number = 0; Number < Options.Entries; ++Number)
    Add(false, Number);
  std::vector<Endpoint> ControlHttp;
  for (const Node &Each : Nodes) {
    if (!Each.Control)
      continue;
    if (Seeds.size() < 3)
      Seeds.push_back({"127.0.0.1", Each.Link->port()});
    ControlHttp.push_back(Each.Http);
  }
  for (std::size_t Number = 0; Number < Options.Backends; ++Number)
    Backends.push_back(std::make_unique<StandinControlled>(
        Loop, Client, Checked, "b" + std::to_string(Number), ControlHttp,
        Centres[Number % Centres.size()], Rng()));
  for (const auto &Each : Backends)
    Each->SettleAll = [this] {
      for (const auto &Other : Backends)
        Other->settle();
    };
}

void Soak::writeSettings(const Node &Of, bool FirstStart) const {
  json Settings{
      {"name", Of.Name},
      {"data_centre", Of.DataCentre},
      {"role", Of.Control ? "control" : "entry"},
      {"peer", describe(Of.Peer)},
      {"advertised_peer", "127.0.0.1:" + std::to_string(Of.Link->port())},
      {"first_start", FirstStart},
      {"trusted_network", true},
      {"stop_limit_s", 4}};
  for (const Endpoint &Each : Seeds)
    Settings["seeds"].push_back(describe(Each));
  if (Of.Control) {
    Settings["control"] = describe(Of.Http);
    Settings["data_folder"] = Options.Folder + "/" + Of.Name + ".data";
  } else {
    Settings["front"] = describe(Of.Http);
    Settings["ready"] = describe({Of.Http.Address, ReadyPort});
  }
  std::ofstream(Options.Folder + "/" + Of.Name + ".json") << Settings.dump(1);
}

void Soak::launch(Node &Of, bool FirstStart) {
  writeSettings(Of, FirstStart);
  Of.Daemon = std::make_unique<endtoend::Process>(
      std::vector<std::string>{Options.Program, "node", "--settings",
                               Options.Folder + "/" + Of.Name + ".json"},
      Options.Folder + "/" + Of.Name + ".log");
  Of.Paused = false;
}

void Soak::wipe(const Node &Of) const {
  std::filesystem::remove_all(Options.Folder + "/" + Of.Name + ".data");
}

void Soak::start() {
  for (Node &Each : Nodes)
    launch(Each, true);
  Running = true;
  changeConfig();
  after(std::chrono::seconds(2), [this] {
    JobTimer.startPeriodic(JobPeriod);
    ConfigTimer.startPeriodic(ConfigPeriod);
    ReadTimer.startPeriodic(ReadPeriod);
  });
}

void Soak::after(Duration Delay, std::function<void()> What) {
  Timers.push_back(std::make_unique<Timer>(Loop, std::move(What)));
  Timers.back()->start(Delay);
}

void Soak::disturbed(Node &Of, Duration Time) {
  Of.CalmFrom = std::max(Of.CalmFrom, Loop.now() + Time + RecoveryTime);
}

Node &Soak::pick(bool Control) {
  std::vector<Node *> Fitting;
  for (Node &Each : Nodes)
    if (Each.Control == Control)
      Fitting.push_back(&Each);
  return *Fitting[Rng() % Fitting.size()];
}

void Soak::submitJob() {
  char Id[17];
  snprintf(Id, sizeof(Id), "%016lx",
           static_cast<unsigned long>(Options.Seed << 32 | NextJob++));
  const auto Tasks = static_cast<unsigned>(1 + Rng() % 4);
  const int64_t WorkMs = 30 + static_cast<int64_t>(Rng() % 300);
  const int64_t Cpu = 600 + static_cast<int64_t>(Rng() % 1400);
  const bool Stored = NextJob % StoredEvery == 0;
  Checked.submitted(Id, Tasks, Stored);
  const json Body{
      {"spec", json{{"ms", WorkMs}, {"cpu", Cpu}}.dump()},
      {"best_effort", !Stored},
      {"steps", {{{"count", Tasks}, {"cpu", Cpu}, {"estimate_ms", WorkMs}}}}};
  sendJob(Id, Body.dump(), 1);
}

void Soak::sendJob(const std::string &Job, const std::string &Body,
                   int Attempt) {
  constexpr int MostAttempts = 3;
  Node &To = pick(false);
  HttpCallRequest Request;
  Request.Path = "/q/" + Job;
  Request.Headers = {{"X-Deadline-Ms", std::to_string(DeadlineMs)}};
  Request.Body = Body;
  Request.Timeout = AnswerLimit;
  const Instant Sent = Loop.now();
  Client.send(To.Http, Request, [=, this, &To](const HttpCallResult &Answer) {
    const bool Answered = Answer.Status == HttpCallStatus::Answered;
    const bool Calm = To.CalmFrom < Sent;
    if (!Answered && Calm && Loop.now() - Sent >= AnswerLimit)
      Checked.unanswered(Job, To.Name);
    Checked.answered(Job, Answered ? Answer.StatusCode : 0, Answer.Body);
    if (Answered && Answer.StatusCode == 200 && Answer.Body == "{}")
      follow(Job);
    const bool Unclear =
        !Answered || Answer.StatusCode == 502 || Answer.StatusCode == 504;
    if (Unclear && Attempt < MostAttempts && Running)
      after(ResendPause, [=, this] { sendJob(Job, Body, Attempt + 1); });
  });
}

void Soak::follow(const std::string &Job) {
  after(AskPause, [this, Job] {
    HttpCallRequest Request;
    Request.Method = HttpMethod::Get;
    Request.Path = "/q/" + Job;
    Request.Timeout = OrderTimeout;
    Client.send(pick(false).Http, Request,
                [this, Job](const HttpCallResult &Answer) {
                  const bool Told =
                      Answer.Status == HttpCallStatus::Answered &&
                      (Answer.StatusCode == 200 || Answer.StatusCode == 410);
                  const json Body = json::parse(Answer.Body, nullptr, false);
                  const std::string State =
                      Told && Body.is_object() ? Body.value("state", "") : "";
                  if (!Told || !Checked.stateTold(Job, State))
                    follow(Job);
                });
  });
}

std::string Soak::subnet(bool Control) const {
  return "127." + std::to_string(Options.Network) + (Control ? ".31." : ".32.");
}

std::string Soak::configBody(uint64_t Version, int Variant) const {
  json Routes = json::array();
  Routes.push_back({{"name", "q"},
                    {"host", subnet(false) + "1"},
                    {"path_prefix", "/q/"},
                    {"timeout_ms", 3000 + Variant},
                    {"service", "stamp"},
                    {"attempts", 3},
                    {"stretch", 1.6},
                    {"slo_ms", 800}});
  for (std::size_t Number = 1; Number < Options.Entries; ++Number) {
    Routes.push_back(Routes[0]);
    Routes.back()["host"] = subnet(false) + std::to_string(Number + 1);
  }
  return json{{"version", Version},
              {"routes", Routes},
              {"services", {{{"name", "stamp"}}}}}
      .dump();
}

void Soak::changeConfig() {
  NextVersion += 1 + Rng() % 3;
  putConfig(pick(true), NextVersion, configBody(NextVersion, 0), 1);
  // Two operators race with one number and different contents.
  if (Rng() % 3 == 0)
    putConfig(pick(true), NextVersion, configBody(NextVersion, 1), 1);
}

void Soak::putConfig(Node &At, uint64_t Version, const std::string &Body,
                     int Attempt) {
  constexpr int MostAttempts = 8;
  HttpCallRequest Request;
  Request.Path = "/api/config/put";
  Request.Body = Body;
  Request.Timeout = OrderTimeout;
  Client.send(At.Http, Request, [=, this](const HttpCallResult &Answer) {
    if (Answer.Status == HttpCallStatus::Answered && Answer.StatusCode == 200)
      Checked.configAcknowledged(Version, Body);
    else if (Answer.Status == HttpCallStatus::Answered &&
             Answer.StatusCode < 500)
      Checked.broken("a valid configuration was refused");
    else if (Attempt < MostAttempts && Running)
      after(std::chrono::milliseconds(200),
            [=, this] { putConfig(pick(true), Version, Body, Attempt + 1); });
  });
}

void Soak::readConfig() {
  HttpCallRequest Request;
  Request.Method = HttpMethod::Get;
  Request.Path = "/api/config/get";
  Request.Timeout = OrderTimeout;
  const uint64_t Floor = Checked.newestAcknowledged();
  Client.send(pick(true).Http, Request,
              [this, Floor](const HttpCallResult &Answer) {
                if (Answer.Status == HttpCallStatus::Answered &&
                    Answer.StatusCode == 200)
                  Checked.configRead(Floor, Answer.Body);
              });
}

void Soak::finish(std::function<void()> OnSettled) {
  JobTimer.cancel();
  ConfigTimer.cancel();
  ReadTimer.cancel();
  Running = false;
  awaitEnds(Loop.now(), std::move(OnSettled));
}

void Soak::awaitEnds(Instant Since, std::function<void()> OnSettled) {
  const Duration Waited = Loop.now() - Since;
  const bool Settled = Waited >= LastAnswers && Checked.allEnded();
  if (!Settled && Waited < StoredJobsEnd) {
    after(EndCheckPeriod, [this, Since, Handler = std::move(OnSettled)] {
      awaitEnds(Since, Handler);
    });
    return;
  }
  Checked.checkAccepted();
  OnSettled();
}

} // namespace sapphiremoor::soak
