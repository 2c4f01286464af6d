#include "mode.h"

#include <charconv>
#include <string_view>

namespace sapphiremoor::relay {

namespace {

constexpr std::string_view DelayPrefix = "delay ";

std::optional<Mode> parseDelay(std::string_view DelayText) {
  unsigned DelayMs = 0;
  const char *End = DelayText.data() + DelayText.size();
  const auto Conversion = std::from_chars(DelayText.data(), End, DelayMs);
  if (Conversion.ec != std::errc() || Conversion.ptr != End)
    return std::nullopt;
  Mode Parsed;
  Parsed.Delay = std::chrono::milliseconds(DelayMs);
  return Parsed;
}

} // namespace

std::optional<Mode> parseMode(const std::string &Command) {
  if (Command.starts_with(DelayPrefix))
    return parseDelay(std::string_view(Command).substr(DelayPrefix.size()));
  Mode Parsed;
  Parsed.Cut = Command == "cut";
  Parsed.Hold = Command == "hold";
  Parsed.ExistingOnly = Command == "freeze";
  const bool DropBoth = Command == "swallow both" || Parsed.ExistingOnly;
  Parsed.DropUpstream = DropBoth || Command == "swallow up";
  Parsed.DropDownstream = DropBoth || Command == "swallow down";
  if (Parsed == Mode() && Command != "pass")
    return std::nullopt;
  return Parsed;
}

} // namespace sapphiremoor::relay
