#ifndef SAPPHIREMOOR_VERSIONREGISTER_TYPES_REGISTEREFFECT_H
#define SAPPHIREMOOR_VERSIONREGISTER_TYPES_REGISTEREFFECT_H

#include "versionregister/types/acceptorstate.h"
#include "versionregister/types/registermessage.h"

#include <cstdint>
#include <string>
#include <variant>

namespace sapphiremoor {

/// Sends a message to the VM at an address.
struct SendToVoter {
  std::string Receiver;
  RegisterMessage Message;
};

/// Writes the state to the disk; RegisterNode::stored() follows with the same
/// number.
struct StoreState {
  uint64_t Number = 0;
  AcceptorState State;
};

/// How an operation ended.
enum class OperationOutcome {
  /// The operation is decided and durable on a majority.
  Decided,
  /// No majority answered in time; a put may or may not take effect.
  Unavailable,
};

/// Ends the operation with this number.
struct OperationEnded {
  uint64_t Operation = 0;
  OperationOutcome Outcome = OperationOutcome::Unavailable;
  /// The newest document at that time; set if Decided.
  VersionedDocument Newest;
};

/// A newer value is known to be chosen.
struct ValueChosen {
  RegisterValue Value;
};

using RegisterEffect =
    std::variant<SendToVoter, StoreState, OperationEnded, ValueChosen>;

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_VERSIONREGISTER_TYPES_REGISTEREFFECT_H
