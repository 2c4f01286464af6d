#ifndef SAPPHIREMOOR_CONFIGURATION_TYPES_CHANGERESULT_H
#define SAPPHIREMOOR_CONFIGURATION_TYPES_CHANGERESULT_H

#include "framework/core/error.h"

#include <compare>
#include <cstdint>
#include <string>

namespace sapphiremoor {

/// What became of a change.
enum class ChangeOutcome : uint8_t { Accepted, Conflict, Rejected };

/// The result of applying a change.
struct ChangeResult {
  ChangeOutcome Outcome = ChangeOutcome::Rejected;
  /// Accepted: the new revision. Conflict: the revision of the change that won.
  uint64_t Revision = 0;
  /// Conflict: the operator of the change that won.
  std::string Operator;
  /// The revision in force after the change was handled; after a conflict the
  /// operator's next attempt must expect this one.
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
