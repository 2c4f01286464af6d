#include "discovery/memberview.h"

#include <doctest/doctest.h>

using namespace sapphiremoor;

namespace {

MemberInfo makeControlVm(const std::string &Name, const std::string &Address) {
  return {{Name, 1}, MemberRole::Control, "nitra", {Address, 7720}, false};
}

Instant instantMs(int64_t Ms) {
  return instantAt(std::chrono::milliseconds(Ms));
}

} // namespace

// Guards against a takeover from a VM that only one other VM cannot reach.
TEST_CASE("a VM that only a third one hears is live but not reachable") {
  MemberView View({});
  View.recordContact(makeControlVm("c1", "10.0.0.1"), instantMs(0));
  View.recordDisconnect("c1");
  CHECK_FALSE(View.isReachable("c1", instantMs(100)));
  CHECK(View.isLive("c1", instantMs(100)));
  CHECK_FALSE(View.isLive("c1", instantMs(900)));
  View.recordSighting({makeControlVm("c1", "10.0.0.1"), 100}, instantMs(1000));
  CHECK(View.isLive("c1", instantMs(1500)));
  CHECK_FALSE(View.isReachable("c1", instantMs(1500)));
}

// Guards against a process that is taken for its predecessor: what that one had
// announced was still believed.
TEST_CASE("a process is not live once its VM has another one") {
  MemberView View({});
  MemberInfo Vm = makeControlVm("c1", "10.0.0.1");
  const VmId Former = Vm.Id;
  View.recordContact(Vm, instantMs(0));
  CHECK(View.isLive(Former, instantMs(100)));
  ++Vm.Id.Incarnation;
  View.recordContact(Vm, instantMs(200));
  CHECK_FALSE(View.isLive(Former, instantMs(300)));
  CHECK(View.find(Former) == nullptr);
  CHECK(View.isLive(Vm.Id, instantMs(300)));
}

// Guards against an old report that makes a dead VM look alive.
TEST_CASE("an old sighting does not renew a VM") {
  MemberView View({});
  View.recordContact(makeControlVm("c1", "10.0.0.1"), instantMs(0));
  View.recordSighting({makeControlVm("c1", "10.0.0.1"), 5000}, instantMs(2000));
  CHECK_FALSE(View.isLive("c1", instantMs(2000)));
}

// Guards against messages to a VM that formerly had the address.
TEST_CASE("the newest VM at an address is found") {
  MemberView View({});
  View.recordContact(makeControlVm("old", "10.0.0.1"), instantMs(0));
  View.recordContact(makeControlVm("new", "10.0.0.1"), instantMs(10));
  REQUIRE(View.findByAddress("10.0.0.1:7720") != nullptr);
  CHECK(View.findByAddress("10.0.0.1:7720")->Id.Name == "new");
}

// Guards against reports about VMs that this one has not heard itself.
TEST_CASE("only directly heard control VMs are reported") {
  MemberView View({});
  View.recordContact(makeControlVm("c1", "10.0.0.1"), instantMs(0));
  View.recordSighting({makeControlVm("c2", "10.0.0.2"), 0}, instantMs(0));
  const auto Sightings = View.controlSightings(instantMs(50));
  REQUIRE(Sightings.size() == 1);
  CHECK(Sightings.front().Info.Id.Name == "c1");
  CHECK(Sightings.front().AgeMs == 50);
}
