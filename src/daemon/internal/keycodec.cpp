#include "daemon/keycodec.h"

#include "claims/keytext.h"

#include <charconv>
#include <optional>

namespace sapphiremoor {

namespace {

/// Returns the number if \p Text has its one plain decimal form.
std::optional<uint64_t> plainNumber(std::string_view Text) {
  uint64_t Number = 0;
  const char *End = Text.data() + Text.size();
  const auto [Stop, Failure] = std::from_chars(Text.data(), End, Number);
  if (Failure != std::errc() || Stop != End || std::to_string(Number) != Text)
    return std::nullopt;
  return Number;
}

} // namespace

KeyCodec::KeyCodec(std::string ClusterKey)
    : ClusterKey(std::move(ClusterKey)) {}

Result<JobKey> KeyCodec::parse(const std::string &Text) {
  const std::size_t Dot = Text.rfind('.');
  if (Dot != std::string::npos) {
    const auto Known = Prefixes.find(std::string_view(Text).substr(0, Dot));
    const auto Number = plainNumber(std::string_view(Text).substr(Dot + 1));
    if (Known != Prefixes.end() && Number)
      return JobKey{Known->second, *Number};
  }
  Result<JobKey> Parsed = parseKey(Text, ClusterKey);
  if (!isError(Parsed))
    remember(valueOf(Parsed).Prefix, Text.substr(0, Dot));
  return Parsed;
}

std::string KeyCodec::format(const JobKey &Key) {
  return format(Key.Prefix) + "." + std::to_string(Key.Number);
}

const std::string &KeyCodec::format(const Prefix &Issued) {
  const auto Known = Texts.find(Issued);
  if (Known != Texts.end())
    return Known->second;
  remember(Issued, formatPrefix(Issued, ClusterKey));
  return Texts.at(Issued);
}

void KeyCodec::remember(const Prefix &Known, const std::string &Text) {
  if (Prefixes.size() >= MaxPrefixes) {
    Prefixes.clear();
    Texts.clear();
  }
  Prefixes.emplace(Text, Known);
  Texts.emplace(Known, Text);
}

} // namespace sapphiremoor
