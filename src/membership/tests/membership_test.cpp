#include "membership/membership.h"

#include <doctest/doctest.h>

using namespace sapphiremoor;

namespace {

Instant instantMs(int Ms) { return instantAt(std::chrono::milliseconds(Ms)); }

MembershipState makeState() {
  MembershipState State;
  State.Self = {"a1", 1};
  State.DataCentre = "nitra";
  return State;
}

void connectPeer(MembershipState &State, const VmId &Id,
                 const std::string &DataCentre, Instant Now,
                 std::vector<ServiceLoad> Loads = {}, bool Draining = false) {
  linkUp(State, Id);
  receiveHeartbeat(
      State, {Id, DataCentre, Draining, 0, {"a1"}, std::move(Loads)}, Now);
}

} // namespace

TEST_CASE("a VM is live only while messages pass in both directions") {
  MembershipState State = makeState();
  linkUp(State, {"a2", 7});
  CHECK_FALSE(isLive(State, "a2", instantMs(0)));
  receiveHeartbeat(State, {{"a2", 7}, "nitra", false, 0, {}, {}}, instantMs(0));
  CHECK_FALSE(isLive(State, "a2", instantMs(0)));
  receiveHeartbeat(State, {{"a2", 7}, "nitra", false, 0, {"a1"}, {}},
                   instantMs(0));
  CHECK(isLive(State, "a2", instantMs(3000)));
  CHECK_FALSE(isLive(State, "a2", instantMs(3001)));
  linkDown(State, {"a2", 6});
  CHECK(isLive(State, "a2", instantMs(0)));
  linkDown(State, {"a2", 7});
  CHECK_FALSE(isLive(State, "a2", instantMs(0)));
}

TEST_CASE("a heartbeat of an earlier incarnation is ignored after a restart") {
  MembershipState State = makeState();
  connectPeer(State, {"a2", 7}, "nitra", instantMs(0));
  linkUp(State, {"a2", 8});
  receiveHeartbeat(State, {{"a2", 7}, "nitra", false, 0, {"a1"}, {}},
                   instantMs(1));
  CHECK_FALSE(isLive(State, "a2", instantMs(1)));
}

TEST_CASE(
    "all VMs select the same dispatcher, and a draining one is replaced") {
  MembershipState FirstView = makeState();
  connectPeer(FirstView, {"a2", 2}, "nitra", instantMs(0));
  connectPeer(FirstView, {"b1", 3}, "zilina", instantMs(0));
  MembershipState SecondView = makeState();
  SecondView.Self = {"a2", 2};
  linkUp(SecondView, {"a1", 1});
  receiveHeartbeat(SecondView, {{"a1", 1}, "nitra", false, 0, {"a2"}, {}},
                   instantMs(0));
  const VmId Chosen =
      selectDispatcher(FirstView, "nitra", 0, instantMs(0)).value();
  CHECK(selectDispatcher(SecondView, "nitra", 0, instantMs(0)) == Chosen);
  CHECK(selectDispatcher(FirstView, "zilina", 0, instantMs(0)) ==
        VmId{"b1", 3});
  CHECK_FALSE(
      selectDispatcher(FirstView, "trencin", 0, instantMs(0)).has_value());
  connectPeer(FirstView, {"a2", 2}, "nitra", instantMs(0), {},
              Chosen.Name == "a2");
  FirstView.Draining = Chosen.Name == "a1";
  CHECK(selectDispatcher(FirstView, "nitra", 0, instantMs(0)) != Chosen);
}

TEST_CASE("the only VM of a data centre dispatches even while it drains") {
  MembershipState State = makeState();
  State.Draining = true;
  CHECK(selectDispatcher(State, "nitra", 0, instantMs(0)) == State.Self);
}

TEST_CASE(
    "grant members of this data centre come first, then others by latency") {
  MembershipState State = makeState();
  connectPeer(State, {"c1", 3}, "zilina", instantMs(0));
  connectPeer(State, {"b1", 4}, "trencin", instantMs(0));
  connectPeer(State, {"a2", 2}, "nitra", instantMs(0));
  const Hops HopTimes{{"zilina", std::chrono::milliseconds(5)},
                      {"trencin", std::chrono::milliseconds(1)}};
  CHECK(grantMembers(State, HopTimes, instantMs(0)) ==
        std::vector<VmId>{{"a2", 2}, {"b1", 4}, {"c1", 3}});
}

TEST_CASE(
    "a job runs in another data centre only for a gain above the margin") {
  MembershipState State = makeState();
  connectPeer(State, {"b1", 3}, "trencin", instantMs(0), {{"quote", 5000}});
  const Hops HopTimes{{"trencin", std::chrono::milliseconds(1)}};
  const auto Choose = [&](std::optional<Duration> LocalWait) {
    return chooseDataCentre(State, HopTimes, "quote", LocalWait, instantMs(0));
  };
  CHECK(Choose(std::chrono::milliseconds(26)) == "nitra");
  CHECK(Choose(std::chrono::milliseconds(28)) == "trencin");
  CHECK(Choose(std::nullopt) == "trencin");
  CHECK(chooseDataCentre(State, HopTimes, "other", std::nullopt,
                         instantMs(0)) == "nitra");
}
