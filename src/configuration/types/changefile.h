#ifndef SAPPHIREMOOR_CONFIGURATION_TYPES_CHANGEFILE_H
#define SAPPHIREMOOR_CONFIGURATION_TYPES_CHANGEFILE_H

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace sapphiremoor {

/// An operator's command that adds, replaces or removes one file.
struct ChangeFile {
  /// Chosen by the operator's client; a resend carries the same one. Unique
  /// for each operator.
  std::string RequestId;
  /// The revision that the operator has seen.
  uint64_t ExpectedRevision = 0;
  std::string Name;
  /// The new text; absent for a removal.
  std::optional<std::string> Text;
  std::string Operator;
  /// Milliseconds since 1970 at the VM that proposed the change; it only
  /// serves the history.
  int64_t ProposedMs = 0;

  auto operator<=>(const ChangeFile &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(RequestId, ExpectedRevision, Name, Text, Operator, ProposedMs);
  }
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CONFIGURATION_TYPES_CHANGEFILE_H
