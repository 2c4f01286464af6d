#include "deployment.h"

#include <doctest/doctest.h>

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <thread>

using namespace sapphiremoor;
using namespace sapphiremoor::endtoend;

namespace {

/// Two data centres. All traffic between them goes through relays.
const std::vector<Vm> TwoDataCentres{{"a1", "nitra", true},
                                     {"a2", "nitra", true},
                                     {"a3", "nitra", true},
                                     {"b1", "zilina", false}};

std::vector<RelayedLink> linksBetweenDataCentres() {
  return {{"a1", "b1"}, {"a2", "b1"}, {"a3", "b1"},
          {"b1", "a1"}, {"b1", "a2"}, {"b1", "a3"}};
}

/// Returns the number of VMs that \p Vm considers live, including itself.
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

TEST_CASE("data centres cut off from each other both serve jobs and recover") {
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
  // Each data centre serves the prefixes that its own VMs have issued.
  CHECK(submitJob(Cluster, "a3", PrefixA + ".2") == "complete");
  const std::string PrefixB = Cluster.requestPrefix("b1");
  CHECK(submitJob(Cluster, "b1", PrefixB + ".1") == "complete");
  // The other data centre cannot know the outcome of a key whose home is
  // unreachable.
  CHECK(submitJob(Cluster, "b1", PrefixA + ".1") == "outcome unknown");
  CHECK(submitJob(Cluster, "b1", PrefixA + ".3") == "outcome unknown");
  // The majority accepts a change. The minority gets it after the reconnect.
  Cluster.applyFileWithRetries("a1", "30-extra.json",
                               R"({"teams": {"extra": {"share": 1}}})");
  CHECK(Cluster.status("b1").value("revision", 0) == 1);
  for (const RelayedLink &Link : linksBetweenDataCentres())
    Cluster.relay(Link).command("cut");
  for (const RelayedLink &Link : linksBetweenDataCentres())
    Cluster.relay(Link).command("pass");
  Deployment::waitUntil("the data centres to reconnect", [&] {
    return liveVmCount(Cluster, "b1") == 4 &&
           Cluster.status("b1").value("revision", 0) == 2;
  });
  CHECK(submitJob(Cluster, "b1", PrefixA + ".1") == "complete");
  Cluster.checkNoDoubleStart();
}

TEST_CASE("a link cut in one direction only counts as down on both sides") {
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

TEST_CASE("a connection that went silent is not reused after its idle limit") {
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
  // A pooled connection is not reused after it was idle for idle_connection_ms.
  std::this_thread::sleep_for(std::chrono::milliseconds(2100));
  CHECK(submitJob(Cluster, "a1", Prefix + ".2") == "complete");
  // The answer above makes its connection reusable. If that connection goes
  // silent, the next job fails at its deadline and is never started again.
  Relay.command("freeze");
  CHECK(submitJob(Cluster, "a1", Prefix + ".3") == "failed");
  CHECK(submitJob(Cluster, "a1", Prefix + ".3") == "failed");
  Cluster.checkNoDoubleStart();
}
