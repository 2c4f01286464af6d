#include "leases/parseannouncement.h"

#include "framework/core/text.h"

#include <arpa/inet.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <optional>

namespace sapphiremoor {

namespace {

using nlohmann::json;

constexpr std::size_t MaxTextBytes = std::size_t{16} << 10;
constexpr std::size_t MaxNameLength = 64;
constexpr std::size_t MaxServices = 64;
constexpr int64_t MaxSlots = 1024;
constexpr int64_t MaxPort = 65535;

const std::vector<std::string> &fieldNames() {
  static const std::vector<std::string> Names{
      "address", "port", "worker", "rack", "services", "slots", "running"};
  return Names;
}

bool isNameCharacter(char Character) {
  return (Character >= 'a' && Character <= 'z') ||
         (Character >= 'A' && Character <= 'Z') ||
         (Character >= '0' && Character <= '9') || Character == '.' ||
         Character == '_' || Character == '-';
}

bool isName(std::string_view Text) {
  return !Text.empty() && Text.size() <= MaxNameLength &&
         std::ranges::all_of(Text, isNameCharacter);
}

Error invalidName(const std::string &Subject) {
  return {ErrorKind::BadRequest, Subject + " is not a valid name",
          "use 1 to 64 letters, digits, '.', '_' or '-'"};
}

std::optional<Error> checkFieldNames(const json &Root) {
  for (const auto &[Name, Value] : Root.items()) {
    if (std::ranges::find(fieldNames(), Name) != fieldNames().end())
      continue;
    const auto Nearest = nearestName(Name, fieldNames());
    return Error{ErrorKind::UnknownSetting,
                 "the announcement has the unknown field '" +
                     Name.substr(0, MaxNameLength) + "'",
                 Nearest ? "did you mean '" + *Nearest + "'?"
                         : "remove the field"};
  }
  for (const std::string &Name : fieldNames())
    if (!Root.contains(Name))
      return Error{ErrorKind::MissingKey,
                   "the announcement lacks the field '" + Name + "'",
                   "add the field"};
  return std::nullopt;
}

Result<int64_t> numberField(const json &Root, const std::string &Name,
                            int64_t Min, int64_t Max) {
  const json &Value = Root.at(Name);
  if (!Value.is_number_integer())
    return Error{ErrorKind::BadRequest, "'" + Name + "' is not an integer",
                 "write it as a whole number"};
  // An unsigned value beyond the signed range wraps to a negative one, which is
  // out of range for every field.
  const auto Number = Value.get<int64_t>();
  if (Number < Min || Number > Max)
    return Error{ErrorKind::OutOfRange, "'" + Name + "' is out of range",
                 "use " + std::to_string(Min) + " to " + std::to_string(Max)};
  return Number;
}

Result<std::string> nameField(const json &Root, const std::string &Name) {
  const json &Value = Root.at(Name);
  if (!Value.is_string() || !isName(Value.get_ref<const std::string &>()))
    return invalidName("'" + Name + "'");
  return Value.get<std::string>();
}

/// Accepts numeric addresses only: a host name would have to be resolved on the
/// path of each task.
Result<std::string> addressField(const json &Root) {
  const Error NotNumeric{ErrorKind::BadRequest,
                         "'address' is not an IPv4 or IPv6 address",
                         "announce a numeric address"};
  const json &Value = Root.at("address");
  if (!Value.is_string())
    return NotNumeric;
  const std::string Text = Value.get<std::string>();
  // inet_pton() stops at a zero byte, so text after it would go unchecked.
  if (Text.find('\0') != std::string::npos)
    return NotNumeric;
  std::array<unsigned char, sizeof(in6_addr)> Buffer{};
  if (inet_pton(AF_INET, Text.c_str(), Buffer.data()) != 1 &&
      inet_pton(AF_INET6, Text.c_str(), Buffer.data()) != 1)
    return NotNumeric;
  return Text;
}

Result<std::vector<std::string>> servicesField(const json &Root) {
  const json &Value = Root.at("services");
  if (!Value.is_array())
    return Error{ErrorKind::BadRequest, "'services' is not a list",
                 "write a list of service names"};
  if (Value.empty() || Value.size() > MaxServices)
    return Error{ErrorKind::OutOfRange,
                 "'services' is empty or has too many entries",
                 "announce 1 to 64 services"};
  std::vector<std::string> Services;
  for (const json &Item : Value) {
    if (!Item.is_string() || !isName(Item.get_ref<const std::string &>()))
      return invalidName("an entry of 'services'");
    Services.push_back(Item.get<std::string>());
  }
  // Sort the names, so that a different order does not count as a change.
  std::ranges::sort(Services);
  if (std::ranges::adjacent_find(Services) != Services.end())
    return Error{ErrorKind::Contradiction, "'services' lists a service twice",
                 "list each service once"};
  return Services;
}

/// Stores a parsed field, or records the error if it is the first one.
template <typename T, typename U>
void storeField(Result<T> Parsed, U &Target, std::optional<Error> &FirstError) {
  if (!isError(Parsed))
    Target = static_cast<U>(takeValue(std::move(Parsed)));
  else if (!FirstError)
    FirstError = errorOf(Parsed);
}

Result<Announcement> fromJson(std::string_view Id, const json &Root) {
  if (auto Err = checkFieldNames(Root))
    return *Err;
  Announcement Parsed;
  std::optional<Error> FirstError;
  Parsed.Id = Id;
  storeField(addressField(Root), Parsed.Address, FirstError);
  storeField(numberField(Root, "port", 1, MaxPort), Parsed.Port, FirstError);
  storeField(nameField(Root, "worker"), Parsed.Worker, FirstError);
  storeField(nameField(Root, "rack"), Parsed.Rack, FirstError);
  storeField(servicesField(Root), Parsed.Services, FirstError);
  storeField(numberField(Root, "slots", 1, MaxSlots), Parsed.Slots, FirstError);
  storeField(numberField(Root, "running", 0, MaxSlots), Parsed.Running,
             FirstError);
  if (FirstError)
    return *FirstError;
  return Parsed;
}

} // namespace

Result<Done> checkBackendId(std::string_view Id) {
  if (!isName(Id))
    return invalidName("the identifier of the backend server");
  return Done{};
}

Result<Announcement> parseAnnouncement(std::string_view Id,
                                       std::string_view Text) {
  if (const auto IdCheck = checkBackendId(Id); isError(IdCheck))
    return errorOf(IdCheck);
  if (Text.size() > MaxTextBytes)
    return Error{ErrorKind::TooLarge, "the announcement is larger than 16 KB",
                 "announce fewer or shorter names"};
  try {
    const json Root = json::parse(Text);
    if (!Root.is_object())
      return Error{ErrorKind::BadJson, "the announcement is not a JSON object",
                   "send one JSON object"};
    return fromJson(Id, Root);
  } catch (const json::exception &Exception) {
    return Error{ErrorKind::BadJson,
                 std::string("the announcement is not valid JSON: ") +
                     Exception.what(),
                 "send one JSON object"};
  }
}

} // namespace sapphiremoor
