#ifndef SAPPHIREMOOR_FRAMEWORK_STATECHART_CHART_H
#define SAPPHIREMOOR_FRAMEWORK_STATECHART_CHART_H

#include "framework/core/result.h"
#include "framework/statechart/types/transition.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphiremoor {

namespace detail {

/// One state, which is a row of the transition table. Declared is false for a
/// state that appears only as a target.
struct ChartState {
  std::string Name;
  bool Declared = false;
  bool Final = false;
};

/// One cell of the transition table: the transition of one state on one event.
struct ChartCell {
  bool Defined = false;
  StateId Target = 0;
  std::vector<ActionId> Actions;
};

/// The parsed form of a chart. Events and actions beyond the declared counts
/// are used in transitions but not declared.
struct ChartData {
  std::string Name;
  StateId Initial = 0;
  std::vector<ChartState> States;
  std::vector<std::string> Events;
  std::vector<std::string> Actions;
  std::size_t DeclaredEvents = 0;
  std::size_t DeclaredActions = 0;
  std::vector<ChartCell> Cells; // index: state * events + event
};

} // namespace detail

/// A state chart: named states and the transitions between them. It is
/// immutable, so that all state machines of one kind can share one chart.
class Chart {
public:
  explicit Chart(detail::ChartData Data) : Data(std::move(Data)) {}

  const std::string &name() const { return Data.Name; }
  StateId initial() const { return Data.Initial; }
  std::size_t stateCount() const { return Data.States.size(); }
  std::size_t eventCount() const { return Data.Events.size(); }
  std::size_t actionCount() const { return Data.Actions.size(); }

  /// \p Id must be a state, event or action of this chart.
  const std::string &stateName(StateId Id) const {
    return Data.States.at(Id).Name;
  }
  const std::string &eventName(EventId Id) const { return Data.Events.at(Id); }
  const std::string &actionName(ActionId Id) const {
    return Data.Actions.at(Id);
  }
  bool isFinal(StateId Id) const { return Data.States.at(Id).Final; }

  /// Look up an identifier by its name. Return nothing if the chart has no such
  /// name.
  std::optional<StateId> findState(std::string_view Name) const;
  std::optional<EventId> findEvent(std::string_view Name) const;
  std::optional<ActionId> findAction(std::string_view Name) const;

  /// The parsed form, for checkChart() and step().
  const detail::ChartData &data() const { return Data; }

private:
  detail::ChartData Data;
};

/// Parses a chart from JSON, where comments are allowed. The text must have the
/// right form (BadJson, UnknownSetting, MissingKey, OutOfRange otherwise);
/// checkChart() checks the consistency of the chart.
Result<Chart> parseChart(std::string_view Text);

/// Returns all faults of \p StateChart: unreachable states, events and actions
/// that are declared but never used or used but not declared, transitions to
/// unknown states, actions outside \p KnownActions, states without a transition
/// to another state that are not final, and final states with one.
std::vector<Error> checkChart(const Chart &StateChart,
                              const std::vector<std::string> &KnownActions);

/// Returns the transition that \p Event causes in \p State, or Conflict if the
/// chart has none, or Internal if an identifier is not of this chart.
Result<Transition> step(const Chart &StateChart, StateId State, EventId Event);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_FRAMEWORK_STATECHART_CHART_H
