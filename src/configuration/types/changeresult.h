#ifndef SAPPHIREMOOR_CONFIGURATION_TYPES_CHANGERESULT_H
#define SAPPHIREMOOR_CONFIGURATION_TYPES_CHANGERESULT_H

#include "framework/core/error.h"

#include <compare>
#include <cstdint>
#include <string>

namespace sapphiremoor {

/// Accepted: the change is in force. Conflict: another change was accepted
/// first. Rejected: the change is invalid.
enum class ChangeOutcome : uint8_t { Accepted, Conflict, Rejected };

/// The result of applying a change.
struct ChangeResult {
  ChangeOutcome Outcome = ChangeOutcome::Rejected;
  /// Accepted: the new revision. Conflict: the revision of the change that was
  /// accepted first.
  uint64_t Revision = 0;
  /// Conflict: the operator of the change that was accepted first.
  std::string Operator;
  /// The revision in force after the change was handled. After a conflict, the
  /// operator's next attempt must expect this revision.
  uint64_t CurrentRevision = 0;
  /// Rejected or Conflict: the reason and the remedy.
  Error Reason;

  auto operator<=>(const ChangeResult &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Outcome, Revision, Operator, CurrentRevision, Reason.Kind,
       Reason.Message, Reason.Remedy);
  }
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CONFIGURATION_TYPES_CHANGERESULT_H
