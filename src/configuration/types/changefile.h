#ifndef SAPPHIREMOOR_CONFIGURATION_TYPES_CHANGEFILE_H
#define SAPPHIREMOOR_CONFIGURATION_TYPES_CHANGEFILE_H

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace sapphiremoor {

/// An operator's command that adds, replaces or removes one configuration file.
struct ChangeFile {
  /// Chosen by the operator's client, unique for each operator. A resend
  /// carries the same id.
  std::string RequestId;
  /// The revision that the change is based on. If another one is in force, the
  /// change is not accepted.
  uint64_t ExpectedRevision = 0;
  std::string Name;
  /// The new text of the file; absent for a removal.
  std::optional<std::string> Text;
  std::string Operator;
  /// Unix time in milliseconds on the VM that proposed the change. Only used in
  /// the history.
  int64_t ProposedMs = 0;

  auto operator<=>(const ChangeFile &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(RequestId, ExpectedRevision, Name, Text, Operator, ProposedMs);
  }
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CONFIGURATION_TYPES_CHANGEFILE_H
