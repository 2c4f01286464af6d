#include "deployment.h"

#include <doctest/doctest.h>

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <thread>

using namespace sapphiremoor;
using namespace sapphiremoor::endtoend;

namespace {

/// Two data centres; all traffic between them passes relays.
const std::vector<Vm> TwoDataCentres{{"a1", "nitra", true},
                                     {"a2", "nitra", true},
                                     {"a3", "nitra", true},
                                     {"b1", "zilina", false}};

std::vector<RelayedLink> linksBetweenDataCentres() {
  return {{"a1", "b1"}, {"a2", "b1"}, {"a3", "b1"},
          {"b1", "a1"}, {"b1", "a2"}, {"b1", "a3"}};
}

/// Number of VMs that \p Vm takes for live, itself included.
long liveVmCount(Deployment &Cluster, const std::string &Vm) {
  const Json Rows = Cluster.status(Vm).value("vms", Json::array());
  return std::ranges::count_if(
      Rows, [](const Json &Row) { return Row.value("live", false); });
}

std::string submitJob(Deployment &Cluster, const std::string &Vm,
                      const std::string &Key) {
  return Cluster
      .call(Vm, "team-counter", HttpMethod::Post, "/v1/jobs/" + Key,
            jobBody("stamp", 2, 3000))
      .status();
}

} // namespace

TEST_CASE("data centres cut off from each other both serve and heal") {
  Deployment Cluster(TwoDataCentres, "{}", linksBetweenDataCentres());
  Cluster.configure();
  Cluster.addBackend("s1", "a1");
  Cluster.addBackend("s2", "b1");
  const std::string PrefixA = Cluster.requestPrefix("a1");
  CHECK(submitJob(Cluster, "a2", PrefixA + ".1") == "complete");
  for (const RelayedLink &Link : linksBetweenDataCentres())
    Cluster.relay(Link).command("swallow both");
  Deployment::waitUntil("the cut to be noticed", [&] {
    return liveVmCount(Cluster, "a1") == 3 && liveVmCount(Cluster, "b1") == 1;
  });
  // Each side serves its own prefixes.
  CHECK(submitJob(Cluster, "a3", PrefixA + ".2") == "complete");
  const std::string PrefixB = Cluster.requestPrefix("b1");
  CHECK(submitJob(Cluster, "b1", PrefixB + ".1") == "complete");
  // The other side cannot know about a key whose home is out of reach.
  CHECK(submitJob(Cluster, "b1", PrefixA + ".1") == "outcome unknown");
  CHECK(submitJob(Cluster, "b1", PrefixA + ".3") == "outcome unknown");
  // A change is accepted by the majority and reaches the minority later.
  Cluster.applyFileWithRetries("a1", "30-extra.json",
                               R"({"teams": {"extra": {"share": 1}}})");
  CHECK(Cluster.status("b1").value("revision", 0) == 1);
  for (const RelayedLink &Link : linksBetweenDataCentres())
    Cluster.relay(Link).command("cut");
  for (const RelayedLink &Link : linksBetweenDataCentres())
    Cluster.relay(Link).command("pass");
  Deployment::waitUntil("the cut to heal", [&] {
    return liveVmCount(Cluster, "b1") == 4 &&
           Cluster.status("b1").value("revision", 0) == 2;
  });
  CHECK(submitJob(Cluster, "b1", PrefixA + ".1") == "complete");
  Cluster.checkNoDoubleStart();
}

TEST_CASE("a cut in one direction only counts as down on both sides") {
  Deployment Cluster(TwoDataCentres, "{}", linksBetweenDataCentres());
  Cluster.configure();
  Cluster.addBackend("s1", "a1");
  // Nothing from nitra reaches zilina; the other direction works.
  for (const RelayedLink &Link : linksBetweenDataCentres())
    if (Link.TargetVm == "b1")
      Cluster.relay(Link).command("swallow up");
  Deployment::waitUntil("the cut to be noticed", [&] {
    return liveVmCount(Cluster, "a1") == 3 && liveVmCount(Cluster, "b1") == 1;
  });
  const std::string Key = Cluster.requestPrefix("a2") + ".1";
  CHECK(submitJob(Cluster, "a1", Key) == "complete");
  Cluster.checkNoDoubleStart();
}

TEST_CASE("a connection that went silent is not used after its idle limit") {
  Deployment Cluster({{"a1", "nitra", true}});
  Cluster.configure();
  const uint16_t Port = static_cast<uint16_t>(20000 + getpid() % 12000);
  const RelayProcess Relay({"127.0.0.1", Port},
                           Cluster.folder() + "/between.log");
  Cluster.addBackend("s1", "a1",
                     {"--port", std::to_string(Port), "--advertise-port",
                      std::to_string(Relay.listenEndpoint().Port)});
  const std::string Prefix = Cluster.requestPrefix("a1");
  CHECK(submitJob(Cluster, "a1", Prefix + ".1") == "complete");
  Relay.command("freeze");
  // Beyond idle_connection_ms the pooled connections are no longer trusted.
  std::this_thread::sleep_for(std::chrono::milliseconds(2100));
  CHECK(submitJob(Cluster, "a1", Prefix + ".2") == "complete");
  // A fresh answer makes the next connection trusted; if it then goes silent,
  // the job fails at its deadline and is never started again.
  Relay.command("freeze");
  CHECK(submitJob(Cluster, "a1", Prefix + ".3") == "failed");
  CHECK(submitJob(Cluster, "a1", Prefix + ".3") == "failed");
  Cluster.checkNoDoubleStart();
}
