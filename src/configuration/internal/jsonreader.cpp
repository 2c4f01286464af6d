#include "configuration/internal/jsonreader.h"

#include "configuration/internal/printable.h"
#include "framework/core/text.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

namespace sapphiremoor {

namespace {

constexpr std::size_t MaxStringBytes = 4096;
constexpr std::size_t MaxNameBytes = 63;

std::string_view typeName(JsonNode::Kind Type) {
  switch (Type) {
  case JsonNode::Kind::Null:
    return "null";
  case JsonNode::Kind::Boolean:
    return "true or false";
  case JsonNode::Kind::Number:
    return "a number";
  case JsonNode::Kind::String:
    return "a string";
  case JsonNode::Kind::List:
    return "a list";
  case JsonNode::Kind::Object:
    return "an object";
  }
  return "null";
}

std::string formatNumber(double Value) {
  char Digits[32];
  std::snprintf(Digits, sizeof(Digits), "%.10g", Value);
  return Digits;
}

std::string joinNames(const std::vector<std::string> &Names) {
  std::string Joined;
  for (const std::string &Name : Names)
    Joined += (Joined.empty() ? "" : ", ") + Name;
  return Joined;
}

bool isNameCharacter(char C) {
  return (C >= 'a' && C <= 'z') || (C >= '0' && C <= '9') || C == '-' ||
         C == '_' || C == '.';
}

std::string formatWithUnit(double Value, std::string_view Unit) {
  std::string Formatted = formatNumber(Value);
  if (!Unit.empty())
    Formatted += " " + std::string(Unit);
  return Formatted;
}

} // namespace

std::string joinPath(const std::string &Path, const std::string &Key) {
  return Path.empty() ? Key : Path + "." + Key;
}

JsonReader::JsonReader(std::string_view Text, std::string FileName)
    : Locator(Text, std::move(FileName)) {}

void JsonReader::fail(ErrorKind Kind, const JsonNode &Node,
                      const std::string &Message, std::string Remedy) {
  if (!Failure)
    Failure = Error{Kind, location(Node) + ": " + Message, std::move(Remedy)};
}

std::string JsonReader::location(const JsonNode &Node) {
  return Locator.locate(Node.Offset);
}

bool JsonReader::checkType(const JsonNode &Node, const std::string &Path,
                           JsonNode::Kind Type, const std::string &TypeName) {
  if (Node.Type == Type)
    return true;
  const std::string Name = Path.empty() ? "the file" : Path;
  fail(ErrorKind::BadRequest, Node,
       Name + " must be " + TypeName + ", but is " +
           std::string(typeName(Node.Type)),
       "change " + Name + " to " + TypeName);
  return false;
}

bool JsonReader::checkObject(const JsonNode &Node, const std::string &Path,
                             const std::vector<std::string> &KnownKeys) {
  if (!checkType(Node, Path, JsonNode::Kind::Object, "an object"))
    return false;
  const auto Unknown =
      std::ranges::find_if(Node.Items, [&KnownKeys](const JsonNode &Member) {
        return std::ranges::find(KnownKeys, Member.Key) == KnownKeys.end();
      });
  if (Unknown == Node.Items.end())
    return true;
  const std::string Key = toPrintable(Unknown->Key);
  const auto Nearest = nearestName(Key, KnownKeys);
  fail(ErrorKind::UnknownSetting, *Unknown,
       "unknown setting \"" + joinPath(Path, Key) + "\"",
       Nearest ? "did you mean \"" + *Nearest + "\"?"
               : "remove it; known here are " + joinNames(KnownKeys));
  return false;
}

const JsonNode *JsonReader::requireMember(const JsonNode &Object,
                                          const std::string &Path,
                                          const std::string &Key) {
  const JsonNode *Member = Object.find(Key);
  const std::string Name = joinPath(Path, Key);
  if (Member == nullptr)
    fail(ErrorKind::MissingKey, Object,
         "required setting \"" + Name + "\" is missing",
         "add \"" + Key + "\"" + (Path.empty() ? "" : " to " + Path));
  return Member;
}

bool JsonReader::readBoolean(const JsonNode &Node, const std::string &Path) {
  return checkType(Node, Path, JsonNode::Kind::Boolean, "true or false") &&
         Node.Boolean;
}

std::string JsonReader::readString(const JsonNode &Node,
                                   const std::string &Path) {
  if (!checkType(Node, Path, JsonNode::Kind::String, "a string"))
    return {};
  if (Node.String.empty() || Node.String.size() > MaxStringBytes ||
      Node.String.find('\0') != std::string::npos) {
    fail(ErrorKind::OutOfRange, Node,
         Path + " must have 1 to " + std::to_string(MaxStringBytes) +
             " bytes and no zero byte",
         "correct the length of " + Path + " or remove the zero byte");
    return {};
  }
  return Node.String;
}

bool JsonReader::checkName(const JsonNode &Node, const std::string &Name,
                           const std::string &Path) {
  if (!Name.empty() && Name.size() <= MaxNameBytes &&
      std::ranges::all_of(Name, isNameCharacter))
    return true;
  fail(ErrorKind::OutOfRange, Node,
       "\"" + toPrintable(Name) + "\" is not a valid name for " + Path,
       "use 1 to " + std::to_string(MaxNameBytes) +
           " lower-case letters, digits, '-', '_' or '.'");
  return false;
}

std::string JsonReader::readName(const JsonNode &Node,
                                 const std::string &Path) {
  if (!checkType(Node, Path, JsonNode::Kind::String, "a string") ||
      !checkName(Node, Node.String, Path))
    return {};
  return Node.String;
}

double JsonReader::readNumber(const JsonNode &Node, const std::string &Path,
                              const NumberRange &Range) {
  if (!checkType(Node, Path, JsonNode::Kind::Number, "a number"))
    return Range.Low;
  if (Node.Number >= Range.Low && Node.Number <= Range.High)
    return Node.Number;
  const std::string Allowed =
      formatNumber(Range.Low) + " to " + formatWithUnit(Range.High, Range.Unit);
  fail(ErrorKind::OutOfRange, Node,
       Path + " is " + formatWithUnit(Node.Number, Range.Unit) +
           ", but must be from " + Allowed,
       "choose a value from " + Allowed);
  return Range.Low;
}

uint64_t JsonReader::readInteger(const JsonNode &Node, const std::string &Path,
                                 const NumberRange &Range) {
  const double Value = readNumber(Node, Path, Range);
  if (std::floor(Value) != Value)
    fail(ErrorKind::BadRequest, Node, Path + " must be a whole number",
         "write " + Path + " without a fraction");
  return static_cast<uint64_t>(Value);
}

Duration JsonReader::readMilliseconds(const JsonNode &Node,
                                      const std::string &Path,
                                      const NumberRange &Range) {
  constexpr double MicrosecondsPerMillisecond = 1000;
  const double Value = readNumber(Node, Path, Range);
  return Duration(std::llround(Value * MicrosecondsPerMillisecond));
}

} // namespace sapphiremoor
