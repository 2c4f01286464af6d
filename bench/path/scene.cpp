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

sockaddr_in loopback(uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

std::string tokenIn(const endtoend::Deployment &At, const std::string &Name) {
  std::ifstream File(At.folder() + "/tokens/" + Name + ".token");
  std::string Token;
  std::getline(File, Token);
  return Token;
}

std::unique_ptr<endtoend::Process> startSelf(std::vector<std::string> Arguments,
                                             const Endpoint &At,
                                             const std::string &Log) {
  const std::string Self = std::filesystem::read_symlink("/proc/self/exe");
  Arguments.insert(Arguments.begin(), Self);
  auto Started = std::make_unique<endtoend::Process>(Arguments, Log);
  waitForListener(At);
  return Started;
}

} // namespace

Endpoint freeEndpoint() {
  const int Fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address = loopback(0);
  socklen_t Size = sizeof(Address);
  auto *Generic = reinterpret_cast<sockaddr *>(&Address);
  const bool Bound =
      bind(Fd, Generic, Size) == 0 && getsockname(Fd, Generic, &Size) == 0;
  close(Fd);
  if (!Bound)
    throw std::runtime_error("no free port on loopback");
  return {"127.0.0.1", ntohs(Address.sin_port)};
}

void waitForListener(const Endpoint &At) {
  endtoend::Deployment::waitUntil("listener at " + describe(At), [&] {
    const int Fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in Address = loopback(At.Port);
    const bool Open = connect(Fd, reinterpret_cast<sockaddr *>(&Address),
                              sizeof(Address)) == 0;
    close(Fd);
    return Open;
  });
}

std::unique_ptr<endtoend::Process> startNullBackend(const Endpoint &At,
                                                    const std::string &Log) {
  return startSelf({"null-backend", std::to_string(At.Port)}, At, Log);
}

std::unique_ptr<endtoend::Process> startRelay(const Endpoint &At,
                                              const Endpoint &Backend,
                                              const std::string &Log) {
  return startSelf(
      {"relay", std::to_string(At.Port), std::to_string(Backend.Port)}, At,
      Log);
}

CallerRequests::CallerRequests(endtoend::Deployment &At, const std::string &Vm)
    : Token(tokenIn(At, "team-counter")), Prefix(At.requestPrefix(Vm)) {}

HttpCallRequest CallerRequests::post(const std::string &Path,
                                     const std::string &Body) const {
  HttpCallRequest Request;
  Request.Path = Path;
  Request.Headers = {{"Authorization", "Bearer " + Token}};
  Request.Body = Body;
  return Request;
}

std::string CallerRequests::nextKey() {
  return Prefix + "." + std::to_string(++Number);
}

HttpCallRequest CallerRequests::job(int Tasks) {
  return post("/v1/jobs/" + nextKey(), endtoend::jobBody("stamp", Tasks));
}

HttpCallRequest CallerRequests::keyedRequest() {
  return post("/v1/requests/" + nextKey(),
              R"({"service":"stamp","task":{"number":1},"deadline_ms":20000})");
}

HttpCallRequest CallerRequests::idempotentRequest() const {
  return post("/v1/requests",
              R"({"service":"quote","task":{"number":1},"deadline_ms":20000})");
}

HttpCallRequest backendTask(uint64_t Number) {
  HttpCallRequest Request;
  Request.Path = "/run/stamp";
  Request.Headers = {{"X-Task", "direct." + std::to_string(Number) + "/0"},
                     {"Content-Type", "application/json"}};
  Request.Body = R"({"number":1})";
  return Request;
}

NullAnnouncer::NullAnnouncer(EventLoop &Loop, const endtoend::Deployment &At,
                             const std::string &Vm, const Endpoint &Backend)
    : Loop(Loop), Vm(At.http(Vm)), Backend(Backend),
      Token(tokenIn(At, "backend-workers")), Client(Loop, {}),
      Repeat(Loop, [this] { announce(); }) {}

void NullAnnouncer::announceAndWait() {
  announce();
  Repeat.startPeriodic(std::chrono::seconds(1));
  while (Known < Count)
    Loop.runOnce(true);
}

void NullAnnouncer::announce() {
  for (int I = 0; I < Count; ++I) {
    const std::string Id = "null" + std::to_string(I);
    HttpCallRequest Request;
    Request.Path = "/v1/backends/" + Id;
    Request.Headers = {{"Authorization", "Bearer " + Token}};
    Request.Body = Json{
        {"address", Backend.Address},
        {"port", Backend.Port},
        {"worker", "worker-" + Id},
        {"rack", "rack"},
        {"services", {"quote", "stamp"}},
        {"slots", SlotsEach},
        {"running", 0}}.dump();
    Client.send(Vm, Request, [this](const HttpCallResult &Answer) {
      if (Answer.StatusCode != 200)
        throw std::runtime_error("announcement refused: " + Answer.Body);
      ++Known;
    });
  }
}

} // namespace sapphiremoor::bench
