#include "framework/statechart/chart.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace sapphiremoor;

namespace {

const std::vector<std::string> Known{"ring"};

/// Returns the faults of the chart \p Text, joined.
std::string faultsOf(std::string_view Text) {
  const auto Parsed = parseChart(Text);
  if (isError(Parsed))
    return describe(errorOf(Parsed));
  std::string Joined;
  for (const Error &Fault : checkChart(valueOf(Parsed), Known))
    Joined += describe(Fault) + "\n";
  return Joined;
}

bool contains(const std::string &Text, std::string_view Part) {
  return Text.find(Part) != std::string::npos;
}

constexpr std::string_view Door = R"({
  "name": "door", "initial": "shut",
  "states": {
    "shut": {"on": {"open": {"target": "wide", "actions": ["ring"]}}},
    "wide": {"on": {"shut": {"target": "shut"}, "burn": {"target": "gone"}}},
    "gone": {"final": true} // no way back
  },
  "events": ["open", "shut", "burn"], "actions": ["ring"]})";

/// Returns the door with \p From replaced by \p To.
std::string doorWith(std::string_view From, std::string_view To) {
  std::string Text(Door);
  const std::size_t Place = Text.find(From);
  REQUIRE(Place != std::string::npos);
  return Text.replace(Place, From.size(), To);
}

} // namespace

// Guards against a step that takes another cell of the table.
TEST_CASE("a chart steps to the target with the actions of the event") {
  const Chart Machine = valueOf(parseChart(Door));
  CHECK(faultsOf(Door).empty());
  CHECK(Machine.stateName(Machine.initial()) == "shut");
  const auto Opened =
      step(Machine, Machine.initial(), *Machine.findEvent("open"));
  CHECK(valueOf(Opened).Target == *Machine.findState("wide"));
  REQUIRE(valueOf(Opened).Actions.size() == 1);
  CHECK(Machine.actionName(valueOf(Opened).Actions[0]) == "ring");
  const auto Burnt =
      step(Machine, valueOf(Opened).Target, *Machine.findEvent("burn"));
  CHECK(valueOf(Burnt).Actions.empty());
  CHECK(Machine.isFinal(valueOf(Burnt).Target));
}

// Guards against an event that is ignored where the chart does not expect it,
// and against reads beyond the table.
TEST_CASE("a step without a transition is an error") {
  const Chart Machine = valueOf(parseChart(Door));
  const auto Missing =
      step(Machine, Machine.initial(), *Machine.findEvent("burn"));
  CHECK(errorOf(Missing).Kind == ErrorKind::Conflict);
  CHECK(contains(errorOf(Missing).Message, "'burn' in the state 'shut'"));
  CHECK(errorOf(step(Machine, 99, 0)).Kind == ErrorKind::Internal);
  CHECK(errorOf(step(Machine, 0, 99)).Kind == ErrorKind::Internal);
}

// Each line guards against one fault of a chart that the check lets pass.
TEST_CASE("the check names each kind of fault") {
  CHECK(contains(faultsOf(doorWith(R"("burn": {"target": "gone"})",
                                   R"("burn": {"target": "shut"})")),
                 "'gone' is unreachable"));
  CHECK(contains(faultsOf(doorWith(R"("burn"])", R"("burn", "knock"])")),
                 "the event 'knock' is never used"));
  CHECK(contains(faultsOf(doorWith(R"(, "burn"])", "]")),
                 "the event 'burn' is not declared"));
  CHECK(contains(faultsOf(doorWith(R"("target": "gone")", //
                                   R"("target": "gnoe")")),
                 "'gnoe' is a target but not declared"));
  CHECK(contains(faultsOf(doorWith(R"("actions": ["ring"]}}})",
                                   R"("actions": ["ding"]}}})")),
                 "the action 'ding' is not implemented"));
  CHECK(contains(
      faultsOf(doorWith(R"("actions": ["ring"]}}})", R"("actions": []}}})")),
      "the action 'ring' is never used"));
  CHECK(contains(faultsOf(doorWith(R"({"final": true})", "{}")),
                 "'gone' has no way on"));
  CHECK(contains(faultsOf(doorWith(
                     R"({"final": true})",
                     R"({"final": true, "on": {"shut": {"target": "shut"}}})")),
                 "'gone' is final but has a way on"));
}

// Guards against a misspelt field that is silently ignored.
TEST_CASE("text that is no chart gives a typed error") {
  const auto KindOf = [](const std::string &Text) {
    return errorOf(parseChart(Text)).Kind;
  };
  CHECK(KindOf("{") == ErrorKind::BadJson);
  CHECK(KindOf("[]") == ErrorKind::BadJson);
  CHECK(KindOf("{}") == ErrorKind::MissingKey);
  CHECK(KindOf(doorWith(R"({"target": "gone"})", "{}")) ==
        ErrorKind::MissingKey);
  CHECK(KindOf(doorWith(R"({"final": true})", R"({"final": 1})")) ==
        ErrorKind::BadJson);
  const auto Misspelt = parseChart(doorWith("initial", "inital"));
  CHECK(errorOf(Misspelt).Kind == ErrorKind::UnknownSetting);
  CHECK(errorOf(Misspelt).Remedy == "did you mean 'initial'?");
}
