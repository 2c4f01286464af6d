#include "deployment.h"

#include <doctest/doctest.h>

#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <thread>

namespace sapphiremoor::endtoend {

namespace {

constexpr uint16_t HttpPort = 18080;
constexpr uint16_t PeerPort = 19080;
constexpr std::chrono::seconds WaitLimit{60};
constexpr std::chrono::milliseconds PollDelay{20};

constexpr const char *ServicesConfig = R"({
  "services": {
    "quote": {"idempotent": true, "weight": "response_time", "declared_ms": 50},
    "stamp": {"idempotent": false, "weight": "messages", "declared_ms": 50}
  },
  "teams": {"counter": {"share": 1}, "press": {"share": 1}}
})";

const std::map<std::string, std::string> &tokens() {
  static const std::map<std::string, std::string> Tokens{
      {"team-counter", "token-of-the-team-counter"},
      {"team-press", "token-of-the-team-press"},
      {"operator-eva", "token-of-the-operator-eva"},
      {"operator-jan", "token-of-the-operator-jan"},
      {"backend-workers", "token-of-the-backend-servers"}};
  return Tokens;
}

HttpCallRequest makeRequest(const std::string &Token, HttpMethod Method,
                            const std::string &Path, const std::string &Body) {
  HttpCallRequest Request;
  Request.Method = Method;
  Request.Path = Path;
  Request.Body = Body;
  const auto It = tokens().find(Token);
  const std::string &Secret = It == tokens().end() ? Token : It->second;
  Request.Headers = {{"Authorization", "Bearer " + Secret}};
  Request.Timeout = WaitLimit;
  return Request;
}

} // namespace

std::string Reply::errorKind() const {
  return Body.contains("error") ? Body["error"].value("kind", "") : "";
}

Deployment::Deployment(std::vector<Vm> Vms, const std::string &Limits,
                       const std::vector<RelayedLink> &RelayedLinks)
    : Vms(std::move(Vms)) {
  char Template[] = "/tmp/endtoend-XXXXXX";
  Folder = mkdtemp(Template);
  std::filesystem::create_directory(Folder + "/tokens");
  writeSecret("cluster.key", "the key of the test cluster");
  for (const auto &[Name, Text] : tokens())
    writeSecret("tokens/" + Name + ".token", Text);
  for (const RelayedLink &Link : RelayedLinks)
    Relays[Link] = std::make_unique<RelayProcess>(
        peer(Link.TargetVm),
        Folder + "/" + Link.SourceVm + "-" + Link.TargetVm + ".log");
  for (const Vm &CurrentVm : this->Vms) {
    writeSettings(CurrentVm, Limits);
    startVm(CurrentVm.Name);
  }
  waitUntil("all VMs to see each other", [this] {
    return std::ranges::all_of(this->Vms, [this](const Vm &CurrentVm) {
      const Json Rows = status(CurrentVm.Name).value("vms", Json::array());
      return std::ranges::count_if(Rows, [](const Json &Row) {
               return Row.value("live", false);
             }) == static_cast<std::ptrdiff_t>(this->Vms.size());
    });
  });
}

Deployment::~Deployment() {
  Backends.clear();
  Daemons.clear();
  std::filesystem::remove_all(Folder);
}

void Deployment::configure() {
  applyFileWithRetries(Vms.front().Name, "10-services.json", ServicesConfig);
  waitUntil("the configuration to be in force", [this] {
    return std::ranges::all_of(Vms, [this](const Vm &CurrentVm) {
      return status(CurrentVm.Name).value("revision", 0) >= 1;
    });
  });
}

void Deployment::startVm(const std::string &Name) {
  Daemons[Name] = std::make_unique<Process>(
      std::vector<std::string>{DAEMON_PROGRAM, "serve", "--settings",
                               Folder + "/" + Name + ".json"},
      Folder + "/" + Name + ".log");
}

void Deployment::wipeData(const std::string &Name) const {
  std::filesystem::remove_all(Folder + "/" + Name + ".data");
}

void Deployment::addBackend(const std::string &Id, const std::string &NearVm,
                            const std::vector<std::string> &ExtraOptions) {
  std::vector<std::string> Arguments{BACKEND_PROGRAM};
  const std::map<std::string, std::string> Defaults{
      {"--address", "127.0.0.1"},
      {"--port", "0"},
      {"--id", Id},
      {"--worker", "worker-" + Id},
      {"--rack", "rack"},
      {"--services", "quote,stamp"},
      {"--run-ms", "50"},
      {"--counts", Folder + "/" + Id + ".starts"},
      {"--announce", describe(http(NearVm))},
      {"--token-file", Folder + "/tokens/backend-workers.token"}};
  for (const auto &[Name, Value] : Defaults)
    if (std::ranges::find(ExtraOptions, Name) == ExtraOptions.end())
      Arguments.insert(Arguments.end(), {Name, Value});
  Arguments.insert(Arguments.end(), ExtraOptions.begin(), ExtraOptions.end());
  Backends[Id] =
      std::make_unique<Process>(Arguments, Folder + "/" + Id + ".log");
  waitUntil("backend server " + Id, [&] {
    const Json BackendRows =
        status(dispatcher(NearVm)).value("backends", Json());
    return std::ranges::any_of(BackendRows, [&](const Json &Row) {
      return Row["backend"] == Id && Row["state"] == "serving";
    });
  });
}

Reply Deployment::call(const std::string &Vm, const std::string &Token,
                       HttpMethod Method, const std::string &Path,
                       const std::string &Body) {
  return beginCall(Vm, Token, Method, Path, Body)->wait();
}

std::unique_ptr<PendingReply> Deployment::beginCall(const std::string &Vm,
                                                    const std::string &Token,
                                                    HttpMethod Method,
                                                    const std::string &Path,
                                                    const std::string &Body) {
  return std::make_unique<PendingReply>(Loop, http(Vm),
                                        makeRequest(Token, Method, Path, Body));
}

std::string Deployment::requestPrefix(const std::string &Vm) {
  return call(Vm, "team-counter", HttpMethod::Post, "/v1/prefixes")
      .Body.at("prefix");
}

Json Deployment::status(const std::string &Vm) {
  const Reply Answer = call(Vm, "operator-eva", HttpMethod::Get, "/v1/status");
  return Answer.StatusCode == 200 ? Answer.Body : Json::object();
}

std::string Deployment::dispatcher(const std::string &Vm) {
  return status(Vm).value("dispatcher", Vm);
}

Reply Deployment::applyFile(const std::string &Vm, const std::string &File,
                            const std::string &Text, uint64_t ExpectedRevision,
                            const std::string &RequestId) {
  return call(Vm, "operator-eva", HttpMethod::Post,
              "/v1/config/files/" + File + "?expected_revision=" +
                  std::to_string(ExpectedRevision) + "&request_id=" + RequestId,
              Text);
}

void Deployment::applyFileWithRetries(const std::string &Vm,
                                      const std::string &File,
                                      const std::string &Text) {
  const std::string RequestId =
      "request-" + std::to_string(++LastRequestNumber);
  waitUntil("the change " + File, [&] {
    const uint64_t Revision = status(Vm).value("revision", uint64_t{0});
    const Reply Answer = applyFile(Vm, File, Text, Revision, RequestId);
    return Answer.StatusCode == 200;
  });
}

std::map<std::string, int> Deployment::startCounts() const {
  std::map<std::string, int> Counts;
  for (const auto &[Id, Server] : Backends) {
    std::ifstream File(Folder + "/" + Id + ".starts");
    std::string Line;
    while (std::getline(File, Line))
      ++Counts[Line];
  }
  return Counts;
}

void Deployment::checkNoDoubleStart() const {
  for (const auto &[Task, Count] : startCounts())
    CHECK_MESSAGE(Count == 1, Task);
}

void Deployment::waitUntil(const std::string &Description,
                           const std::function<bool()> &Condition) {
  const auto Deadline = std::chrono::steady_clock::now() + WaitLimit;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() > Deadline)
      FAIL("gave up waiting for " << Description);
    std::this_thread::sleep_for(PollDelay);
  }
}

std::string Deployment::address(const std::string &VmName) const {
  const auto It = std::ranges::find(Vms, VmName, &Vm::Name);
  const auto HostNumber = It - Vms.begin() + 1;
  // The address contains the process id, which is unique among running tests.
  const int ProcessId = getpid();
  return "127." + std::to_string(1 + ProcessId % 250) + "." +
         std::to_string(ProcessId / 250 % 250) + "." +
         std::to_string(HostNumber);
}

Endpoint Deployment::http(const std::string &Vm) const {
  return {address(Vm), HttpPort};
}

Endpoint Deployment::peer(const std::string &Vm) const {
  return {address(Vm), PeerPort};
}

Endpoint Deployment::connectEndpoint(const std::string &SourceVm,
                                     const std::string &TargetVm) const {
  const auto It = Relays.find({SourceVm, TargetVm});
  return It == Relays.end() ? peer(TargetVm) : It->second->listenEndpoint();
}

void Deployment::writeSettings(const Vm &LocalVm,
                               const std::string &Limits) const {
  Json Settings;
  Settings["name"] = LocalVm.Name;
  Settings["data_centre"] = LocalVm.DataCentre;
  Settings["http"] = {{"address", address(LocalVm.Name)}, {"port", HttpPort}};
  Settings["peer"] = {{"address", address(LocalVm.Name)}, {"port", PeerPort}};
  Settings["peers"] = Json::array();
  Settings["voters"] = Json::array();
  for (const Vm &PeerVm : Vms) {
    const Endpoint PeerEndpoint = connectEndpoint(LocalVm.Name, PeerVm.Name);
    Settings["peers"].push_back(
        {{"name", PeerVm.Name},
         {"data_centre", PeerVm.DataCentre},
         {"address", PeerEndpoint.Address},
         {"port", PeerEndpoint.Port},
         {"http", {{"address", address(PeerVm.Name)}, {"port", HttpPort}}}});
    if (PeerVm.IsVoter)
      Settings["voters"].push_back(PeerVm.Name);
  }
  if (LocalVm.IsVoter)
    Settings["data_folder"] = Folder + "/" + LocalVm.Name + ".data";
  Settings["cluster_key_file"] = Folder + "/cluster.key";
  Settings["tokens_folder"] = Folder + "/tokens";
  Settings["limits"] = Json::parse(Limits);
  std::ofstream(Folder + "/" + LocalVm.Name + ".json") << Settings.dump(2);
}

void Deployment::writeSecret(const std::string &File,
                             const std::string &Text) const {
  const std::string Path = Folder + "/" + File;
  std::ofstream(Path) << Text;
  chmod(Path.c_str(), 0600);
}

PendingReply::PendingReply(EventLoop &Loop, const Endpoint &RemoteEndpoint,
                           const HttpCallRequest &Request)
    : Loop(Loop), Connection(Loop, RemoteEndpoint, std::chrono::seconds(2)) {
  Connection.send(
      Request, [this](HttpCallResult Answer) { Result = std::move(Answer); });
}

bool PendingReply::done() {
  Loop.runOnce(false);
  return Result.has_value();
}

Reply PendingReply::wait() {
  while (!Result)
    Loop.runOnce(true);
  return {Result->Status, Result->StatusCode,
          Json::parse(Result->Body, nullptr, false)};
}

std::string jobBody(const std::string &Service, int Count, int DeadlineMs) {
  Json Body;
  Body["service"] = Service;
  Body["deadline_ms"] = DeadlineMs;
  for (int I = 0; I < Count; ++I)
    Body["tasks"].push_back({{"number", I}});
  return Body.dump();
}

} // namespace sapphiremoor::endtoend
