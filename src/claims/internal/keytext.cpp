#include "claims/keytext.h"

#include "framework/codec/crypto.h"

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <optional>

namespace sapphiremoor {

namespace {

/// Size of the message authentication code: 128 bits cannot be guessed and keep
/// the text short.
constexpr std::size_t MacBytes = 16;
constexpr std::size_t MaxMembers = 3;
constexpr std::string_view MacDomain = "sapphiremoor prefix 1\n";

Error badKeyError(std::string Message) {
  return {ErrorKind::BadKey, std::move(Message),
          "obtain a prefix with POST /v1/prefixes and append a dot and a "
          "decimal number of your own"};
}

void appendNumber(std::string &Bytes, uint64_t Number, std::size_t Size) {
  for (std::size_t I = 0; I < Size; ++I)
    Bytes += static_cast<char>((Number >> (8 * I)) & 0xff);
}

void appendText(std::string &Bytes, std::string_view Text) {
  const std::string_view Truncated = Text.substr(0, 255);
  appendNumber(Bytes, Truncated.size(), 1);
  Bytes += Truncated;
}

/// Reads the fields of a prefix from its bytes.
class FieldReader {
public:
  explicit FieldReader(std::string_view Bytes) : Remaining(Bytes) {}

  uint64_t readNumber(std::size_t Size) {
    if (Remaining.size() < Size) {
      Truncated = true;
      return 0;
    }
    uint64_t Value = 0;
    for (std::size_t I = 0; I < Size; ++I)
      Value |= uint64_t{static_cast<uint8_t>(Remaining[I])} << (8 * I);
    Remaining.remove_prefix(Size);
    return Value;
  }
  std::string readText() {
    const std::size_t Size = readNumber(1);
    if (Remaining.size() < Size) {
      Truncated = true;
      return {};
    }
    std::string Value(Remaining.substr(0, Size));
    Remaining.remove_prefix(Size);
    return Value;
  }
  bool isComplete() const { return !Truncated && Remaining.empty(); }

private:
  std::string_view Remaining;
  bool Truncated = false;
};

std::size_t byteLength(uint64_t Number) {
  std::size_t Size = 1;
  while (Size < 8 && (Number >> (8 * Size)) != 0)
    ++Size;
  return Size;
}

std::string encodeFields(const Prefix &KeyPrefix) {
  std::string Bytes;
  appendText(Bytes, KeyPrefix.Team);
  appendText(Bytes, KeyPrefix.DataCentre);
  const std::size_t Size = byteLength(KeyPrefix.Sequence);
  appendNumber(Bytes, Size, 1);
  appendNumber(Bytes, KeyPrefix.Sequence, Size);
  appendNumber(Bytes, KeyPrefix.Members.size(), 1);
  for (const VmId &Member : KeyPrefix.Members) {
    appendText(Bytes, Member.Name);
    appendNumber(Bytes, Member.Incarnation, 8);
  }
  return Bytes;
}

std::optional<Prefix> decodeFields(std::string_view Bytes) {
  FieldReader Reader(Bytes);
  Prefix ParsedPrefix;
  ParsedPrefix.Team = Reader.readText();
  ParsedPrefix.DataCentre = Reader.readText();
  const std::size_t Size = Reader.readNumber(1);
  if (Size > 8)
    return std::nullopt;
  ParsedPrefix.Sequence = Reader.readNumber(Size);
  const std::size_t Count = Reader.readNumber(1);
  if (Count == 0 || Count > MaxMembers)
    return std::nullopt;
  for (std::size_t I = 0; I < Count; ++I) {
    VmId Member;
    Member.Name = Reader.readText();
    Member.Incarnation = Reader.readNumber(8);
    ParsedPrefix.Members.push_back(std::move(Member));
  }
  if (!Reader.isComplete())
    return std::nullopt;
  ParsedPrefix.Issuer = ParsedPrefix.Members.front();
  return ParsedPrefix;
}

std::string computeMac(std::string_view Fields,
                       std::string_view ClusterSecret) {
  const Digest Mac =
      hmacSha256(ClusterSecret, std::string(MacDomain).append(Fields));
  return std::string(digestBytes(Mac).substr(0, MacBytes));
}

std::optional<uint64_t> parseNumber(std::string_view Text) {
  uint64_t Number = 0;
  const char *End = Text.data() + Text.size();
  const auto [ParseEnd, ErrorCode] = std::from_chars(Text.data(), End, Number);
  if (ErrorCode != std::errc() || ParseEnd != End ||
      Text != std::to_string(Number))
    return std::nullopt;
  return Number;
}

} // namespace

BodyDigest bodyDigest(std::string_view Body) {
  const Digest FullDigest = sha256(Body);
  BodyDigest HalfDigest{};
  std::copy_n(FullDigest.begin(), HalfDigest.size(), HalfDigest.begin());
  return HalfDigest;
}

std::string formatPrefix(const Prefix &KeyPrefix,
                         std::string_view ClusterSecret) {
  std::string Bytes = encodeFields(KeyPrefix);
  Bytes += computeMac(Bytes, ClusterSecret);
  return base64UrlEncode(Bytes);
}

std::string formatKey(const JobKey &Key, std::string_view ClusterSecret) {
  return formatPrefix(Key.Prefix, ClusterSecret) + "." +
         std::to_string(Key.Number);
}

Result<Prefix> parsePrefix(std::string_view Text,
                           std::string_view ClusterSecret) {
  if (Text.empty())
    return Error{ErrorKind::MissingKey, "the request has no key",
                 "obtain a prefix with POST /v1/prefixes and send its text, a "
                 "dot and a number as the key"};
  const Result<std::string> Bytes = base64UrlDecode(Text);
  if (isError(Bytes) || valueOf(Bytes).size() <= MacBytes)
    return badKeyError("the prefix of the key was not issued by this cluster");
  const std::string_view Decoded = valueOf(Bytes);
  const std::string_view Fields = Decoded.substr(0, Decoded.size() - MacBytes);
  if (!equalConstantTime(computeMac(Fields, ClusterSecret),
                         Decoded.substr(Fields.size())))
    return badKeyError("the prefix of the key was not issued by this cluster");
  const std::optional<Prefix> ParsedPrefix = decodeFields(Fields);
  // base64UrlDecode() accepts only one text for each string of bytes; the
  // comparison accepts only one string of bytes for each prefix.
  if (!ParsedPrefix || encodeFields(*ParsedPrefix) != Fields)
    return badKeyError("the prefix of the key has an unsupported format");
  return *ParsedPrefix;
}

Result<JobKey> parseKey(std::string_view Text, std::string_view ClusterSecret) {
  const std::size_t Dot = Text.find('.');
  Result<Prefix> ParsedPrefix = parsePrefix(Text.substr(0, Dot), ClusterSecret);
  if (isError(ParsedPrefix))
    return errorOf(ParsedPrefix);
  if (Dot == std::string_view::npos)
    return badKeyError("the key has a prefix but no number");
  const std::optional<uint64_t> Number = parseNumber(Text.substr(Dot + 1));
  if (!Number)
    return badKeyError("the number of the key is not a plain decimal number");
  return JobKey{takeValue(std::move(ParsedPrefix)), *Number};
}

} // namespace sapphiremoor
