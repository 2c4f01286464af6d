#include "daemon/keycodec.h"

#include "claims/keytext.h"

#include <charconv>
#include <optional>

namespace sapphiremoor {

namespace {

/// Parses \p Text if it is the canonical decimal form of a number.
std::optional<uint64_t> parseCanonicalNumber(std::string_view Text) {
  uint64_t Number = 0;
  const char *End = Text.data() + Text.size();
  const auto [ParseEnd, Failure] = std::from_chars(Text.data(), End, Number);
  if (Failure != std::errc() || ParseEnd != End ||
      std::to_string(Number) != Text)
    return std::nullopt;
  return Number;
}

} // namespace

KeyCodec::KeyCodec(std::string ClusterKey)
    : ClusterKey(std::move(ClusterKey)) {}

Result<JobKey> KeyCodec::parse(const std::string &Text) {
  const std::size_t Dot = Text.rfind('.');
  if (Dot != std::string::npos) {
    const auto PrefixIt = Prefixes.find(std::string_view(Text).substr(0, Dot));
    const auto Number =
        parseCanonicalNumber(std::string_view(Text).substr(Dot + 1));
    if (PrefixIt != Prefixes.end() && Number)
      return JobKey{PrefixIt->second, *Number};
  }
  Result<JobKey> Parsed = parseKey(Text, ClusterKey);
  if (!isError(Parsed))
    cachePrefix(valueOf(Parsed).Prefix, Text.substr(0, Dot));
  return Parsed;
}

std::string KeyCodec::format(const JobKey &Key) {
  return format(Key.Prefix) + "." + std::to_string(Key.Number);
}

const std::string &KeyCodec::format(const Prefix &IssuedPrefix) {
  const auto TextIt = Texts.find(IssuedPrefix);
  if (TextIt != Texts.end())
    return TextIt->second;
  cachePrefix(IssuedPrefix, formatPrefix(IssuedPrefix, ClusterKey));
  return Texts.at(IssuedPrefix);
}

void KeyCodec::cachePrefix(const Prefix &KeyPrefix, const std::string &Text) {
  if (Prefixes.size() >= MaxPrefixes) {
    Prefixes.clear();
    Texts.clear();
  }
  Prefixes.emplace(Text, KeyPrefix);
  Texts.emplace(KeyPrefix, Text);
}

} // namespace sapphiremoor
