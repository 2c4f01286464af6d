#include "claims/keytext.h"

#include "framework/codec/crypto.h"

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <optional>

namespace sapphiremoor {

namespace {

/// 128 bits cannot be guessed and keep the text short.
constexpr std::size_t CodeSize = 16;
constexpr std::size_t MaxMembers = 3;
constexpr std::string_view Purpose = "sapphiremoor prefix 1\n";

Error badKey(std::string Message) {
  return {ErrorKind::BadKey, std::move(Message),
          "obtain a prefix with POST /v1/prefixes and append a dot and a "
          "decimal number of your own"};
}

void putNumber(std::string &Bytes, uint64_t Number, std::size_t Size) {
  for (std::size_t I = 0; I < Size; ++I)
    Bytes += static_cast<char>((Number >> (8 * I)) & 0xff);
}

void putText(std::string &Bytes, std::string_view Text) {
  const std::string_view Cut = Text.substr(0, 255);
  putNumber(Bytes, Cut.size(), 1);
  Bytes += Cut;
}

/// Takes the fields of a prefix from its bytes.
class FieldReader {
public:
  explicit FieldReader(std::string_view Bytes) : Rest(Bytes) {}

  uint64_t number(std::size_t Size) {
    if (Rest.size() < Size) {
      Short = true;
      return 0;
    }
    uint64_t Value = 0;
    for (std::size_t I = 0; I < Size; ++I)
      Value |= uint64_t{static_cast<uint8_t>(Rest[I])} << (8 * I);
    Rest.remove_prefix(Size);
    return Value;
  }
  std::string text() {
    const std::size_t Size = number(1);
    if (Rest.size() < Size) {
      Short = true;
      return {};
    }
    std::string Value(Rest.substr(0, Size));
    Rest.remove_prefix(Size);
    return Value;
  }
  bool complete() const { return !Short && Rest.empty(); }

private:
  std::string_view Rest;
  bool Short = false;
};

std::size_t byteLength(uint64_t Number) {
  std::size_t Size = 1;
  while (Size < 8 && (Number >> (8 * Size)) != 0)
    ++Size;
  return Size;
}

std::string prefixFields(const Prefix &Value) {
  std::string Bytes;
  putText(Bytes, Value.Team);
  putText(Bytes, Value.DataCentre);
  const std::size_t Size = byteLength(Value.Sequence);
  putNumber(Bytes, Size, 1);
  putNumber(Bytes, Value.Sequence, Size);
  putNumber(Bytes, Value.Members.size(), 1);
  for (const VmId &Member : Value.Members) {
    putText(Bytes, Member.Name);
    putNumber(Bytes, Member.Incarnation, 8);
  }
  return Bytes;
}

std::optional<Prefix> readFields(std::string_view Bytes) {
  FieldReader Reader(Bytes);
  Prefix Value;
  Value.Team = Reader.text();
  Value.DataCentre = Reader.text();
  const std::size_t Size = Reader.number(1);
  if (Size > 8)
    return std::nullopt;
  Value.Sequence = Reader.number(Size);
  const std::size_t Count = Reader.number(1);
  if (Count == 0 || Count > MaxMembers)
    return std::nullopt;
  for (std::size_t I = 0; I < Count; ++I) {
    VmId Member;
    Member.Name = Reader.text();
    Member.Incarnation = Reader.number(8);
    Value.Members.push_back(std::move(Member));
  }
  if (!Reader.complete())
    return std::nullopt;
  Value.Issuer = Value.Members.front();
  return Value;
}

std::string codeOf(std::string_view Fields, std::string_view ClusterSecret) {
  const Digest Code =
      hmacSha256(ClusterSecret, std::string(Purpose).append(Fields));
  return std::string(bytesOf(Code).substr(0, CodeSize));
}

std::optional<uint64_t> parseNumber(std::string_view Text) {
  uint64_t Number = 0;
  const char *End = Text.data() + Text.size();
  const auto [Stop, Code] = std::from_chars(Text.data(), End, Number);
  if (Code != std::errc() || Stop != End || Text != std::to_string(Number))
    return std::nullopt;
  return Number;
}

} // namespace

BodyDigest bodyDigest(std::string_view Body) {
  const Digest Full = sha256(Body);
  BodyDigest Half{};
  std::copy_n(Full.begin(), Half.size(), Half.begin());
  return Half;
}

std::string formatPrefix(const Prefix &Value, std::string_view ClusterSecret) {
  std::string Bytes = prefixFields(Value);
  Bytes += codeOf(Bytes, ClusterSecret);
  return base64UrlEncode(Bytes);
}

std::string formatKey(const JobKey &Value, std::string_view ClusterSecret) {
  return formatPrefix(Value.Prefix, ClusterSecret) + "." +
         std::to_string(Value.Number);
}

Result<Prefix> parsePrefix(std::string_view Text,
                           std::string_view ClusterSecret) {
  if (Text.empty())
    return Error{ErrorKind::MissingKey, "the request has no key",
                 "obtain a prefix with POST /v1/prefixes and send its text, a "
                 "dot and a number as the key"};
  const Result<std::string> Bytes = base64UrlDecode(Text);
  if (isError(Bytes) || valueOf(Bytes).size() <= CodeSize)
    return badKey("the key's prefix is not one that this cluster issued");
  const std::string_view All = valueOf(Bytes);
  const std::string_view Fields = All.substr(0, All.size() - CodeSize);
  if (!equalConstantTime(codeOf(Fields, ClusterSecret),
                         All.substr(Fields.size())))
    return badKey("the key's prefix is not one that this cluster issued");
  const std::optional<Prefix> Value = readFields(Fields);
  // base64UrlDecode() accepts one text for each string of bytes; the second
  // check accepts one string of bytes for each value.
  if (!Value || prefixFields(*Value) != Fields)
    return badKey("the key's prefix has another format");
  return *Value;
}

Result<JobKey> parseKey(std::string_view Text, std::string_view ClusterSecret) {
  const std::size_t Dot = Text.find('.');
  Result<Prefix> Value = parsePrefix(Text.substr(0, Dot), ClusterSecret);
  if (isError(Value))
    return errorOf(Value);
  if (Dot == std::string_view::npos)
    return badKey("the key has a prefix but no number");
  const std::optional<uint64_t> Number = parseNumber(Text.substr(Dot + 1));
  if (!Number)
    return badKey("the key's number is not a plain decimal number");
  return JobKey{takeValue(std::move(Value)), *Number};
}

} // namespace sapphiremoor
