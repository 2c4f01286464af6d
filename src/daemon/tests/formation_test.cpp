#include "daemon/formation.h"

#include <doctest/doctest.h>

using namespace sapphiremoor;

namespace {
FormationState makeState(const Voter &Self) {
  return {Self, {"a", "b", "c"}, {}};
}
} // namespace

TEST_CASE("new voters form a set only when all of them are known to be new") {
  FormationState State = makeState({"a", 1});
  recordStatus(State, {{"b", 2}, false, {}});
  CHECK_FALSE(decideFormation(State).has_value());
  recordStatus(State, {{"c", 3}, false, {}});
  CHECK(decideFormation(State)->FirstVoters ==
        std::vector<Voter>{{"a", 1}, {"b", 2}, {"c", 3}});
}

TEST_CASE(
    "a wiped voter joins as a non-voter instead of forming a second set") {
  FormationState State = makeState({"a", 9});
  const std::vector<Voter> Formed{{"a", 1}, {"b", 2}, {"c", 3}};
  recordStatus(State, {{"b", 2}, true, Formed});
  recordStatus(State, {{"c", 3}, false, {}});
  CHECK(decideFormation(State)->FirstVoters.empty());
}

TEST_CASE("a voter that starts late adopts the set that the others formed") {
  FormationState State = makeState({"a", 1});
  const std::vector<Voter> Formed{{"a", 1}, {"b", 2}, {"c", 3}};
  recordStatus(State, {{"b", 2}, true, Formed});
  CHECK(decideFormation(State)->FirstVoters == Formed);
}

TEST_CASE("a VM with a disk that is not a configured voter forms no set") {
  FormationState State = makeState({"d", 4});
  for (const Voter &Other : {Voter{"a", 1}, Voter{"b", 2}, Voter{"c", 3}})
    recordStatus(State, {Other, false, {}});
  CHECK_FALSE(decideFormation(State).has_value());
}
