#ifndef SAPPHIREMOOR_TESTS_RELAY_MODE_H
#define SAPPHIREMOOR_TESTS_RELAY_MODE_H

#include <chrono>
#include <compare>
#include <optional>
#include <string>

namespace sapphiremoor::relay {

/// What the relay does with its connections. Upstream is the direction from the
/// client to the server behind the relay.
struct Mode {
  /// Closes open connections, and new ones as soon as they are accepted.
  bool Cut = false;
  /// Forwards nothing until the mode changes; no data is lost.
  bool Hold = false;
  /// Discards all data from the client.
  bool DropUpstream = false;
  /// Discards all data from the server.
  bool DropDownstream = false;
  /// Delays all data by this time.
  std::chrono::milliseconds Delay{0};
  /// Applies the other fields only to connections that are open when the mode
  /// is set; new connections are relayed normally.
  bool ExistingOnly = false;

  auto operator<=>(const Mode &) const = default;
};

/// Parses a command: "pass", "cut", "hold", "freeze" (drops all data of the
/// open connections permanently, while new ones work), "swallow up|down|both"
/// or "delay MS". Returns nullopt for any other text.
std::optional<Mode> parseMode(const std::string &Command);

} // namespace sapphiremoor::relay

#endif // SAPPHIREMOOR_TESTS_RELAY_MODE_H
