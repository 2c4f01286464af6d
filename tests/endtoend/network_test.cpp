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
const std::vector<Vm> TwoCentres{{"a1", "nitra", true},
                                 {"a2", "nitra", true},
                                 {"a3", "nitra", true},
                                 {"b1", "zilina", false}};

std::vector<RelayedLink> linksBetweenCentres() {
  return {{"a1", "b1"}, {"a2", "b1"}, {"a3", "b1"},
          {"b1", "a1"}, {"b1", "a2"}, {"b1", "a3"}};
}

/// Number of VMs that \p Vm takes for live, itself included.
long liveAt(Deployment &Tested, const std::string &Vm) {
  const Json Rows = Tested.status(Vm).value("vms", Json::array());
  return std::ranges::count_if(
      Rows, [](const Json &Row) { return Row.value("live", false); });
}

std::string submit(Deployment &Tested, const std::string &Vm,
                   const std::string &Key) {
  return Tested
      .call(Vm, "team-counter", HttpMethod::Post, "/v1/jobs/" + Key,
            jobBody("stamp", 2, 3000))
      .status();
}

} // namespace

TEST_CASE("data centres cut off from each other both serve and heal") {
  Deployment Tested(TwoCentres, "{}", linksBetweenCentres());
  Tested.configure();
  Tested.addBackend("s1", "a1");
  Tested.addBackend("s2", "b1");
  const std::string HomeA = Tested.prefix("a1");
  CHECK(submit(Tested, "a2", HomeA + ".1") == "complete");
  for (const RelayedLink &Link : linksBetweenCentres())
    Tested.relay(Link).command("swallow both");
  Deployment::waitUntil("the cut to be noticed", [&] {
    return liveAt(Tested, "a1") == 3 && liveAt(Tested, "b1") == 1;
  });
  // Each side serves its own prefixes.
  CHECK(submit(Tested, "a3", HomeA + ".2") == "complete");
  const std::string HomeB = Tested.prefix("b1");
  CHECK(submit(Tested, "b1", HomeB + ".1") == "complete");
  // The other side cannot know about a key whose home is out of reach.
  CHECK(submit(Tested, "b1", HomeA + ".1") == "outcome unknown");
  CHECK(submit(Tested, "b1", HomeA + ".3") == "outcome unknown");
  // A change is accepted by the majority and reaches the minority later.
  Tested.applyUntilDecided("a1", "30-extra.json",
                           R"({"teams": {"extra": {"share": 1}}})");
  CHECK(Tested.status("b1").value("revision", 0) == 1);
  for (const RelayedLink &Link : linksBetweenCentres())
    Tested.relay(Link).command("cut");
  for (const RelayedLink &Link : linksBetweenCentres())
    Tested.relay(Link).command("pass");
  Deployment::waitUntil("the cut to heal", [&] {
    return liveAt(Tested, "b1") == 4 &&
           Tested.status("b1").value("revision", 0) == 2;
  });
  CHECK(submit(Tested, "b1", HomeA + ".1") == "complete");
  Tested.checkNoDoubleStart();
}

TEST_CASE("a cut in one direction only counts as down on both sides") {
  Deployment Tested(TwoCentres, "{}", linksBetweenCentres());
  Tested.configure();
  Tested.addBackend("s1", "a1");
  // Nothing from nitra reaches zilina; the other direction works.
  for (const RelayedLink &Link : linksBetweenCentres())
    if (Link.To == "b1")
      Tested.relay(Link).command("swallow up");
  Deployment::waitUntil("the cut to be noticed", [&] {
    return liveAt(Tested, "a1") == 3 && liveAt(Tested, "b1") == 1;
  });
  const std::string Key = Tested.prefix("a2") + ".1";
  CHECK(submit(Tested, "a1", Key) == "complete");
  Tested.checkNoDoubleStart();
}

TEST_CASE("a connection that went silent is not used after its idle limit") {
  Deployment Tested({{"a1", "nitra", true}});
  Tested.configure();
  const uint16_t Port = static_cast<uint16_t>(20000 + getpid() % 12000);
  const RelayProcess Between({"127.0.0.1", Port},
                             Tested.folder() + "/between.log");
  Tested.addBackend("s1", "a1",
                    {"--port", std::to_string(Port), "--advertise-port",
                     std::to_string(Between.entry().Port)});
  const std::string Prefix = Tested.prefix("a1");
  CHECK(submit(Tested, "a1", Prefix + ".1") == "complete");
  Between.command("freeze");
  // Beyond idle_connection_ms the pooled connections are no longer trusted.
  std::this_thread::sleep_for(std::chrono::milliseconds(2100));
  CHECK(submit(Tested, "a1", Prefix + ".2") == "complete");
  // A fresh answer makes the next connection trusted; if it then goes silent,
  // the job fails at its deadline and is never started again.
  Between.command("freeze");
  CHECK(submit(Tested, "a1", Prefix + ".3") == "failed");
  CHECK(submit(Tested, "a1", Prefix + ".3") == "failed");
  Tested.checkNoDoubleStart();
}
