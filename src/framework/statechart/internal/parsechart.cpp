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

Error malformed(const std::string &Message) {
  return {ErrorKind::BadJson, Message,
          "write the chart as "
          "{\"name\",\"initial\",\"states\",\"events\",\"actions\"}"};
}

Error unknownFieldError(const std::string &Where, const std::string &Name,
                        const std::vector<std::string> &Known) {
  const auto Near = nearestName(Name, Known);
  return {ErrorKind::UnknownSetting,
          Where + " has the unknown field '" + Name + "'",
          Near ? "did you mean '" + *Near + "'?" : "remove it"};
}

/// Refuses fields of \p Object outside \p Known.
std::optional<Error> unknownField(const Json &Object, const std::string &Where,
                                  const std::vector<std::string> &Known) {
  for (const auto &[Name, Value] : Object.items()) {
    if (std::ranges::find(Known, Name) == Known.end())
      return unknownFieldError(Where, Name, Known);
  }
  return std::nullopt;
}

Result<std::string> textField(const Json &Object, const std::string &Name) {
  const auto Found = Object.find(Name);
  if (Found == Object.end())
    return Error{ErrorKind::MissingKey, "the field '" + Name + "' is missing",
                 "add it to the chart"};
  if (!Found->is_string())
    return malformed("the field '" + Name + "' must be a string");
  return Found->get<std::string>();
}

Result<std::vector<std::string>> namesField(const Json &Object,
                                            const std::string &Name) {
  const auto Found = Object.find(Name);
  if (Found == Object.end())
    return std::vector<std::string>{};
  const auto IsText = [](const Json &Item) { return Item.is_string(); };
  if (!Found->is_array() || !std::ranges::all_of(*Found, IsText))
    return malformed("the field '" + Name + "' must be a list of strings");
  return Found->get<std::vector<std::string>>();
}

/// Returns the index of \p Name, which is appended if absent.
uint16_t intern(std::vector<std::string> &Names, const std::string &Name) {
  const auto Found = std::ranges::find(Names, Name);
  if (Found != Names.end())
    return static_cast<uint16_t>(Found - Names.begin());
  Names.push_back(Name);
  return static_cast<uint16_t>(Names.size() - 1);
}

StateId internState(ChartData &Data, const std::string &Name) {
  const auto Found =
      std::ranges::find(Data.States, Name, &detail::ChartState::Name);
  if (Found != Data.States.end())
    return static_cast<StateId>(Found - Data.States.begin());
  Data.States.push_back({Name, false, false});
  return static_cast<StateId>(Data.States.size() - 1);
}

/// One transition before the size of the table is known.
struct Entry {
  StateId State;
  EventId Event;
  ChartCell Cell;
};

Result<Entry> parseEntry(ChartData &Data, StateId State,
                         const std::string &Event, const Json &Value) {
  const std::string Where = "the event '" + Event + "'";
  if (!Value.is_object())
    return malformed(Where + " must be an object");
  if (auto Err = unknownField(Value, Where, {"target", "actions"}))
    return *Err;
  auto Target = textField(Value, "target");
  if (isError(Target))
    return errorOf(Target);
  auto Actions = namesField(Value, "actions");
  if (isError(Actions))
    return errorOf(Actions);
  Entry Parsed{State, intern(Data.Events, Event), {}};
  Parsed.Cell.Defined = true;
  Parsed.Cell.Target = internState(Data, valueOf(Target));
  for (const std::string &Name : valueOf(Actions))
    Parsed.Cell.Actions.push_back(intern(Data.Actions, Name));
  return Parsed;
}

std::optional<Error> parseState(ChartData &Data, StateId State,
                                const Json &Value,
                                std::vector<Entry> &Entries) {
  const std::string Where = "the state '" + Data.States[State].Name + "'";
  if (!Value.is_object())
    return malformed(Where + " must be an object");
  if (auto Err = unknownField(Value, Where, {"final", "on"}))
    return Err;
  if (const auto Final = Value.find("final"); Final != Value.end()) {
    if (!Final->is_boolean())
      return malformed("'final' of " + Where + " must be true or false");
    Data.States[State].Final = Final->get<bool>();
  }
  const auto On = Value.find("on");
  if (On == Value.end())
    return std::nullopt;
  if (!On->is_object())
    return malformed("'on' of " + Where + " must be an object");
  for (const auto &[Event, Reaction] : On->items()) {
    auto Parsed = parseEntry(Data, State, Event, Reaction);
    if (isError(Parsed))
      return errorOf(Parsed);
    Entries.push_back(takeValue(std::move(Parsed)));
  }
  return std::nullopt;
}

std::optional<Error> parseStates(ChartData &Data, const Json &States,
                                 std::vector<Entry> &Entries) {
  // All states are named first, so that their numbers follow the text.
  for (const auto &[Name, Value] : States.items())
    Data.States.push_back({Name, true, false});
  StateId State = 0;
  for (const auto &[Name, Value] : States.items())
    if (auto Err = parseState(Data, State++, Value, Entries))
      return Err;
  return std::nullopt;
}

void fillCells(ChartData &Data, std::vector<Entry> Entries) {
  Data.Cells.resize(Data.States.size() * Data.Events.size());
  for (Entry &Each : Entries)
    Data.Cells[Each.State * Data.Events.size() + Each.Event] =
        std::move(Each.Cell);
}

/// Reads the fields beside the states.
std::optional<Error> parseHead(ChartData &Data, const Json &Root) {
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

Result<Chart> chartFromJson(const Json &Root) {
  ChartData Data;
  if (auto Err = parseHead(Data, Root))
    return *Err;
  auto Initial = textField(Root, "initial");
  if (isError(Initial))
    return errorOf(Initial);
  const auto States = Root.find("states");
  if (States == Root.end() || !States->is_object())
    return malformed("the field 'states' must be an object");
  std::vector<Entry> Entries;
  if (auto Err = parseStates(Data, *States, Entries))
    return *Err;
  Data.Initial = internState(Data, valueOf(Initial));
  if (std::max({Data.States.size(), Data.Events.size(), Data.Actions.size()}) >
      MaxNames)
    return Error{ErrorKind::OutOfRange,
                 "a chart has at most 1024 states, events and actions",
                 "split the chart"};
  fillCells(Data, std::move(Entries));
  return Chart(std::move(Data));
}

} // namespace

Result<Chart> parseChart(std::string_view Text) {
  try {
    const Json Root = Json::parse(Text, nullptr, true, true);
    if (!Root.is_object())
      return malformed("a chart must be a JSON object");
    if (auto Err =
            unknownField(Root, "the chart",
                         {"name", "initial", "states", "events", "actions"}))
      return *Err;
    return chartFromJson(Root);
  } catch (const Json::exception &Fault) {
    return malformed(Fault.what());
  }
}

} // namespace sapphiremoor
