#include "deployment.h"

#include <doctest/doctest.h>

#include <csignal>

using namespace sapphiremoor;
using namespace sapphiremoor::endtoend;

namespace {
const std::vector<Vm> OneCentre{
    {"a1", "nitra", true}, {"a2", "nitra", true}, {"a3", "nitra", true}};

std::string otherThan(const std::string &Name) {
  return Name == "a1" ? "a2" : "a1";
}
} // namespace

TEST_CASE("a job submitted at any VM is answered whole and in order") {
  Deployment Tested(OneCentre);
  Tested.configure();
  Tested.addBackend("b1", "a1");
  Tested.addBackend("b2", "a2");
  for (const std::string Vm : {"a1", "a2", "a3"}) {
    const std::string Key = Tested.prefix(Vm) + ".1";
    const Reply Answer = Tested.call(Vm, "team-counter", HttpMethod::Post,
                                     "/v1/jobs/" + Key, jobBody("stamp", 20));
    REQUIRE(Answer.status() == "complete");
    REQUIRE(Answer.Body["results"].size() == 20);
    for (std::size_t I = 0; I < 20; ++I)
      CHECK(Answer.Body["results"][I]["task"]["number"] == I);
  }
  CHECK(Tested.starts().size() == 60);
  Tested.checkNoDoubleStart();
}

TEST_CASE("a resubmission at another VM gets the same answer, nothing runs") {
  Deployment Tested(OneCentre);
  Tested.configure();
  Tested.addBackend("b1", "a1");
  const std::string Path = "/v1/jobs/" + Tested.prefix("a1") + ".1";
  const auto Submit = [&](const std::string &Vm) {
    return Tested.begin(Vm, "team-counter", HttpMethod::Post, Path,
                        jobBody("stamp", 4));
  };
  // Three submissions at the same time, then one of the answered key.
  const auto First = Submit("a1");
  const auto Second = Submit("a2");
  const auto Third = Submit("a3");
  const Reply Answer = First->wait();
  CHECK(Answer.status() == "complete");
  CHECK(Second->wait().Body == Answer.Body);
  CHECK(Third->wait().Body == Answer.Body);
  CHECK(Submit("a2")->wait().Body == Answer.Body);
  CHECK(Tested.call("a3", "team-counter", HttpMethod::Get, Path).Body ==
        Answer.Body);
  CHECK(Tested.starts().size() == 4);
  Tested.checkNoDoubleStart();
}

TEST_CASE("an idempotent request needs no key, another one does") {
  Deployment Tested(OneCentre);
  Tested.configure();
  Tested.addBackend("b1", "a1");
  const auto Run = [&](const std::string &Service) {
    return Tested.call("a2", "team-counter", HttpMethod::Post, "/v1/requests",
                       R"({"service":")" + Service + R"(","task":{"x":1}})");
  };
  CHECK(Run("quote").status() == "complete");
  CHECK(Run("stamp").errorKind() == "missing_key");
}

TEST_CASE("a caller that stops waiting fetches the answer later") {
  Deployment Tested(OneCentre);
  Tested.configure();
  Tested.addBackend("b1", "a1", {"--run-ms", "600"});
  const std::string Path = "/v1/jobs/" + Tested.prefix("a1") + ".1";
  const Reply Early = Tested.call("a1", "team-counter", HttpMethod::Post,
                                  Path + "?wait_ms=1", jobBody("stamp", 1));
  CHECK(Early.Code == 202);
  CHECK(Early.status() == "pending");
  CHECK(Tested.call("a3", "team-counter", HttpMethod::Get, Path).status() ==
        "complete");
}

TEST_CASE("a cancelled job that has not started is not run and stays so") {
  Deployment Tested(OneCentre);
  Tested.configure();
  Tested.addBackend("b1", "a1", {"--run-ms", "1500", "--slots", "1"});
  const std::string Prefix = Tested.prefix("a1");
  const auto Running =
      Tested.begin("a1", "team-counter", HttpMethod::Post,
                   "/v1/jobs/" + Prefix + ".1", jobBody("stamp", 1));
  Tested.waitUntil("the first start",
                   [&] { return Running->done() || !Tested.starts().empty(); });
  const std::string Queued = "/v1/jobs/" + Prefix + ".2";
  const auto Waiting = Tested.begin("a2", "team-counter", HttpMethod::Post,
                                    Queued, jobBody("stamp", 3));
  Tested.waitUntil("the second job to be queued", [&] {
    Waiting->done();
    return Tested.status(Tested.dispatcher("a1")).value("queued_tasks", 0) == 3;
  });
  const Reply Cancelled =
      Tested.call("a3", "team-counter", HttpMethod::Delete, Queued);
  CHECK(Cancelled.status() == "not run");
  CHECK(Waiting->wait().status() == "not run");
  CHECK(Running->wait().status() == "complete");
  CHECK(Tested
            .call("a1", "team-counter", HttpMethod::Post, Queued,
                  jobBody("stamp", 3))
            .status() == "not run");
  CHECK(Tested.starts().size() == 1);
}

TEST_CASE("a planned stop of a VM cuts no request and ends the process") {
  Deployment Tested(OneCentre);
  Tested.configure();
  Tested.addBackend("b1", "a1", {"--run-ms", "700"});
  const std::string Dispatcher = Tested.dispatcher("a1");
  const std::string Entry = otherThan(Dispatcher);
  const std::string Prefix = Tested.prefix(Entry);
  const auto AtEntry =
      Tested.begin(Entry, "team-counter", HttpMethod::Post,
                   "/v1/jobs/" + Prefix + ".1", jobBody("stamp", 2));
  const auto AtDispatcher =
      Tested.begin(Dispatcher, "team-counter", HttpMethod::Post,
                   "/v1/jobs/" + Prefix + ".2", jobBody("stamp", 2));
  Tested.waitUntil("all starts", [&] {
    AtEntry->done();
    return Tested.starts().size() == 4;
  });
  Tested.vm(Dispatcher).signal(SIGTERM);
  CHECK(AtEntry->wait().status() == "complete");
  CHECK(AtDispatcher->wait().status() == "complete");
  Tested.waitUntil("the end of the process",
                   [&] { return Tested.vm(Dispatcher).ended(); });
  CHECK(Tested.vm(Dispatcher).exitCode() == 0);
  const std::string Key = Tested.prefix(Entry) + ".1";
  Tested.waitUntil("the next dispatcher",
                   [&] { return Tested.dispatcher(Entry) != Dispatcher; });
  CHECK(Tested
            .call(Entry, "team-counter", HttpMethod::Post, "/v1/jobs/" + Key,
                  jobBody("stamp", 2))
            .status() == "complete");
  Tested.checkNoDoubleStart();
}
