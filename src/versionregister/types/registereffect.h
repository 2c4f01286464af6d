#ifndef SAPPHIREMOOR_VERSIONREGISTER_TYPES_REGISTEREFFECT_H
#define SAPPHIREMOOR_VERSIONREGISTER_TYPES_REGISTEREFFECT_H

#include "framework/core/time.h"
#include "framework/core/types/peerprocess.h"
#include "versionregister/types/acceptorstate.h"
#include "versionregister/types/registermessage.h"

#include <cstdint>
#include <string>
#include <variant>

namespace sapphiremoor {

/// Sends a request to the VM at the address Receiver, whichever process it has.
struct SendToVoter {
  std::string Receiver;
  RegisterMessage Message;
};

/// Sends a reply to the process that asked for it, and to no other process of
/// its VM: the numbers of its requests may be in use there again.
struct RegisterReply {
  PeerProcess Receiver;
  RegisterMessage Message;
};

/// Writes the state to the disk. Once it is durable, the caller passes the
/// number to RegisterNode::confirmStored().
struct StoreState {
  uint64_t Number = 0;
  AcceptorState State;
};

/// Result of an operation.
enum class OperationOutcome {
  /// The operation is decided, and its result is durable on a majority.
  Decided,
  /// No majority answered before the deadline. A put may or may not take
  /// effect.
  Unavailable,
};

/// Reports the result of an operation to the caller.
struct OperationEnded {
  uint64_t Operation = 0;
  OperationOutcome Outcome = OperationOutcome::Unavailable;
  /// The newest document when the operation ended. Set only if Decided.
  VersionedDocument Newest;
};

/// Reports that a newer value is known to be chosen.
struct ValueChosen {
  RegisterValue Value;
};

enum class RoundOutcome {
  Decided,
  /// No majority answered in time.
  TimedOut,
  /// A voter has promised a higher ballot to another proposer.
  Overtaken,
};

/// Reports the end of a round of this VM.
struct RoundEnded {
  RoundOutcome Outcome = RoundOutcome::Decided;
  Duration Elapsed{};
};

using RegisterEffect = std::variant<SendToVoter, RegisterReply, StoreState,
                                    OperationEnded, ValueChosen, RoundEnded>;

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_VERSIONREGISTER_TYPES_REGISTEREFFECT_H
