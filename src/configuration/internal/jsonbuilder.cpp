#include "configuration/internal/jsonbuilder.h"

#include "configuration/internal/shown.h"
#include "configuration/internal/textplace.h"

#include <algorithm>
#include <istream>
#include <utility>

namespace sapphiremoor {

namespace {

/// Returns nlohmann's description without its prefix, which names another
/// position than ours.
std::string descriptionOf(const nlohmann::json::exception &Cause) {
  const std::string Whole = Cause.what();
  const std::size_t Column = Whole.find(", column ");
  const std::size_t Colon =
      Column == std::string::npos ? Whole.find("] ") : Whole.find(": ", Column);
  return Colon == std::string::npos ? Whole : Whole.substr(Colon + 2);
}

/// Returns a member whose key an earlier member of \p Object has, or null.
const JsonNode *findRepeatedMember(const JsonNode &Object) {
  std::vector<const JsonNode *> Sorted;
  Sorted.reserve(Object.Items.size());
  for (const JsonNode &Member : Object.Items)
    Sorted.push_back(&Member);
  const auto KeyOf = [](const JsonNode *Member) -> const std::string & {
    return Member->Key;
  };
  std::ranges::stable_sort(Sorted, {}, KeyOf);
  const auto Found = std::ranges::adjacent_find(Sorted, {}, KeyOf);
  return Found == Sorted.end() ? nullptr : *std::next(Found);
}

} // namespace

JsonBuilder::JsonBuilder(std::string_view Text, std::string FileName)
    : Text(Text), FileName(std::move(FileName)), Buffer(Text) {}

Result<JsonNode> JsonBuilder::build() {
  std::istream Stream(&Buffer);
  const bool IgnoreComments = true;
  try {
    nlohmann::json::sax_parse(Stream, this,
                              nlohmann::json::input_format_t::json, true,
                              IgnoreComments);
  } catch (const std::exception &Cause) {
    fail(ErrorKind::BadJson, Buffer.consumed(), Cause.what(),
         "correct the JSON at this place");
  }
  if (Failure)
    return *Failure;
  return std::move(Root);
}

bool JsonBuilder::null() {
  add(JsonNode::Kind::Null);
  return true;
}

bool JsonBuilder::boolean(bool Value) {
  add(JsonNode::Kind::Boolean).Flag = Value;
  return true;
}

bool JsonBuilder::number_integer(number_integer_t Value) {
  return addNumber(static_cast<double>(Value));
}

bool JsonBuilder::number_unsigned(number_unsigned_t Value) {
  return addNumber(static_cast<double>(Value));
}

bool JsonBuilder::number_float(number_float_t Value, const string_t &) {
  return addNumber(Value);
}

bool JsonBuilder::string(string_t &Value) {
  add(JsonNode::Kind::Text).Text = std::move(Value);
  return true;
}

bool JsonBuilder::binary(binary_t &) { return false; }

bool JsonBuilder::start_object(std::size_t) {
  return open(JsonNode::Kind::Object);
}

bool JsonBuilder::key(string_t &Value) {
  PendingOffset = nextToken();
  PendingKey = std::move(Value);
  PreviousEnd = Buffer.consumed();
  return true;
}

bool JsonBuilder::end_object() {
  if (const JsonNode *Repeated = findRepeatedMember(*Open.back()))
    return fail(ErrorKind::Contradiction, Repeated->Offset,
                "\"" + shown(Repeated->Key) + "\" is given twice",
                "remove one of the two");
  return close();
}

bool JsonBuilder::start_array(std::size_t) {
  return open(JsonNode::Kind::List);
}

bool JsonBuilder::end_array() { return close(); }

bool JsonBuilder::parse_error(std::size_t Position, const std::string &,
                              const nlohmann::json::exception &Cause) {
  // Position counts the characters read, of which the last one may be the end
  // of the text. The fault lies in the last token.
  const std::size_t Last = Position == 0 ? 0 : Position - 1;
  return fail(ErrorKind::BadJson, std::min(nextToken(), Last),
              shown(descriptionOf(Cause)), "correct the JSON at this place");
}

JsonNode &JsonBuilder::add(JsonNode::Kind Type) {
  JsonNode Node;
  Node.Type = Type;
  Node.Offset = nextToken();
  const bool IsMember =
      !Open.empty() && Open.back()->Type == JsonNode::Kind::Object;
  if (IsMember) {
    Node.Offset = PendingOffset;
    Node.Key = std::move(PendingKey);
  }
  PreviousEnd = Buffer.consumed();
  if (Open.empty()) {
    Root = std::move(Node);
    return Root;
  }
  Open.back()->Items.push_back(std::move(Node));
  return Open.back()->Items.back();
}

bool JsonBuilder::addNumber(double Value) {
  add(JsonNode::Kind::Number).Number = Value;
  // The end of a number is found by reading the character behind it.
  if (!Open.empty())
    --PreviousEnd;
  return true;
}

bool JsonBuilder::open(JsonNode::Kind Type) {
  if (Open.size() == MaxJsonDepth)
    return fail(ErrorKind::BadJson, nextToken(),
                "nested more than " + std::to_string(MaxJsonDepth) +
                    " levels deep",
                "remove the inner levels");
  JsonNode &Node = add(Type);
  Open.push_back(&Node);
  return true;
}

bool JsonBuilder::close() {
  Open.pop_back();
  PreviousEnd = Buffer.consumed();
  return true;
}

bool JsonBuilder::fail(ErrorKind Kind, std::size_t Offset,
                       const std::string &Message, std::string Remedy) {
  if (!Failure)
    Failure = Error{Kind, TextPlace(Text, FileName).at(Offset) + ": " + Message,
                    std::move(Remedy)};
  return false;
}

std::size_t JsonBuilder::nextToken() const {
  std::size_t At = PreviousEnd;
  while (At < Text.size()) {
    const std::size_t AfterComment = skipComment(At);
    const bool IsSeparator =
        std::string_view(" \t\r\n,:").find(Text[At]) != std::string_view::npos;
    if (AfterComment != At)
      At = AfterComment;
    else if (IsSeparator)
      ++At;
    else
      break;
  }
  return At;
}

std::size_t JsonBuilder::skipComment(std::size_t Offset) const {
  const std::string_view Rest = Text.substr(Offset);
  const bool IsLine = Rest.starts_with("//");
  if (!IsLine && !Rest.starts_with("/*"))
    return Offset;
  const std::size_t End = IsLine ? Rest.find('\n', 2) : Rest.find("*/", 2);
  if (End == std::string_view::npos)
    return IsLine ? Text.size() : Offset;
  return Offset + End + (IsLine ? 1 : 2);
}

} // namespace sapphiremoor
