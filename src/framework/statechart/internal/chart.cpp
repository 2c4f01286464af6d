#include "framework/statechart/chart.h"

#include <algorithm>

namespace sapphiremoor {

namespace {

std::optional<uint16_t> indexOf(const std::vector<std::string> &Names,
                                std::string_view Name) {
  const auto It = std::ranges::find(Names, Name);
  if (It == Names.end())
    return std::nullopt;
  return static_cast<uint16_t>(It - Names.begin());
}

Error unknownIdentifierError(const Chart &StateChart) {
  return {ErrorKind::Internal,
          "the chart '" + StateChart.name() + "' has no such state or event",
          "use the identifiers of this chart"};
}

Error noTransitionError(const Chart &StateChart, StateId State, EventId Event) {
  return {ErrorKind::Conflict,
          "'" + StateChart.name() + "' has no transition for '" +
              StateChart.eventName(Event) + "' in the state '" +
              StateChart.stateName(State) + "'",
          "add the transition to the chart or do not send the event"};
}

} // namespace

std::optional<StateId> Chart::findState(std::string_view Name) const {
  const auto It =
      std::ranges::find(Data.States, Name, &detail::ChartState::Name);
  if (It == Data.States.end())
    return std::nullopt;
  return static_cast<StateId>(It - Data.States.begin());
}

std::optional<EventId> Chart::findEvent(std::string_view Name) const {
  return indexOf(Data.Events, Name);
}

std::optional<ActionId> Chart::findAction(std::string_view Name) const {
  return indexOf(Data.Actions, Name);
}

Result<Transition> step(const Chart &StateChart, StateId State, EventId Event) {
  const detail::ChartData &Data = StateChart.data();
  if (State >= Data.States.size() || Event >= Data.Events.size())
    return unknownIdentifierError(StateChart);
  const detail::ChartCell &Cell =
      Data.Cells[State * Data.Events.size() + Event];
  if (!Cell.Defined)
    return noTransitionError(StateChart, State, Event);
  return Transition{Cell.Target, Cell.Actions};
}

} // namespace sapphiremoor
