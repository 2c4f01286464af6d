#include "framework/statechart/chart.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace sapphiremoor;

namespace {

const std::vector<std::string> KnownActions{"ring"};

/// Returns the faults of the chart \p Text, joined.
std::string joinedFaults(std::string_view Text) {
  const auto Parsed = parseChart(Text);
  if (isError(Parsed))
    return describe(errorOf(Parsed));
  std::string Joined;
  for (const Error &Fault : checkChart(valueOf(Parsed), KnownActions))
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

/// Returns the chart Door with \p OldText replaced by \p NewText.
std::string replaceInDoor(std::string_view OldText, std::string_view NewText) {
  std::string Text(Door);
  const std::size_t Position = Text.find(OldText);
  REQUIRE(Position != std::string::npos);
  return Text.replace(Position, OldText.size(), NewText);
}

} // namespace

// Guards against a step that reads a wrong cell of the transition table.
TEST_CASE("a chart steps to the target with the actions of the event") {
  const Chart StateChart = valueOf(parseChart(Door));
  CHECK(joinedFaults(Door).empty());
  CHECK(StateChart.stateName(StateChart.initial()) == "shut");
  const auto AfterOpen =
      step(StateChart, StateChart.initial(), *StateChart.findEvent("open"));
  CHECK(valueOf(AfterOpen).Target == *StateChart.findState("wide"));
  REQUIRE(valueOf(AfterOpen).Actions.size() == 1);
  CHECK(StateChart.actionName(valueOf(AfterOpen).Actions[0]) == "ring");
  const auto AfterBurn = step(StateChart, valueOf(AfterOpen).Target,
                              *StateChart.findEvent("burn"));
  CHECK(valueOf(AfterBurn).Actions.empty());
  CHECK(StateChart.isFinal(valueOf(AfterBurn).Target));
}

// Guards against an event that is ignored where the chart does not expect it,
// and against reads beyond the table.
TEST_CASE("a step without a transition is an error") {
  const Chart StateChart = valueOf(parseChart(Door));
  const auto Missing =
      step(StateChart, StateChart.initial(), *StateChart.findEvent("burn"));
  CHECK(errorOf(Missing).Kind == ErrorKind::Conflict);
  CHECK(contains(errorOf(Missing).Message, "'burn' in the state 'shut'"));
  CHECK(errorOf(step(StateChart, 99, 0)).Kind == ErrorKind::Internal);
  CHECK(errorOf(step(StateChart, 0, 99)).Kind == ErrorKind::Internal);
}

// Each assertion guards against one kind of fault that the check does not
// report.
TEST_CASE("the check names each kind of fault") {
  CHECK(contains(joinedFaults(replaceInDoor(R"("burn": {"target": "gone"})",
                                            R"("burn": {"target": "shut"})")),
                 "'gone' is unreachable"));
  CHECK(
      contains(joinedFaults(replaceInDoor(R"("burn"])", R"("burn", "knock"])")),
               "the event 'knock' is never used"));
  CHECK(contains(joinedFaults(replaceInDoor(R"(, "burn"])", "]")),
                 "the event 'burn' is not declared"));
  CHECK(contains(joinedFaults(replaceInDoor(R"("target": "gone")", //
                                            R"("target": "gnoe")")),
                 "'gnoe' is a target but not declared"));
  CHECK(contains(joinedFaults(replaceInDoor(R"("actions": ["ring"]}}})",
                                            R"("actions": ["ding"]}}})")),
                 "the action 'ding' is not implemented"));
  CHECK(contains(joinedFaults(replaceInDoor(R"("actions": ["ring"]}}})",
                                            R"("actions": []}}})")),
                 "the action 'ring' is never used"));
  CHECK(contains(joinedFaults(replaceInDoor(R"({"final": true})", "{}")),
                 "'gone' has no transition to another state"));
  CHECK(contains(joinedFaults(replaceInDoor(
                     R"({"final": true})",
                     R"({"final": true, "on": {"shut": {"target": "shut"}}})")),
                 "'gone' is final but has a transition to another state"));
}

// Guards against a misspelt field that is silently ignored.
TEST_CASE("text that is not a chart gives a typed error") {
  const auto ParseErrorKind = [](const std::string &Text) {
    return errorOf(parseChart(Text)).Kind;
  };
  CHECK(ParseErrorKind("{") == ErrorKind::BadJson);
  CHECK(ParseErrorKind("[]") == ErrorKind::BadJson);
  CHECK(ParseErrorKind("{}") == ErrorKind::MissingKey);
  CHECK(ParseErrorKind(replaceInDoor(R"({"target": "gone"})", "{}")) ==
        ErrorKind::MissingKey);
  CHECK(ParseErrorKind(replaceInDoor(R"({"final": true})",
                                     R"({"final": 1})")) == ErrorKind::BadJson);
  const auto Misspelt = parseChart(replaceInDoor("initial", "inital"));
  CHECK(errorOf(Misspelt).Kind == ErrorKind::UnknownSetting);
  CHECK(errorOf(Misspelt).Remedy == "did you mean 'initial'?");
}
