#include "deployment.h"

#include <doctest/doctest.h>

#include <csignal>

using namespace sapphiremoor;
using namespace sapphiremoor::endtoend;

namespace {
const std::vector<Vm> OneDataCentre{
    {"a1", "nitra", true}, {"a2", "nitra", true}, {"a3", "nitra", true}};

std::string otherVm(const std::string &Name) {
  return Name == "a1" ? "a2" : "a1";
}
} // namespace

TEST_CASE(
    "a job submitted at any VM gets all results in the order of its tasks") {
  Deployment Cluster(OneDataCentre);
  Cluster.configure();
  Cluster.addBackend("b1", "a1");
  Cluster.addBackend("b2", "a2");
  for (const std::string Vm : {"a1", "a2", "a3"}) {
    const std::string Key = Cluster.requestPrefix(Vm) + ".1";
    const Reply Answer = Cluster.call(Vm, "team-counter", HttpMethod::Post,
                                      "/v1/jobs/" + Key, jobBody("stamp", 20));
    REQUIRE(Answer.status() == "complete");
    REQUIRE(Answer.Body["results"].size() == 20);
    for (std::size_t I = 0; I < 20; ++I)
      CHECK(Answer.Body["results"][I]["task"]["number"] == I);
  }
  CHECK(Cluster.startCounts().size() == 60);
  Cluster.checkNoDoubleStart();
}

TEST_CASE(
    "a resubmission at another VM gets the same answer and starts no task") {
  Deployment Cluster(OneDataCentre);
  Cluster.configure();
  Cluster.addBackend("b1", "a1");
  const std::string Path = "/v1/jobs/" + Cluster.requestPrefix("a1") + ".1";
  const auto Submit = [&](const std::string &Vm) {
    return Cluster.beginCall(Vm, "team-counter", HttpMethod::Post, Path,
                             jobBody("stamp", 4));
  };
  // Three concurrent submissions of one key, then one more after the answer.
  const auto FirstReply = Submit("a1");
  const auto SecondReply = Submit("a2");
  const auto ThirdReply = Submit("a3");
  const Reply Answer = FirstReply->wait();
  CHECK(Answer.status() == "complete");
  CHECK(SecondReply->wait().Body == Answer.Body);
  CHECK(ThirdReply->wait().Body == Answer.Body);
  CHECK(Submit("a2")->wait().Body == Answer.Body);
  CHECK(Cluster.call("a3", "team-counter", HttpMethod::Get, Path).Body ==
        Answer.Body);
  CHECK(Cluster.startCounts().size() == 4);
  Cluster.checkNoDoubleStart();
}

TEST_CASE("only a request to an idempotent service may come without a key") {
  Deployment Cluster(OneDataCentre);
  Cluster.configure();
  Cluster.addBackend("b1", "a1");
  const auto Run = [&](const std::string &Service) {
    return Cluster.call("a2", "team-counter", HttpMethod::Post, "/v1/requests",
                        R"({"service":")" + Service + R"(","task":{"x":1}})");
  };
  CHECK(Run("quote").status() == "complete");
  CHECK(Run("stamp").errorKind() == "missing_key");
}

TEST_CASE("a caller that stops waiting can fetch the answer later") {
  Deployment Cluster(OneDataCentre);
  Cluster.configure();
  Cluster.addBackend("b1", "a1", {"--run-ms", "600"});
  const std::string Path = "/v1/jobs/" + Cluster.requestPrefix("a1") + ".1";
  const Reply EarlyAnswer =
      Cluster.call("a1", "team-counter", HttpMethod::Post, Path + "?wait_ms=1",
                   jobBody("stamp", 1));
  CHECK(EarlyAnswer.StatusCode == 202);
  CHECK(EarlyAnswer.status() == "pending");
  CHECK(Cluster.call("a3", "team-counter", HttpMethod::Get, Path).status() ==
        "complete");
}

TEST_CASE(
    "a job cancelled before its start is not run, even when resubmitted") {
  Deployment Cluster(OneDataCentre);
  Cluster.configure();
  Cluster.addBackend("b1", "a1", {"--run-ms", "1500", "--slots", "1"});
  const std::string Prefix = Cluster.requestPrefix("a1");
  const auto RunningReply =
      Cluster.beginCall("a1", "team-counter", HttpMethod::Post,
                        "/v1/jobs/" + Prefix + ".1", jobBody("stamp", 1));
  Cluster.waitUntil("the first start", [&] {
    return RunningReply->done() || !Cluster.startCounts().empty();
  });
  const std::string QueuedPath = "/v1/jobs/" + Prefix + ".2";
  const auto QueuedReply = Cluster.beginCall(
      "a2", "team-counter", HttpMethod::Post, QueuedPath, jobBody("stamp", 3));
  Cluster.waitUntil("the second job to be queued", [&] {
    QueuedReply->done();
    return Cluster.status(Cluster.dispatcher("a1")).value("queued_tasks", 0) ==
           3;
  });
  const Reply CancelAnswer =
      Cluster.call("a3", "team-counter", HttpMethod::Delete, QueuedPath);
  CHECK(CancelAnswer.status() == "not run");
  CHECK(QueuedReply->wait().status() == "not run");
  CHECK(RunningReply->wait().status() == "complete");
  CHECK(Cluster
            .call("a1", "team-counter", HttpMethod::Post, QueuedPath,
                  jobBody("stamp", 3))
            .status() == "not run");
  CHECK(Cluster.startCounts().size() == 1);
}

TEST_CASE(
    "a planned stop of a VM completes its requests and ends the process") {
  Deployment Cluster(OneDataCentre);
  Cluster.configure();
  Cluster.addBackend("b1", "a1", {"--run-ms", "700"});
  const std::string Dispatcher = Cluster.dispatcher("a1");
  const std::string EntryVm = otherVm(Dispatcher);
  const std::string Prefix = Cluster.requestPrefix(EntryVm);
  const auto EntryReply =
      Cluster.beginCall(EntryVm, "team-counter", HttpMethod::Post,
                        "/v1/jobs/" + Prefix + ".1", jobBody("stamp", 2));
  const auto DispatcherReply =
      Cluster.beginCall(Dispatcher, "team-counter", HttpMethod::Post,
                        "/v1/jobs/" + Prefix + ".2", jobBody("stamp", 2));
  Cluster.waitUntil("all tasks to start", [&] {
    EntryReply->done();
    return Cluster.startCounts().size() == 4;
  });
  Cluster.vm(Dispatcher).signal(SIGTERM);
  CHECK(EntryReply->wait().status() == "complete");
  CHECK(DispatcherReply->wait().status() == "complete");
  Cluster.waitUntil("the end of the process",
                    [&] { return Cluster.vm(Dispatcher).hasEnded(); });
  CHECK(Cluster.vm(Dispatcher).exitCode() == 0);
  const std::string Key = Cluster.requestPrefix(EntryVm) + ".1";
  Cluster.waitUntil("the next dispatcher",
                    [&] { return Cluster.dispatcher(EntryVm) != Dispatcher; });
  CHECK(Cluster
            .call(EntryVm, "team-counter", HttpMethod::Post, "/v1/jobs/" + Key,
                  jobBody("stamp", 2))
            .status() == "complete");
  Cluster.checkNoDoubleStart();
}
