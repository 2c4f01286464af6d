#include "deployment.h"

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace sapphiremoor;
using namespace sapphiremoor::endtoend;

namespace {

const std::vector<Vm> OneVm{{"a1", "nitra", true}};

void sendBytes(const Endpoint &To, const std::string &Bytes) {
  const int Fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(To.Port);
  inet_pton(AF_INET, To.Address.c_str(), &Address.sin_addr);
  REQUIRE(connect(Fd, reinterpret_cast<sockaddr *>(&Address),
                  sizeof(Address)) == 0);
  CHECK(send(Fd, Bytes.data(), Bytes.size(), MSG_NOSIGNAL) > 0);
  close(Fd);
}

} // namespace

TEST_CASE("each bad request gets a typed error and runs nothing") {
  Deployment Tested(OneVm, R"({"max_tasks": 10, "body_bytes": 20000})");
  Tested.configure();
  Tested.addBackend("b1", "a1");
  const std::string Prefix = Tested.prefix("a1");
  const std::string Path = "/v1/jobs/" + Prefix + ".1";
  const auto Post = [&](const std::string &Token, const std::string &Where,
                        const std::string &Body) {
    return Tested.call("a1", Token, HttpMethod::Post, Where, Body);
  };
  const std::string Good = jobBody("stamp", 1);
  CHECK(Post("wrong", Path, Good).errorKind() == "unauthorized");
  CHECK(Post("operator-eva", Path, Good).errorKind() == "forbidden");
  CHECK(Post("team-press", Path, Good).errorKind() == "forbidden");
  CHECK(Post("team-counter", "/v1/jobs/", Good).errorKind() == "missing_key");
  CHECK(Post("team-counter", "/v1/jobs/made-up.1", Good).errorKind() ==
        "bad_key");
  CHECK(Post("team-counter", Path, "{").errorKind() == "bad_json");
  CHECK(Post("team-counter", Path, R"({"servce":"stamp","tasks":[1]})")
            .errorKind() == "unknown_setting");
  CHECK(Post("team-counter", Path, jobBody("stmp", 1)).errorKind() ==
        "unknown_service");
  CHECK(Post("team-counter", Path, jobBody("stamp", 11)).errorKind() ==
        "too_large");
  CHECK(Post("team-counter", Path, std::string(30000, ' ')).errorKind() ==
        "too_large");
  CHECK(Post("team-counter", "/v1/config/files/a.json", "{}").errorKind() ==
        "bad_request");
  CHECK(Tested.starts().empty());
  CHECK(Post("team-counter", Path, Good).status() == "complete");
  CHECK(Post("team-counter", Path, jobBody("stamp", 2)).errorKind() ==
        "conflict");
  CHECK(Tested.starts().size() == 1);
}

TEST_CASE("a job that no backend server can run is refused at once") {
  Deployment Tested(OneVm);
  Tested.configure();
  const Reply Answer = Tested.call("a1", "team-counter", HttpMethod::Post,
                                   "/v1/jobs/" + Tested.prefix("a1") + ".1",
                                   jobBody("stamp", 1));
  CHECK(Answer.status() == "not run");
  CHECK(Answer.Body["reason"] == "impossible");
  CHECK(Answer.Body["retry"] == "new_key");
}

TEST_CASE("garbage on the internal and the HTTP port leaves the VM serving") {
  Deployment Tested(OneVm);
  Tested.configure();
  Tested.addBackend("b1", "a1");
  const std::string Garbage(1000, '\x7f');
  sendBytes(Tested.peer("a1"), Garbage);
  sendBytes(Tested.peer("a1"), Garbage.substr(0, 3));
  sendBytes(Tested.http("a1"), Garbage);
  CHECK(Tested
            .call("a1", "team-counter", HttpMethod::Post,
                  "/v1/jobs/" + Tested.prefix("a1") + ".1", jobBody("stamp", 1))
            .status() == "complete");
}
