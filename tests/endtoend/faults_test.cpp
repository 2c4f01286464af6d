#include "deployment.h"

#include <doctest/doctest.h>

#include <csignal>

using namespace sapphiremoor;
using namespace sapphiremoor::endtoend;

namespace {

const std::vector<Vm> OneDataCentre{
    {"a1", "nitra", true}, {"a2", "nitra", true}, {"a3", "nitra", true}};

/// A job that was submitted at a VM other than the dispatcher. At least one of
/// its tasks has started.
struct RunningJob {
  explicit RunningJob(Deployment &Cluster)
      : Dispatcher(Cluster.dispatcher("a1")) {
    EntryVm = Dispatcher == "a1" ? "a2" : "a1";
    OtherVm = Dispatcher == "a3" || EntryVm == "a3" ? "a2" : "a3";
    Path = "/v1/jobs/" + Cluster.requestPrefix(EntryVm) + ".1";
    FirstReply = Cluster.beginCall(EntryVm, "team-counter", HttpMethod::Post,
                                   Path, jobBody("stamp", 4));
    Deployment::waitUntil("the first start", [&] {
      FirstReply->done();
      return !Cluster.startCounts().empty();
    });
  }

  Reply resubmit(Deployment &Cluster, const std::string &Vm) const {
    return Cluster.call(Vm, "team-counter", HttpMethod::Post, Path,
                        jobBody("stamp", 4));
  }

  std::string Dispatcher;
  std::string EntryVm;
  std::string OtherVm;
  std::string Path;
  std::unique_ptr<PendingReply> FirstReply;
};

void checkServesJobs(Deployment &Cluster, const std::string &Vm) {
  const std::string Key = Cluster.requestPrefix(Vm) + ".9";
  CHECK(Cluster
            .call(Vm, "team-counter", HttpMethod::Post, "/v1/jobs/" + Key,
                  jobBody("stamp", 4))
            .status() == "complete");
}

} // namespace

TEST_CASE(
    "kill -9 of the dispatcher leaves the outcome unknown, restarts no task") {
  Deployment Cluster(OneDataCentre);
  Cluster.configure();
  Cluster.addBackend("b1", "a1", {"--run-ms", "300", "--slots", "1"});
  RunningJob Job(Cluster);
  Cluster.vm(Job.Dispatcher).kill();
  CHECK(Job.FirstReply->wait().status() == "outcome unknown");
  CHECK(Job.resubmit(Cluster, Job.OtherVm).status() == "outcome unknown");
  CHECK(Job.resubmit(Cluster, Job.EntryVm).status() == "outcome unknown");
  Cluster.startVm(Job.Dispatcher);
  Deployment::waitUntil("the restarted VM", [&] {
    return Cluster.status(Job.Dispatcher).value("revision", 0) >= 1;
  });
  CHECK(Job.resubmit(Cluster, Job.Dispatcher).status() == "outcome unknown");
  checkServesJobs(Cluster, Job.OtherVm);
  Cluster.checkNoDoubleStart();
}

TEST_CASE("kill -9 of the forwarding VM: another VM returns the answer") {
  Deployment Cluster(OneDataCentre);
  Cluster.configure();
  Cluster.addBackend("b1", "a1", {"--run-ms", "300", "--slots", "1"});
  RunningJob Job(Cluster);
  Cluster.vm(Job.EntryVm).kill();
  CHECK(Job.resubmit(Cluster, Job.OtherVm).status() == "complete");
  CHECK(Cluster.startCounts().size() == 4);
  Cluster.checkNoDoubleStart();
}

TEST_CASE(
    "a dispatcher that resumes after a pause contradicts no earlier answer") {
  Deployment Cluster(OneDataCentre);
  Cluster.configure();
  Cluster.addBackend("b1", "a1", {"--run-ms", "300", "--slots", "1"});
  RunningJob Job(Cluster);
  Cluster.vm(Job.Dispatcher).signal(SIGSTOP);
  CHECK(Job.FirstReply->wait().status() == "outcome unknown");
  CHECK(Job.resubmit(Cluster, Job.OtherVm).status() == "outcome unknown");
  Cluster.vm(Job.Dispatcher).signal(SIGCONT);
  Deployment::waitUntil("the resumed VM to be the dispatcher again", [&] {
    return Cluster.dispatcher(Job.OtherVm) == Job.Dispatcher;
  });
  const Reply LaterAnswer = Job.resubmit(Cluster, Job.OtherVm);
  CHECK(LaterAnswer.status() != "not run");
  checkServesJobs(Cluster, Job.OtherVm);
  Cluster.checkNoDoubleStart();
}

TEST_CASE("a backend server that leaves gets no new work") {
  Deployment Cluster(OneDataCentre);
  Cluster.configure();
  Cluster.addBackend("b1", "a1");
  Cluster.addBackend("b2", "a2");
  checkServesJobs(Cluster, "a1");
  Cluster.backend("b1").signal(SIGTERM);
  Deployment::waitUntil("the end of b1",
                        [&] { return Cluster.backend("b1").hasEnded(); });
  const Json BackendRows = Cluster.status(Cluster.dispatcher("a1"))["backends"];
  for (const Json &Row : BackendRows)
    CHECK((Row["backend"] != "b1" || Row["state"] != "serving"));
  checkServesJobs(Cluster, "a2");
  Cluster.checkNoDoubleStart();
}

TEST_CASE("a killed backend server fails only the job that it was running") {
  Deployment Cluster(OneDataCentre);
  Cluster.configure();
  Cluster.addBackend("b1", "a1", {"--run-ms", "5000"});
  RunningJob Job(Cluster);
  Cluster.backend("b1").kill();
  CHECK(Job.FirstReply->wait().status() == "failed");
  Cluster.addBackend("b2", "a2");
  checkServesJobs(Cluster, Job.OtherVm);
  Cluster.checkNoDoubleStart();
}

TEST_CASE("a silent backend server ends a job at its deadline, as failed") {
  Deployment Cluster(OneDataCentre);
  Cluster.configure();
  Cluster.addBackend("b1", "a1", {"--mode", "silent"});
  const Reply Answer =
      Cluster.call("a2", "team-counter", HttpMethod::Post,
                   "/v1/jobs/" + Cluster.requestPrefix("a2") + ".1",
                   jobBody("stamp", 2, 500));
  CHECK(Answer.status() == "failed");
  Cluster.checkNoDoubleStart();
}

TEST_CASE("a worker that fails every task is ejected and the others continue") {
  Deployment Cluster(OneDataCentre);
  Cluster.configure();
  for (const std::string Id : {"b1", "b2", "b3"})
    Cluster.addBackend(Id, "a1");
  Cluster.addBackend("b4", "a1", {"--mode", "failing"});
  int CompleteCount = 0;
  for (int I = 0; I < 40; ++I)
    CompleteCount +=
        Cluster
            .call("a2", "team-counter", HttpMethod::Post,
                  "/v1/requests/" + Cluster.requestPrefix("a2") + ".1",
                  R"({"service":"stamp","task":1})")
            .status() == "complete";
  // Three consecutive failures eject the worker. A later probe may fail once
  // more.
  CHECK(CompleteCount >= 35);
  Cluster.checkNoDoubleStart();
}
