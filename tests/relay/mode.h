#ifndef SAPPHIREMOOR_TESTS_RELAY_MODE_H
#define SAPPHIREMOOR_TESTS_RELAY_MODE_H

#include <chrono>
#include <compare>
#include <optional>
#include <string>

namespace sapphiremoor::relay {

/// What the relay does with its connections. "Up" is from the client to the
/// server behind the relay.
struct Mode {
  bool Cut = false;  ///< open connections are closed, new ones at once
  bool Hold = false; ///< nothing passes until the mode ends; nothing is lost
  bool DropUpstream = false;
  bool DropDownstream = false;
  std::chrono::milliseconds Delay{0};
  /// The other fields hold for connections that are open now; new ones pass.
  bool ExistingOnly = false;

  auto operator<=>(const Mode &) const = default;
};

/// Parses a command: "pass", "cut", "hold", "freeze" (open connections go
/// silent for good while new ones work), "swallow up|down|both", "delay MS".
/// Nothing if the text is none of these.
std::optional<Mode> parseMode(const std::string &Command);

} // namespace sapphiremoor::relay

#endif // SAPPHIREMOOR_TESTS_RELAY_MODE_H
