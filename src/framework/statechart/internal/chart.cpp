#include "framework/statechart/chart.h"

#include <algorithm>

namespace sapphiremoor {

namespace {

std::optional<uint16_t> indexOf(const std::vector<std::string> &Names,
                                std::string_view Name) {
  const auto Found = std::ranges::find(Names, Name);
  if (Found == Names.end())
    return std::nullopt;
  return static_cast<uint16_t>(Found - Names.begin());
}

Error unknownIdentifier(const Chart &Machine) {
  return {ErrorKind::Internal,
          "the chart '" + Machine.name() + "' has no such state or event",
          "use the identifiers of this chart"};
}

Error noTransition(const Chart &Machine, StateId State, EventId Event) {
  return {ErrorKind::Conflict,
          "'" + Machine.name() + "' has no transition for '" +
              Machine.eventName(Event) + "' in the state '" +
              Machine.stateName(State) + "'",
          "add the transition to the chart or do not send the event"};
}

} // namespace

std::optional<StateId> Chart::findState(std::string_view Name) const {
  const auto Found =
      std::ranges::find(Data.States, Name, &detail::ChartState::Name);
  if (Found == Data.States.end())
    return std::nullopt;
  return static_cast<StateId>(Found - Data.States.begin());
}

std::optional<EventId> Chart::findEvent(std::string_view Name) const {
  return indexOf(Data.Events, Name);
}

std::optional<ActionId> Chart::findAction(std::string_view Name) const {
  return indexOf(Data.Actions, Name);
}

Result<Transition> step(const Chart &Machine, StateId State, EventId Event) {
  const detail::ChartData &Data = Machine.data();
  if (State >= Data.States.size() || Event >= Data.Events.size())
    return unknownIdentifier(Machine);
  const detail::ChartCell &Cell =
      Data.Cells[State * Data.Events.size() + Event];
  if (!Cell.Defined)
    return noTransition(Machine, State, Event);
  return Transition{Cell.Target, Cell.Actions};
}

} // namespace sapphiremoor
