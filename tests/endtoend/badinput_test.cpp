#include "deployment.h"

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace sapphiremoor;
using namespace sapphiremoor::endtoend;

namespace {

const std::vector<Vm> OneVm{{"a1", "nitra", true}};

void sendBytes(const Endpoint &Target, const std::string &Bytes) {
  const int Fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Target.Port);
  inet_pton(AF_INET, Target.Address.c_str(), &Address.sin_addr);
  REQUIRE(connect(Fd, reinterpret_cast<sockaddr *>(&Address),
                  sizeof(Address)) == 0);
  CHECK(send(Fd, Bytes.data(), Bytes.size(), MSG_NOSIGNAL) > 0);
  close(Fd);
}

} // namespace

TEST_CASE("each invalid request gets its error kind and starts no task") {
  Deployment Cluster(OneVm, R"({"max_tasks": 10, "body_bytes": 20000})");
  Cluster.configure();
  Cluster.addBackend("b1", "a1");
  const std::string Prefix = Cluster.requestPrefix("a1");
  const std::string Path = "/v1/jobs/" + Prefix + ".1";
  const auto Post = [&](const std::string &Token,
                        const std::string &RequestPath,
                        const std::string &Body) {
    return Cluster.call("a1", Token, HttpMethod::Post, RequestPath, Body);
  };
  const std::string ValidBody = jobBody("stamp", 1);
  CHECK(Post("wrong", Path, ValidBody).errorKind() == "unauthorized");
  CHECK(Post("operator-eva", Path, ValidBody).errorKind() == "forbidden");
  CHECK(Post("team-press", Path, ValidBody).errorKind() == "forbidden");
  CHECK(Post("team-counter", "/v1/jobs/", ValidBody).errorKind() ==
        "missing_key");
  CHECK(Post("team-counter", "/v1/jobs/made-up.1", ValidBody).errorKind() ==
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
  CHECK(Cluster.startCounts().empty());
  CHECK(Post("team-counter", Path, ValidBody).status() == "complete");
  CHECK(Post("team-counter", Path, jobBody("stamp", 2)).errorKind() ==
        "conflict");
  CHECK(Cluster.startCounts().size() == 1);
}

TEST_CASE("a job that no backend server can run is refused at once") {
  Deployment Cluster(OneVm);
  Cluster.configure();
  const Reply Answer = Cluster.call(
      "a1", "team-counter", HttpMethod::Post,
      "/v1/jobs/" + Cluster.requestPrefix("a1") + ".1", jobBody("stamp", 1));
  CHECK(Answer.status() == "not run");
  CHECK(Answer.Body["reason"] == "impossible");
  CHECK(Answer.Body["retry"] == "new_key");
}

TEST_CASE(
    "invalid bytes on the internal and the HTTP port do not stop the VM") {
  Deployment Cluster(OneVm);
  Cluster.configure();
  Cluster.addBackend("b1", "a1");
  const std::string Garbage(1000, '\x7f');
  sendBytes(Cluster.peer("a1"), Garbage);
  sendBytes(Cluster.peer("a1"), Garbage.substr(0, 3));
  sendBytes(Cluster.http("a1"), Garbage);
  CHECK(Cluster
            .call("a1", "team-counter", HttpMethod::Post,
                  "/v1/jobs/" + Cluster.requestPrefix("a1") + ".1",
                  jobBody("stamp", 1))
            .status() == "complete");
}
