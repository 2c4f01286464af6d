#include "configuration/internal/jsonreader.h"

#include "configuration/internal/shown.h"
#include "framework/core/text.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

namespace sapphiremoor {

namespace {

constexpr std::size_t MaxTextBytes = 4096;
constexpr std::size_t MaxNameBytes = 63;

std::string_view typeName(JsonNode::Kind Type) {
  switch (Type) {
  case JsonNode::Kind::Null:
    return "null";
  case JsonNode::Kind::Boolean:
    return "true or false";
  case JsonNode::Kind::Number:
    return "a number";
  case JsonNode::Kind::Text:
    return "a text";
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

std::string join(const std::vector<std::string> &Names) {
  std::string Joined;
  for (const std::string &Name : Names)
    Joined += (Joined.empty() ? "" : ", ") + Name;
  return Joined;
}

bool isNameCharacter(char C) {
  return (C >= 'a' && C <= 'z') || (C >= '0' && C <= '9') || C == '-' ||
         C == '_' || C == '.';
}

std::string withUnit(double Value, std::string_view Unit) {
  std::string Shown = formatNumber(Value);
  if (!Unit.empty())
    Shown += " " + std::string(Unit);
  return Shown;
}

} // namespace

std::string pathTo(const std::string &Path, const std::string &Key) {
  return Path.empty() ? Key : Path + "." + Key;
}

JsonReader::JsonReader(std::string_view Text, std::string FileName)
    : Place(Text, std::move(FileName)) {}

void JsonReader::fail(ErrorKind Kind, const JsonNode &Node,
                      const std::string &Message, std::string Remedy) {
  if (!Failure)
    Failure = Error{Kind, place(Node) + ": " + Message, std::move(Remedy)};
}

std::string JsonReader::place(const JsonNode &Node) {
  return Place.at(Node.Offset);
}

bool JsonReader::isType(const JsonNode &Node, const std::string &Path,
                        JsonNode::Kind Type, const std::string &TypeName) {
  if (Node.Type == Type)
    return true;
  const std::string Name = Path.empty() ? "the file" : Path;
  fail(ErrorKind::BadRequest, Node,
       Name + " must be " + TypeName + ", but is " +
           std::string(typeName(Node.Type)),
       "give " + Name + " as " + TypeName);
  return false;
}

bool JsonReader::isObject(const JsonNode &Node, const std::string &Path,
                          const std::vector<std::string> &Known) {
  if (!isType(Node, Path, JsonNode::Kind::Object, "an object"))
    return false;
  const auto Unknown =
      std::ranges::find_if(Node.Items, [&Known](const JsonNode &Member) {
        return std::ranges::find(Known, Member.Key) == Known.end();
      });
  if (Unknown == Node.Items.end())
    return true;
  const std::string Key = shown(Unknown->Key);
  const auto Nearest = nearestName(Key, Known);
  fail(ErrorKind::UnknownSetting, *Unknown,
       "unknown setting \"" + pathTo(Path, Key) + "\"",
       Nearest ? "did you mean \"" + *Nearest + "\"?"
               : "remove it; known here are " + join(Known));
  return false;
}

const JsonNode *JsonReader::require(const JsonNode &Object,
                                    const std::string &Path,
                                    const std::string &Key) {
  const JsonNode *Found = Object.find(Key);
  const std::string Name = pathTo(Path, Key);
  if (Found == nullptr)
    fail(ErrorKind::MissingKey, Object,
         "required setting \"" + Name + "\" is missing",
         "add \"" + Key + "\"" + (Path.empty() ? "" : " to " + Path));
  return Found;
}

bool JsonReader::readFlag(const JsonNode &Node, const std::string &Path) {
  return isType(Node, Path, JsonNode::Kind::Boolean, "true or false") &&
         Node.Flag;
}

std::string JsonReader::readText(const JsonNode &Node,
                                 const std::string &Path) {
  if (!isType(Node, Path, JsonNode::Kind::Text, "a text"))
    return {};
  if (Node.Text.empty() || Node.Text.size() > MaxTextBytes ||
      Node.Text.find('\0') != std::string::npos) {
    fail(ErrorKind::OutOfRange, Node,
         Path + " must have 1 to " + std::to_string(MaxTextBytes) +
             " bytes and no zero byte",
         "change " + Path);
    return {};
  }
  return Node.Text;
}

bool JsonReader::isName(const JsonNode &Node, const std::string &Name,
                        const std::string &Path) {
  if (!Name.empty() && Name.size() <= MaxNameBytes &&
      std::ranges::all_of(Name, isNameCharacter))
    return true;
  fail(ErrorKind::OutOfRange, Node,
       "\"" + shown(Name) + "\" is not a valid name for " + Path,
       "use 1 to " + std::to_string(MaxNameBytes) +
           " lower-case letters, digits, '-', '_' or '.'");
  return false;
}

std::string JsonReader::readName(const JsonNode &Node,
                                 const std::string &Path) {
  if (!isType(Node, Path, JsonNode::Kind::Text, "a text") ||
      !isName(Node, Node.Text, Path))
    return {};
  return Node.Text;
}

double JsonReader::readNumber(const JsonNode &Node, const std::string &Path,
                              const NumberRange &Range) {
  if (!isType(Node, Path, JsonNode::Kind::Number, "a number"))
    return Range.Low;
  if (Node.Number >= Range.Low && Node.Number <= Range.High)
    return Node.Number;
  const std::string Allowed =
      formatNumber(Range.Low) + " to " + withUnit(Range.High, Range.Unit);
  fail(ErrorKind::OutOfRange, Node,
       Path + " is " + withUnit(Node.Number, Range.Unit) + ", allowed are " +
           Allowed,
       "choose a value from " + Allowed);
  return Range.Low;
}

uint64_t JsonReader::readInteger(const JsonNode &Node, const std::string &Path,
                                 const NumberRange &Range) {
  const double Value = readNumber(Node, Path, Range);
  if (std::floor(Value) != Value)
    fail(ErrorKind::BadRequest, Node, Path + " must be a whole number",
         "give " + Path + " without a fraction");
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
