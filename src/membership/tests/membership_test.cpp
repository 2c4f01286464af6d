#include "membership/membership.h"

#include <doctest/doctest.h>

using namespace sapphiremoor;

namespace {

Instant at(int Millis) { return instantAt(std::chrono::milliseconds(Millis)); }

MembershipState makeState() {
  MembershipState State;
  State.Self = {"a1", 1};
  State.DataCentre = "nitra";
  return State;
}

void meet(MembershipState &State, const VmId &Id, const std::string &Where,
          Instant Now, std::vector<ServiceLoad> Loads = {},
          bool Draining = false) {
  linkUp(State, Id);
  heard(State, {Id, Where, Draining, 0, {"a1"}, std::move(Loads)}, Now);
}

} // namespace

TEST_CASE("a VM is live only while messages pass in both directions") {
  MembershipState State = makeState();
  linkUp(State, {"a2", 7});
  CHECK_FALSE(isLive(State, "a2", at(0)));
  heard(State, {{"a2", 7}, "nitra", false, 0, {}, {}}, at(0));
  CHECK_FALSE(isLive(State, "a2", at(0)));
  heard(State, {{"a2", 7}, "nitra", false, 0, {"a1"}, {}}, at(0));
  CHECK(isLive(State, "a2", at(3000)));
  CHECK_FALSE(isLive(State, "a2", at(3001)));
  linkDown(State, {"a2", 6});
  CHECK(isLive(State, "a2", at(0)));
  linkDown(State, {"a2", 7});
  CHECK_FALSE(isLive(State, "a2", at(0)));
}

TEST_CASE("a heartbeat of an earlier incarnation is ignored after a restart") {
  MembershipState State = makeState();
  meet(State, {"a2", 7}, "nitra", at(0));
  linkUp(State, {"a2", 8});
  heard(State, {{"a2", 7}, "nitra", false, 0, {"a1"}, {}}, at(1));
  CHECK_FALSE(isLive(State, "a2", at(1)));
}

TEST_CASE(
    "all VMs choose the same dispatcher, and a draining one is replaced") {
  MembershipState One = makeState();
  meet(One, {"a2", 2}, "nitra", at(0));
  meet(One, {"b1", 3}, "zilina", at(0));
  MembershipState Two = makeState();
  Two.Self = {"a2", 2};
  linkUp(Two, {"a1", 1});
  heard(Two, {{"a1", 1}, "nitra", false, 0, {"a2"}, {}}, at(0));
  const VmId Chosen = dispatcherOf(One, "nitra", 0, at(0)).value();
  CHECK(dispatcherOf(Two, "nitra", 0, at(0)) == Chosen);
  CHECK(dispatcherOf(One, "zilina", 0, at(0)) == VmId{"b1", 3});
  CHECK_FALSE(dispatcherOf(One, "trencin", 0, at(0)).has_value());
  meet(One, {"a2", 2}, "nitra", at(0), {}, Chosen.Name == "a2");
  One.Draining = Chosen.Name == "a1";
  CHECK(dispatcherOf(One, "nitra", 0, at(0)) != Chosen);
}

TEST_CASE("the only VM of a data centre dispatches even while it drains") {
  MembershipState State = makeState();
  State.Draining = true;
  CHECK(dispatcherOf(State, "nitra", 0, at(0)) == State.Self);
}

TEST_CASE("grant members are of this data centre first, then by distance") {
  MembershipState State = makeState();
  meet(State, {"c1", 3}, "zilina", at(0));
  meet(State, {"b1", 4}, "trencin", at(0));
  meet(State, {"a2", 2}, "nitra", at(0));
  const Hops Far{{"zilina", std::chrono::milliseconds(5)},
                 {"trencin", std::chrono::milliseconds(1)}};
  CHECK(grantMembers(State, Far, at(0)) ==
        std::vector<VmId>{{"a2", 2}, {"b1", 4}, {"c1", 3}});
}

TEST_CASE("a job leaves its data centre only for a gain beyond the margin") {
  MembershipState State = makeState();
  meet(State, {"b1", 3}, "trencin", at(0), {{"quote", 5000}});
  const Hops Far{{"trencin", std::chrono::milliseconds(1)}};
  const auto Choose = [&](std::optional<Duration> Local) {
    return chooseDataCentre(State, Far, "quote", Local, at(0));
  };
  CHECK(Choose(std::chrono::milliseconds(26)) == "nitra");
  CHECK(Choose(std::chrono::milliseconds(28)) == "trencin");
  CHECK(Choose(std::nullopt) == "trencin");
  CHECK(chooseDataCentre(State, Far, "other", std::nullopt, at(0)) == "nitra");
}
