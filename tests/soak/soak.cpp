#include "tests/soak/soak.h"

#include <arpa/inet.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <utility>

namespace sapphiremoor::soak {

namespace {

using nlohmann::json;

constexpr uint16_t PeerPort = 27720;
constexpr uint16_t HttpPort = 28080;
constexpr uint16_t ReadyPort = 28081;
constexpr Duration JobPeriod = std::chrono::milliseconds(25);
constexpr Duration ConfigPeriod = std::chrono::milliseconds(900);
constexpr Duration ConfigReadPeriod = std::chrono::milliseconds(350);
constexpr int64_t DeadlineMs = 2500;
constexpr Duration ResponseTimeout =
    std::chrono::milliseconds(DeadlineMs + 700);
/// Delay before a caller sends a job again whose outcome is unknown.
constexpr Duration ResendDelay = std::chrono::milliseconds(1300);
/// One in this many jobs is submitted as a stored job.
constexpr uint64_t JobsPerStoredJob = 4;
constexpr Duration StateQueryDelay = std::chrono::milliseconds(400);
constexpr Duration RequestTimeout = std::chrono::milliseconds(1500);
/// Accepted jobs have to end within this time after the last job was sent,
/// because the users query them after this time.
constexpr Duration StoredJobEndTimeout = std::chrono::seconds(14);
/// Time to wait for responses to requests that are still in flight.
constexpr Duration ResponseDrainTime = std::chrono::seconds(4);
constexpr Duration EndCheckPeriod = std::chrono::milliseconds(250);
constexpr Duration RecoveryTime = std::chrono::seconds(5);
/// For this time the operator reads the configuration at the end.
constexpr Duration FinalReadTime = std::chrono::seconds(3);
constexpr Duration FinalReadPeriod = std::chrono::milliseconds(100);

sockaddr_in socketAddress(const Endpoint &Ep) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Ep.Port);
  inet_pton(AF_INET, Ep.Address.c_str(), &Address.sin_addr);
  return Address;
}

} // namespace

Soak::Soak(EventLoop &Loop, const SoakOptions &InitialOptions)
    : Loop(Loop), Options(InitialOptions), Rng(InitialOptions.Seed),
      Client(Loop, {}), JobTimer(Loop, [this] { submitJob(); }),
      ConfigTimer(Loop, [this] { changeConfig(); }),
      ConfigReadTimer(Loop, [this] { readConfig(); }) {
  const std::vector<std::string> DataCentres{"nitra", "trencin", "zilina"};
  const auto AddNode = [&](bool IsControl, std::size_t Number) {
    Node NewNode;
    NewNode.Name = (IsControl ? "control-" : "entry-") + std::to_string(Number);
    NewNode.DataCentre = DataCentres[Number % DataCentres.size()];
    NewNode.IsControl = IsControl;
    const std::string Address =
        addressPrefix(IsControl) + std::to_string(Number + 1);
    NewNode.PeerEndpoint = {Address, PeerPort};
    NewNode.HttpEndpoint = {Address, HttpPort};
    NewNode.PeerRelay = std::make_unique<relay::Relay>(
        Loop.base(), 0, socketAddress(NewNode.PeerEndpoint));
    Nodes.push_back(std::move(NewNode));
  };
  for (std::size_t Number = 0; Number < Options.ControlCount; ++Number)
    AddNode(true, Number);
  for (std::size_t Number = 0; Number < Options.EntryCount; ++Number)
    AddNode(false, Number);
  std::vector<Endpoint> ControlEndpoints;
  for (const Node &Vm : Nodes) {
    if (!Vm.IsControl)
      continue;
    if (SeedEndpoints.size() < 3)
      SeedEndpoints.push_back({"127.0.0.1", Vm.PeerRelay->port()});
    ControlEndpoints.push_back(Vm.HttpEndpoint);
  }
  for (std::size_t Number = 0; Number < Options.BackendCount; ++Number)
    Backends.push_back(std::make_unique<FakeBackend>(
        Loop, Client, Checker, "b" + std::to_string(Number), ControlEndpoints,
        DataCentres[Number % DataCentres.size()], Rng()));
  for (const auto &Backend : Backends)
    Backend->BeforeOrder = [this] {
      for (const auto &OtherBackend : Backends)
        OtherBackend->endFinishedRuns();
    };
}

void Soak::writeSettings(const Node &Vm, bool FirstStart) const {
  json Settings{
      {"name", Vm.Name},
      {"data_centre", Vm.DataCentre},
      {"role", Vm.IsControl ? "control" : "entry"},
      {"peer", describe(Vm.PeerEndpoint)},
      {"advertised_peer", "127.0.0.1:" + std::to_string(Vm.PeerRelay->port())},
      {"first_start", FirstStart},
      {"trusted_network", true},
      {"stop_limit_s", 4}};
  for (const Endpoint &SeedEndpoint : SeedEndpoints)
    Settings["seeds"].push_back(describe(SeedEndpoint));
  if (Vm.IsControl) {
    Settings["control"] = describe(Vm.HttpEndpoint);
    Settings["data_folder"] = Options.Folder + "/" + Vm.Name + ".data";
  } else {
    Settings["front"] = describe(Vm.HttpEndpoint);
    Settings["ready"] = describe({Vm.HttpEndpoint.Address, ReadyPort});
  }
  std::ofstream(Options.Folder + "/" + Vm.Name + ".json") << Settings.dump(1);
}

void Soak::launch(Node &Vm, bool FirstStart) {
  writeSettings(Vm, FirstStart);
  Vm.Daemon = std::make_unique<endtoend::Process>(
      std::vector<std::string>{Options.Program, "node", "--settings",
                               Options.Folder + "/" + Vm.Name + ".json"},
      Options.Folder + "/" + Vm.Name + ".log");
  Vm.Paused = false;
}

void Soak::wipeData(const Node &Vm) const {
  std::filesystem::remove_all(Options.Folder + "/" + Vm.Name + ".data");
}

void Soak::start() {
  for (Node &Vm : Nodes)
    launch(Vm, true);
  TrafficEnabled = true;
  changeConfig();
  scheduleAfter(std::chrono::seconds(2), [this] {
    JobTimer.startPeriodic(JobPeriod);
    ConfigTimer.startPeriodic(ConfigPeriod);
    ConfigReadTimer.startPeriodic(ConfigReadPeriod);
  });
}

void Soak::scheduleAfter(Duration Delay, std::function<void()> Callback) {
  Timers.push_back(std::make_unique<Timer>(Loop, std::move(Callback)));
  Timers.back()->start(Delay);
}

void Soak::markDisturbed(Node &Vm, Duration FaultDuration) {
  Vm.RecoveredAt =
      std::max(Vm.RecoveredAt, Loop.now() + FaultDuration + RecoveryTime);
}

Node &Soak::pickRandomNode(bool IsControl) {
  std::vector<Node *> Candidates;
  for (Node &Candidate : Nodes)
    if (Candidate.IsControl == IsControl)
      Candidates.push_back(&Candidate);
  return *Candidates[Rng() % Candidates.size()];
}

void Soak::submitJob() {
  char Id[17];
  snprintf(Id, sizeof(Id), "%016lx",
           static_cast<unsigned long>(Options.Seed << 32 | NextJobNumber++));
  const auto TaskCount = static_cast<unsigned>(1 + Rng() % 4);
  const int64_t WorkMs = 30 + static_cast<int64_t>(Rng() % 300);
  const int64_t Cpu = 600 + static_cast<int64_t>(Rng() % 1400);
  const bool Stored = NextJobNumber % JobsPerStoredJob == 0;
  Checker.recordSubmission(Id, TaskCount, Stored);
  const json Body{
      {"spec", json{{"ms", WorkMs}, {"cpu", Cpu}}.dump()},
      {"best_effort", !Stored},
      {"steps",
       {{{"count", TaskCount}, {"cpu", Cpu}, {"estimate_ms", WorkMs}}}}};
  sendJob(Id, Body.dump(), 1);
}

void Soak::sendJob(const std::string &Job, const std::string &Body,
                   int Attempt) {
  constexpr int MaxAttempts = 3;
  Node &EntryVm = pickRandomNode(false);
  HttpCallRequest Request;
  Request.Path = "/q/" + Job;
  Request.Headers = {{"X-Deadline-Ms", std::to_string(DeadlineMs)}};
  Request.Body = Body;
  Request.Timeout = ResponseTimeout;
  const Instant SentAt = Loop.now();
  Client.send(
      EntryVm.HttpEndpoint, Request,
      [=, this, &EntryVm](const HttpCallResult &Response) {
        const bool Answered = Response.Status == HttpCallStatus::Answered;
        const bool WasUndisturbed = EntryVm.RecoveredAt < SentAt;
        if (!Answered && WasUndisturbed &&
            Loop.now() - SentAt >= ResponseTimeout)
          Checker.recordResponseTimeout(Job, EntryVm.Name);
        Checker.recordResponse(Job, Answered ? Response.StatusCode : 0,
                               Response.Body);
        if (Answered && Response.StatusCode == 200 && Response.Body == "{}")
          queryJobUntilEnded(Job);
        const bool OutcomeUnknown = !Answered || Response.StatusCode == 502 ||
                                    Response.StatusCode == 504;
        if (OutcomeUnknown && Attempt < MaxAttempts && TrafficEnabled)
          scheduleAfter(ResendDelay,
                        [=, this] { sendJob(Job, Body, Attempt + 1); });
      });
}

void Soak::queryJobUntilEnded(const std::string &Job) {
  scheduleAfter(StateQueryDelay, [this, Job] {
    HttpCallRequest Request;
    Request.Method = HttpMethod::Get;
    Request.Path = "/q/" + Job;
    Request.Timeout = RequestTimeout;
    Client.send(
        pickRandomNode(false).HttpEndpoint, Request,
        [this, Job](const HttpCallResult &Response) {
          const bool StateKnown =
              Response.Status == HttpCallStatus::Answered &&
              (Response.StatusCode == 200 || Response.StatusCode == 410);
          const json Body = json::parse(Response.Body, nullptr, false);
          const std::string State =
              StateKnown && Body.is_object() ? Body.value("state", "") : "";
          if (!StateKnown || !Checker.recordJobState(Job, State))
            queryJobUntilEnded(Job);
        });
  });
}

std::string Soak::addressPrefix(bool IsControl) const {
  return "127." + std::to_string(Options.Network) +
         (IsControl ? ".31." : ".32.");
}

std::string Soak::configBody(uint64_t Version, int Variant) const {
  json Routes = json::array();
  Routes.push_back({{"name", "q"},
                    {"host", addressPrefix(false) + "1"},
                    {"path_prefix", "/q/"},
                    {"timeout_ms", 3000 + Variant},
                    {"service", "stamp"},
                    {"attempts", 3},
                    {"stretch", 1.6},
                    {"slo_ms", 800}});
  for (std::size_t Number = 1; Number < Options.EntryCount; ++Number) {
    Routes.push_back(Routes[0]);
    Routes.back()["host"] = addressPrefix(false) + std::to_string(Number + 1);
  }
  return json{{"version", Version},
              {"routes", Routes},
              {"services", {{{"name", "stamp"}}}}}
      .dump();
}

void Soak::changeConfig() {
  LatestVersion += 1 + Rng() % 3;
  putConfig(pickRandomNode(true), LatestVersion, configBody(LatestVersion, 0),
            1);
  // Two operators race: the same version number with different contents.
  if (Rng() % 3 == 0)
    putConfig(pickRandomNode(true), LatestVersion, configBody(LatestVersion, 1),
              1);
}

void Soak::putConfig(Node &Vm, uint64_t Version, const std::string &Body,
                     int Attempt) {
  constexpr int MaxAttempts = 8;
  HttpCallRequest Request;
  Request.Path = "/api/config/put";
  Request.Body = Body;
  Request.Timeout = RequestTimeout;
  Client.send(
      Vm.HttpEndpoint, Request, [=, this](const HttpCallResult &Response) {
        if (Response.Status == HttpCallStatus::Answered &&
            Response.StatusCode == 200) {
          Checker.recordConfigAcknowledged(Version, Body);
          if (const auto Handler = std::exchange(OnAcknowledgedChange, {}))
            Handler();
        } else if (Response.Status == HttpCallStatus::Answered &&
                   Response.StatusCode < 500)
          Checker.addViolation("a valid configuration was refused");
        else if (Attempt < MaxAttempts && TrafficEnabled)
          scheduleAfter(std::chrono::milliseconds(200), [=, this] {
            putConfig(pickRandomNode(true), Version, Body, Attempt + 1);
          });
      });
}

void Soak::readConfig() {
  HttpCallRequest Request;
  Request.Method = HttpMethod::Get;
  Request.Path = "/api/config/get";
  Request.Timeout = RequestTimeout;
  const uint64_t MinVersion = Checker.newestAcknowledgedVersion();
  Client.send(pickRandomNode(true).HttpEndpoint, Request,
              [this, MinVersion](const HttpCallResult &Response) {
                if (Response.Status == HttpCallStatus::Answered &&
                    Response.StatusCode == 200)
                  Checker.recordConfigRead(MinVersion, Response.Body);
              });
}

void Soak::readConfigUntil(Instant EndTime, const Node &Vm) {
  HttpCallRequest Request;
  Request.Method = HttpMethod::Get;
  Request.Path = "/api/config/get";
  Request.Timeout = RequestTimeout;
  Client.send(
      Vm.HttpEndpoint, Request,
      [this, EndTime, &Vm](const HttpCallResult &Response) {
        const bool Answered = Response.Status == HttpCallStatus::Answered;
        if (Answered && Response.StatusCode == 200)
          Checker.recordConfigRead(Checker.newestAcknowledgedVersion(),
                                   Response.Body);
        else if (Loop.now() < EndTime)
          scheduleAfter(FinalReadPeriod,
                        [this, EndTime, &Vm] { readConfigUntil(EndTime, Vm); });
        else
          Checker.addViolation(
              "the configuration cannot be read at " + Vm.Name + ": status " +
              std::to_string(Answered ? Response.StatusCode : 0));
      });
}

void Soak::checkConfigReadable(std::function<void()> OnFinished) {
  for (const Node &Vm : Nodes)
    if (Vm.IsControl)
      readConfigUntil(Loop.now() + FinalReadTime, Vm);
  // The last read may begin just before the end.
  scheduleAfter(FinalReadTime + FinalReadPeriod + RequestTimeout,
                std::move(OnFinished));
}

void Soak::finish(std::function<void()> OnFinished) {
  JobTimer.cancel();
  ConfigTimer.cancel();
  ConfigReadTimer.cancel();
  TrafficEnabled = false;
  awaitJobEnds(Loop.now(), std::move(OnFinished));
}

void Soak::awaitJobEnds(Instant StartTime, std::function<void()> OnFinished) {
  const Duration Elapsed = Loop.now() - StartTime;
  const bool AllEnded =
      Elapsed >= ResponseDrainTime && Checker.allAcceptedJobsEnded();
  if (!AllEnded && Elapsed < StoredJobEndTimeout) {
    scheduleAfter(EndCheckPeriod,
                  [this, StartTime, Handler = std::move(OnFinished)] {
                    awaitJobEnds(StartTime, Handler);
                  });
    return;
  }
  Checker.checkAcceptedJobsEnded();
  checkConfigReadable(std::move(OnFinished));
}

} // namespace sapphiremoor::soak
