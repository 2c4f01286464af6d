#include "framework/core/text.h"
#include "framework/statechart/chart.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sapphiremoor {

namespace {

using Json = nlohmann::ordered_json;
using detail::ChartCell;
using detail::ChartData;

constexpr std::size_t MaxNames = 1024;

Error malformedError(const std::string &Message) {
  return {ErrorKind::BadJson, Message,
          "write the chart as "
          "{\"name\",\"initial\",\"states\",\"events\",\"actions\"}"};
}

Error unknownFieldError(const std::string &Subject, const std::string &Name,
                        const std::vector<std::string> &KnownFields) {
  const auto Suggestion = nearestName(Name, KnownFields);
  return {ErrorKind::UnknownSetting,
          Subject + " has the unknown field '" + Name + "'",
          Suggestion ? "did you mean '" + *Suggestion + "'?" : "remove it"};
}

/// Returns an error if \p Object has a field outside \p KnownFields.
std::optional<Error>
findUnknownField(const Json &Object, const std::string &Subject,
                 const std::vector<std::string> &KnownFields) {
  for (const auto &[Name, Value] : Object.items()) {
    if (std::ranges::find(KnownFields, Name) == KnownFields.end())
      return unknownFieldError(Subject, Name, KnownFields);
  }
  return std::nullopt;
}

Result<std::string> textField(const Json &Object, const std::string &Name) {
  const auto It = Object.find(Name);
  if (It == Object.end())
    return Error{ErrorKind::MissingKey, "the field '" + Name + "' is missing",
                 "add it to the chart"};
  if (!It->is_string())
    return malformedError("the field '" + Name + "' must be a string");
  return It->get<std::string>();
}

Result<std::vector<std::string>> namesField(const Json &Object,
                                            const std::string &Name) {
  const auto It = Object.find(Name);
  if (It == Object.end())
    return std::vector<std::string>{};
  const auto IsText = [](const Json &Item) { return Item.is_string(); };
  if (!It->is_array() || !std::ranges::all_of(*It, IsText))
    return malformedError("the field '" + Name + "' must be a list of strings");
  return It->get<std::vector<std::string>>();
}

/// Returns the index of \p Name, which is appended if absent.
uint16_t intern(std::vector<std::string> &Names, const std::string &Name) {
  const auto It = std::ranges::find(Names, Name);
  if (It != Names.end())
    return static_cast<uint16_t>(It - Names.begin());
  Names.push_back(Name);
  return static_cast<uint16_t>(Names.size() - 1);
}

StateId internState(ChartData &Data, const std::string &Name) {
  const auto It =
      std::ranges::find(Data.States, Name, &detail::ChartState::Name);
  if (It != Data.States.end())
    return static_cast<StateId>(It - Data.States.begin());
  Data.States.push_back({Name, false, false});
  return static_cast<StateId>(Data.States.size() - 1);
}

/// One transition, kept until the size of the transition table is known.
struct ParsedTransition {
  StateId State;
  EventId Event;
  ChartCell Cell;
};

Result<ParsedTransition> parseTransition(ChartData &Data, StateId State,
                                         const std::string &Event,
                                         const Json &Value) {
  const std::string Subject = "the event '" + Event + "'";
  if (!Value.is_object())
    return malformedError(Subject + " must be an object");
  if (auto Err = findUnknownField(Value, Subject, {"target", "actions"}))
    return *Err;
  auto Target = textField(Value, "target");
  if (isError(Target))
    return errorOf(Target);
  auto Actions = namesField(Value, "actions");
  if (isError(Actions))
    return errorOf(Actions);
  ParsedTransition Parsed{State, intern(Data.Events, Event), {}};
  Parsed.Cell.Defined = true;
  Parsed.Cell.Target = internState(Data, valueOf(Target));
  for (const std::string &Name : valueOf(Actions))
    Parsed.Cell.Actions.push_back(intern(Data.Actions, Name));
  return Parsed;
}

std::optional<Error> parseState(ChartData &Data, StateId State,
                                const Json &Value,
                                std::vector<ParsedTransition> &Transitions) {
  const std::string Subject = "the state '" + Data.States[State].Name + "'";
  if (!Value.is_object())
    return malformedError(Subject + " must be an object");
  if (auto Err = findUnknownField(Value, Subject, {"final", "on"}))
    return Err;
  if (const auto FinalIt = Value.find("final"); FinalIt != Value.end()) {
    if (!FinalIt->is_boolean())
      return malformedError("'final' of " + Subject + " must be true or false");
    Data.States[State].Final = FinalIt->get<bool>();
  }
  const auto OnIt = Value.find("on");
  if (OnIt == Value.end())
    return std::nullopt;
  if (!OnIt->is_object())
    return malformedError("'on' of " + Subject + " must be an object");
  for (const auto &[Event, TransitionValue] : OnIt->items()) {
    auto Parsed = parseTransition(Data, State, Event, TransitionValue);
    if (isError(Parsed))
      return errorOf(Parsed);
    Transitions.push_back(takeValue(std::move(Parsed)));
  }
  return std::nullopt;
}

std::optional<Error> parseStates(ChartData &Data, const Json &States,
                                 std::vector<ParsedTransition> &Transitions) {
  // Adds all states first, so that their identifiers follow the order of the
  // JSON.
  for (const auto &[Name, Value] : States.items())
    Data.States.push_back({Name, true, false});
  StateId State = 0;
  for (const auto &[Name, Value] : States.items())
    if (auto Err = parseState(Data, State++, Value, Transitions))
      return Err;
  return std::nullopt;
}

void fillCells(ChartData &Data, std::vector<ParsedTransition> Transitions) {
  Data.Cells.resize(Data.States.size() * Data.Events.size());
  for (ParsedTransition &Parsed : Transitions)
    Data.Cells[Parsed.State * Data.Events.size() + Parsed.Event] =
        std::move(Parsed.Cell);
}

/// Reads the name, the events and the actions.
std::optional<Error> parseHeader(ChartData &Data, const Json &Root) {
  auto Name = textField(Root, "name");
  if (isError(Name))
    return errorOf(Name);
  Data.Name = takeValue(std::move(Name));
  auto Events = namesField(Root, "events");
  if (isError(Events))
    return errorOf(Events);
  Data.Events = takeValue(std::move(Events));
  Data.DeclaredEvents = Data.Events.size();
  auto Actions = namesField(Root, "actions");
  if (isError(Actions))
    return errorOf(Actions);
  Data.Actions = takeValue(std::move(Actions));
  Data.DeclaredActions = Data.Actions.size();
  return std::nullopt;
}

Result<Chart> buildChart(const Json &Root) {
  ChartData Data;
  if (auto Err = parseHeader(Data, Root))
    return *Err;
  auto Initial = textField(Root, "initial");
  if (isError(Initial))
    return errorOf(Initial);
  const auto StatesIt = Root.find("states");
  if (StatesIt == Root.end() || !StatesIt->is_object())
    return malformedError("the field 'states' must be an object");
  std::vector<ParsedTransition> Transitions;
  if (auto Err = parseStates(Data, *StatesIt, Transitions))
    return *Err;
  Data.Initial = internState(Data, valueOf(Initial));
  if (std::max({Data.States.size(), Data.Events.size(), Data.Actions.size()}) >
      MaxNames)
    return Error{ErrorKind::OutOfRange,
                 "a chart has at most 1024 states, events and actions",
                 "split the chart"};
  fillCells(Data, std::move(Transitions));
  return Chart(std::move(Data));
}

} // namespace

Result<Chart> parseChart(std::string_view Text) {
  try {
    const Json Root = Json::parse(Text, nullptr, true, true);
    if (!Root.is_object())
      return malformedError("a chart must be a JSON object");
    if (auto Err = findUnknownField(
            Root, "the chart",
            {"name", "initial", "states", "events", "actions"}))
      return *Err;
    return buildChart(Root);
  } catch (const Json::exception &Ex) {
    return malformedError(Ex.what());
  }
}

} // namespace sapphiremoor
