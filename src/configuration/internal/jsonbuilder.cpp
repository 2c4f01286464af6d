#include "configuration/internal/jsonbuilder.h"

#include "configuration/internal/printable.h"
#include "configuration/internal/textlocator.h"

#include <algorithm>
#include <istream>
#include <utility>

namespace sapphiremoor {

namespace {

/// Returns the parser's message without its prefix, which contains a position
/// that differs from ours.
std::string parserMessage(const nlohmann::json::exception &Cause) {
  const std::string FullMessage = Cause.what();
  const std::size_t Column = FullMessage.find(", column ");
  const std::size_t Colon = Column == std::string::npos
                                ? FullMessage.find("] ")
                                : FullMessage.find(": ", Column);
  return Colon == std::string::npos ? FullMessage
                                    : FullMessage.substr(Colon + 2);
}

/// Returns a member of \p Object with the same key as an earlier member, or
/// null.
const JsonNode *findRepeatedMember(const JsonNode &Object) {
  std::vector<const JsonNode *> SortedMembers;
  SortedMembers.reserve(Object.Items.size());
  for (const JsonNode &Member : Object.Items)
    SortedMembers.push_back(&Member);
  const auto MemberKey = [](const JsonNode *Member) -> const std::string & {
    return Member->Key;
  };
  std::ranges::stable_sort(SortedMembers, {}, MemberKey);
  const auto It = std::ranges::adjacent_find(SortedMembers, {}, MemberKey);
  return It == SortedMembers.end() ? nullptr : *std::next(It);
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
    fail(ErrorKind::BadJson, Buffer.consumedBytes(), Cause.what(),
         "correct the JSON at this location");
  }
  if (Failure)
    return *Failure;
  return std::move(Root);
}

bool JsonBuilder::null() {
  addNode(JsonNode::Kind::Null);
  return true;
}

bool JsonBuilder::boolean(bool Value) {
  addNode(JsonNode::Kind::Boolean).Boolean = Value;
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
  addNode(JsonNode::Kind::String).String = std::move(Value);
  return true;
}

bool JsonBuilder::binary(binary_t &) { return false; }

bool JsonBuilder::start_object(std::size_t) {
  return openContainer(JsonNode::Kind::Object);
}

bool JsonBuilder::key(string_t &Value) {
  PendingOffset = nextTokenOffset();
  PendingKey = std::move(Value);
  PreviousTokenEnd = Buffer.consumedBytes();
  return true;
}

bool JsonBuilder::end_object() {
  if (const JsonNode *Repeated = findRepeatedMember(*OpenContainers.back()))
    return fail(ErrorKind::Contradiction, Repeated->Offset,
                "\"" + toPrintable(Repeated->Key) + "\" is given twice",
                "remove one of the two");
  return closeContainer();
}

bool JsonBuilder::start_array(std::size_t) {
  return openContainer(JsonNode::Kind::List);
}

bool JsonBuilder::end_array() { return closeContainer(); }

bool JsonBuilder::parse_error(std::size_t Position, const std::string &,
                              const nlohmann::json::exception &Cause) {
  // Position is the number of characters read. The last one may be the end of
  // the text. The error is in the last token.
  const std::size_t LastOffset = Position == 0 ? 0 : Position - 1;
  return fail(ErrorKind::BadJson, std::min(nextTokenOffset(), LastOffset),
              toPrintable(parserMessage(Cause)),
              "correct the JSON at this location");
}

JsonNode &JsonBuilder::addNode(JsonNode::Kind Type) {
  JsonNode Node;
  Node.Type = Type;
  Node.Offset = nextTokenOffset();
  const bool IsMember = !OpenContainers.empty() &&
                        OpenContainers.back()->Type == JsonNode::Kind::Object;
  if (IsMember) {
    Node.Offset = PendingOffset;
    Node.Key = std::move(PendingKey);
  }
  PreviousTokenEnd = Buffer.consumedBytes();
  if (OpenContainers.empty()) {
    Root = std::move(Node);
    return Root;
  }
  OpenContainers.back()->Items.push_back(std::move(Node));
  return OpenContainers.back()->Items.back();
}

bool JsonBuilder::addNumber(double Value) {
  addNode(JsonNode::Kind::Number).Number = Value;
  // The parser finds the end of a number by reading the next character.
  if (!OpenContainers.empty())
    --PreviousTokenEnd;
  return true;
}

bool JsonBuilder::openContainer(JsonNode::Kind Type) {
  if (OpenContainers.size() == MaxJsonDepth)
    return fail(ErrorKind::BadJson, nextTokenOffset(),
                "nested more than " + std::to_string(MaxJsonDepth) +
                    " levels deep",
                "remove the inner levels");
  JsonNode &Node = addNode(Type);
  OpenContainers.push_back(&Node);
  return true;
}

bool JsonBuilder::closeContainer() {
  OpenContainers.pop_back();
  PreviousTokenEnd = Buffer.consumedBytes();
  return true;
}

bool JsonBuilder::fail(ErrorKind Kind, std::size_t Offset,
                       const std::string &Message, std::string Remedy) {
  if (!Failure)
    Failure =
        Error{Kind, TextLocator(Text, FileName).locate(Offset) + ": " + Message,
              std::move(Remedy)};
  return false;
}

std::size_t JsonBuilder::nextTokenOffset() const {
  std::size_t Offset = PreviousTokenEnd;
  while (Offset < Text.size()) {
    const std::size_t AfterComment = skipComment(Offset);
    const bool IsSeparator = std::string_view(" \t\r\n,:").find(Text[Offset]) !=
                             std::string_view::npos;
    if (AfterComment != Offset)
      Offset = AfterComment;
    else if (IsSeparator)
      ++Offset;
    else
      break;
  }
  return Offset;
}

std::size_t JsonBuilder::skipComment(std::size_t Offset) const {
  const std::string_view Remaining = Text.substr(Offset);
  const bool IsLineComment = Remaining.starts_with("//");
  if (!IsLineComment && !Remaining.starts_with("/*"))
    return Offset;
  const std::size_t End =
      IsLineComment ? Remaining.find('\n', 2) : Remaining.find("*/", 2);
  if (End == std::string_view::npos)
    return IsLineComment ? Text.size() : Offset;
  return Offset + End + (IsLineComment ? 1 : 2);
}

} // namespace sapphiremoor
