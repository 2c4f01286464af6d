#include "framework/statechart/chart.h"

#include <algorithm>
#include <span>

namespace sapphiremoor {

namespace {

using detail::ChartCell;
using detail::ChartData;

std::span<const ChartCell> transitionsFrom(const ChartData &Data,
                                           std::size_t State) {
  const std::size_t Width = Data.Events.size();
  return std::span(Data.Cells).subspan(State * Width, Width);
}

/// Collects the faults of one chart.
class ChartChecker {
public:
  ChartChecker(const ChartData &Data,
               const std::vector<std::string> &KnownActions)
      : Data(Data), KnownActions(KnownActions) {}

  std::vector<Error> run() {
    checkStates();
    checkEvents();
    checkActions();
    return std::move(Faults);
  }

private:
  void report(ErrorKind Kind, const std::string &Problem,
              const std::string &Remedy) {
    Faults.push_back({Kind, "chart '" + Data.Name + "': " + Problem, Remedy});
  }

  std::vector<bool> reachableStates() const {
    std::vector<bool> Reached(Data.States.size());
    std::vector<StateId> Worklist{Data.Initial};
    while (!Worklist.empty()) {
      const StateId State = Worklist.back();
      Worklist.pop_back();
      if (Reached[State])
        continue;
      Reached[State] = true;
      for (const ChartCell &Cell : transitionsFrom(Data, State))
        if (Cell.Defined)
          Worklist.push_back(Cell.Target);
    }
    return Reached;
  }

  void checkStates() {
    const std::vector<bool> Reached = reachableStates();
    for (std::size_t State = 0; State < Data.States.size(); ++State) {
      const std::string Subject = "the state '" + Data.States[State].Name + "'";
      if (!Data.States[State].Declared) {
        report(ErrorKind::NotFound, Subject + " is a target but not declared",
               "declare it under 'states' or correct the target");
        continue;
      }
      if (!Reached[State])
        report(ErrorKind::Contradiction, Subject + " is unreachable",
               "add a transition to it or remove it");
      checkExit(State, Subject);
    }
  }

  /// A transition to the same state does not count as an exit.
  void checkExit(std::size_t State, const std::string &Subject) {
    const bool HasExit = std::ranges::any_of(
        transitionsFrom(Data, State), [&](const ChartCell &Cell) {
          return Cell.Defined && Cell.Target != State;
        });
    if (Data.States[State].Final && HasExit)
      report(ErrorKind::Contradiction,
             Subject + " is final but has a transition to another state",
             "remove its transitions or 'final'");
    if (!Data.States[State].Final && !HasExit)
      report(ErrorKind::Contradiction,
             Subject + " has no transition to another state",
             "add a transition to another state or mark it as final");
  }

  bool eventUsed(std::size_t Event) const {
    for (std::size_t State = 0; State < Data.States.size(); ++State)
      if (transitionsFrom(Data, State)[Event].Defined)
        return true;
    return false;
  }

  void checkEvents() {
    for (std::size_t Event = 0; Event < Data.Events.size(); ++Event) {
      const std::string Subject = "the event '" + Data.Events[Event] + "'";
      if (Event >= Data.DeclaredEvents)
        report(ErrorKind::NotFound, Subject + " is not declared",
               "add it to 'events'");
      if (!eventUsed(Event))
        report(ErrorKind::Contradiction, Subject + " is never used",
               "use it in a transition or remove it from 'events'");
    }
  }

  bool actionUsed(ActionId Action) const {
    return std::ranges::any_of(Data.Cells, [&](const ChartCell &Cell) {
      return std::ranges::find(Cell.Actions, Action) != Cell.Actions.end();
    });
  }

  void checkActions() {
    for (std::size_t Action = 0; Action < Data.Actions.size(); ++Action) {
      const std::string &ActionName = Data.Actions[Action];
      const std::string Subject = "the action '" + ActionName + "'";
      if (Action >= Data.DeclaredActions)
        report(ErrorKind::NotFound, Subject + " is not declared",
               "add it to 'actions'");
      if (!actionUsed(static_cast<ActionId>(Action)))
        report(ErrorKind::Contradiction, Subject + " is never used",
               "use it in a transition or remove it from 'actions'");
      if (std::ranges::find(KnownActions, ActionName) == KnownActions.end())
        report(ErrorKind::NotFound, Subject + " is not implemented",
               "implement it or correct its name");
    }
  }

  const ChartData &Data;
  const std::vector<std::string> &KnownActions;
  std::vector<Error> Faults;
};

} // namespace

std::vector<Error> checkChart(const Chart &StateChart,
                              const std::vector<std::string> &KnownActions) {
  return ChartChecker(StateChart.data(), KnownActions).run();
}

} // namespace sapphiremoor
