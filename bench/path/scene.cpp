#include "scene.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace sapphiremoor::bench {

namespace {

using endtoend::Json;

sockaddr_in makeLoopbackAddress(uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

std::string readToken(const endtoend::Deployment &Cluster,
                      const std::string &Name) {
  std::ifstream File(Cluster.folder() + "/tokens/" + Name + ".token");
  std::string Token;
  std::getline(File, Token);
  return Token;
}

std::unique_ptr<endtoend::Process>
startOwnProgram(std::vector<std::string> Arguments,
                const Endpoint &ListenEndpoint, const std::string &LogPath) {
  const std::string Program = std::filesystem::read_symlink("/proc/self/exe");
  Arguments.insert(Arguments.begin(), Program);
  auto Child = std::make_unique<endtoend::Process>(Arguments, LogPath);
  waitForListener(ListenEndpoint);
  return Child;
}

} // namespace

Endpoint findFreeEndpoint() {
  const int Fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address = makeLoopbackAddress(0);
  socklen_t Size = sizeof(Address);
  auto *GenericAddress = reinterpret_cast<sockaddr *>(&Address);
  const bool Bound = bind(Fd, GenericAddress, Size) == 0 &&
                     getsockname(Fd, GenericAddress, &Size) == 0;
  close(Fd);
  if (!Bound)
    throw std::runtime_error(
        "cannot obtain a free loopback port: bind or getsockname failed");
  return {"127.0.0.1", ntohs(Address.sin_port)};
}

void waitForListener(const Endpoint &ListenEndpoint) {
  endtoend::Deployment::waitUntil(
      "listener at " + describe(ListenEndpoint), [&] {
        const int Fd = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in Address = makeLoopbackAddress(ListenEndpoint.Port);
        const bool Connected =
            connect(Fd, reinterpret_cast<sockaddr *>(&Address),
                    sizeof(Address)) == 0;
        close(Fd);
        return Connected;
      });
}

std::unique_ptr<endtoend::Process>
startNullBackend(const Endpoint &ListenEndpoint, const std::string &LogPath) {
  return startOwnProgram({"null-backend", std::to_string(ListenEndpoint.Port)},
                         ListenEndpoint, LogPath);
}

std::unique_ptr<endtoend::Process> startRelay(const Endpoint &ListenEndpoint,
                                              const Endpoint &Backend,
                                              const std::string &LogPath) {
  return startOwnProgram({"relay", std::to_string(ListenEndpoint.Port),
                          std::to_string(Backend.Port)},
                         ListenEndpoint, LogPath);
}

RequestBuilder::RequestBuilder(endtoend::Deployment &Cluster,
                               const std::string &VmName)
    : Token(readToken(Cluster, "team-counter")),
      Prefix(Cluster.requestPrefix(VmName)) {}

HttpCallRequest RequestBuilder::makePost(const std::string &Path,
                                         const std::string &Body) const {
  HttpCallRequest Request;
  Request.Path = Path;
  Request.Headers = {{"Authorization", "Bearer " + Token}};
  Request.Body = Body;
  return Request;
}

std::string RequestBuilder::nextKey() {
  return Prefix + "." + std::to_string(++LastKeyNumber);
}

HttpCallRequest RequestBuilder::makeJob(int TaskCount) {
  return makePost("/v1/jobs/" + nextKey(),
                  endtoend::jobBody("stamp", TaskCount));
}

HttpCallRequest RequestBuilder::makeKeyedRequest() {
  return makePost(
      "/v1/requests/" + nextKey(),
      R"({"service":"stamp","task":{"number":1},"deadline_ms":20000})");
}

HttpCallRequest RequestBuilder::makeIdempotentRequest() const {
  return makePost(
      "/v1/requests",
      R"({"service":"quote","task":{"number":1},"deadline_ms":20000})");
}

HttpCallRequest makeBackendTask(uint64_t TaskNumber) {
  HttpCallRequest Request;
  Request.Path = "/run/stamp";
  Request.Headers = {{"X-Task", "direct." + std::to_string(TaskNumber) + "/0"},
                     {"Content-Type", "application/json"}};
  Request.Body = R"({"number":1})";
  return Request;
}

NullBackendAnnouncer::NullBackendAnnouncer(EventLoop &Loop,
                                           const endtoend::Deployment &Cluster,
                                           const std::string &VmName,
                                           const Endpoint &Backend)
    : Loop(Loop), VmEndpoint(Cluster.http(VmName)), Backend(Backend),
      Token(readToken(Cluster, "backend-workers")), Client(Loop, {}),
      RepeatTimer(Loop, [this] { announce(); }) {}

void NullBackendAnnouncer::announceAndWait() {
  announce();
  RepeatTimer.startPeriodic(std::chrono::seconds(1));
  while (AcceptedCount < IdentifierCount)
    Loop.runOnce(true);
}

void NullBackendAnnouncer::announce() {
  for (int I = 0; I < IdentifierCount; ++I) {
    const std::string BackendId = "null" + std::to_string(I);
    HttpCallRequest Request;
    Request.Path = "/v1/backends/" + BackendId;
    Request.Headers = {{"Authorization", "Bearer " + Token}};
    Request.Body = Json{
        {"address", Backend.Address},
        {"port", Backend.Port},
        {"worker", "worker-" + BackendId},
        {"rack", "rack"},
        {"services", {"quote", "stamp"}},
        {"slots", SlotsPerIdentifier},
        {"running", 0}}.dump();
    Client.send(VmEndpoint, Request, [this](const HttpCallResult &Answer) {
      if (Answer.StatusCode != 200)
        throw std::runtime_error(
            "the announcement of a null backend server failed: " + Answer.Body);
      ++AcceptedCount;
    });
  }
}

} // namespace sapphiremoor::bench
