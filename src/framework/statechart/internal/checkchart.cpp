#include "framework/statechart/chart.h"

#include <algorithm>
#include <span>

namespace sapphiremoor {

namespace {

using detail::ChartCell;
using detail::ChartData;

std::span<const ChartCell> row(const ChartData &Data, std::size_t State) {
  const std::size_t Width = Data.Events.size();
  return std::span(Data.Cells).subspan(State * Width, Width);
}

/// Collects the faults of one chart.
class Checker {
public:
  Checker(const ChartData &Data, const std::vector<std::string> &KnownActions)
      : Data(Data), KnownActions(KnownActions) {}

  std::vector<Error> run() {
    checkStates();
    checkEvents();
    checkActions();
    return std::move(Faults);
  }

private:
  void report(ErrorKind Kind, const std::string &What,
              const std::string &Remedy) {
    Faults.push_back({Kind, "chart '" + Data.Name + "': " + What, Remedy});
  }

  std::vector<bool> reachable() const {
    std::vector<bool> Seen(Data.States.size());
    std::vector<StateId> Open{Data.Initial};
    while (!Open.empty()) {
      const StateId State = Open.back();
      Open.pop_back();
      if (Seen[State])
        continue;
      Seen[State] = true;
      for (const ChartCell &Cell : row(Data, State))
        if (Cell.Defined)
          Open.push_back(Cell.Target);
    }
    return Seen;
  }

  void checkStates() {
    const std::vector<bool> Seen = reachable();
    for (std::size_t State = 0; State < Data.States.size(); ++State) {
      const std::string Name = "the state '" + Data.States[State].Name + "'";
      if (!Data.States[State].Declared) {
        report(ErrorKind::NotFound, Name + " is a target but not declared",
               "declare it under 'states' or correct the target");
        continue;
      }
      if (!Seen[State])
        report(ErrorKind::Contradiction, Name + " is unreachable",
               "add a transition to it or remove it");
      checkExit(State, Name);
    }
  }

  /// A transition back to the same state is no way on.
  void checkExit(std::size_t State, const std::string &Name) {
    const bool Leads =
        std::ranges::any_of(row(Data, State), [&](const ChartCell &Cell) {
          return Cell.Defined && Cell.Target != State;
        });
    if (Data.States[State].Final && Leads)
      report(ErrorKind::Contradiction, Name + " is final but has a way on",
             "remove its transitions or 'final'");
    if (!Data.States[State].Final && !Leads)
      report(ErrorKind::Contradiction, Name + " has no way on",
             "add a transition to another state or mark it as final");
  }

  bool eventUsed(std::size_t Event) const {
    for (std::size_t State = 0; State < Data.States.size(); ++State)
      if (row(Data, State)[Event].Defined)
        return true;
    return false;
  }

  void checkEvents() {
    for (std::size_t Event = 0; Event < Data.Events.size(); ++Event) {
      const std::string Name = "the event '" + Data.Events[Event] + "'";
      if (Event >= Data.DeclaredEvents)
        report(ErrorKind::NotFound, Name + " is not declared",
               "add it to 'events'");
      if (!eventUsed(Event))
        report(ErrorKind::Contradiction, Name + " is never used",
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
      const std::string &Plain = Data.Actions[Action];
      const std::string Name = "the action '" + Plain + "'";
      if (Action >= Data.DeclaredActions)
        report(ErrorKind::NotFound, Name + " is not declared",
               "add it to 'actions'");
      if (!actionUsed(static_cast<ActionId>(Action)))
        report(ErrorKind::Contradiction, Name + " is never used",
               "use it in a transition or remove it from 'actions'");
      if (std::ranges::find(KnownActions, Plain) == KnownActions.end())
        report(ErrorKind::NotFound, Name + " is not implemented",
               "implement it or correct its name");
    }
  }

  const ChartData &Data;
  const std::vector<std::string> &KnownActions;
  std::vector<Error> Faults;
};

} // namespace

std::vector<Error> checkChart(const Chart &Checked,
                              const std::vector<std::string> &KnownActions) {
  return Checker(Checked.data(), KnownActions).run();
}

} // namespace sapphiremoor
