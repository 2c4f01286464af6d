#include "mode.h"

#include <charconv>
#include <string_view>

namespace sapphiremoor::relay {

namespace {

constexpr std::string_view DelayPrefix = "delay ";

std::optional<Mode> parseDelay(std::string_view Number) {
  unsigned Milliseconds = 0;
  const char *End = Number.data() + Number.size();
  const auto Read = std::from_chars(Number.data(), End, Milliseconds);
  if (Read.ec != std::errc() || Read.ptr != End)
    return std::nullopt;
  Mode Parsed;
  Parsed.Delay = std::chrono::milliseconds(Milliseconds);
  return Parsed;
}

} // namespace

std::optional<Mode> parseMode(const std::string &Command) {
  if (Command.starts_with(DelayPrefix))
    return parseDelay(std::string_view(Command).substr(DelayPrefix.size()));
  Mode Parsed;
  Parsed.Cut = Command == "cut";
  Parsed.Hold = Command == "hold";
  Parsed.OpenOnly = Command == "freeze";
  const bool Both = Command == "swallow both" || Parsed.OpenOnly;
  Parsed.SwallowUp = Both || Command == "swallow up";
  Parsed.SwallowDown = Both || Command == "swallow down";
  if (Parsed == Mode() && Command != "pass")
    return std::nullopt;
  return Parsed;
}

} // namespace sapphiremoor::relay
