#ifndef SAPPHIREMOOR_VERSIONREGISTER_INTERNAL_ACCEPTOR_H
#define SAPPHIREMOOR_VERSIONREGISTER_INTERNAL_ACCEPTOR_H

#include "versionregister/types/acceptorstate.h"
#include "versionregister/types/registermessage.h"

namespace sapphiremoor::detail {

/// Handles a request of the first phase. The reply may be sent once \p State is
/// durable.
PrepareReply prepare(AcceptorState &State, const PrepareRequest &Request);

/// Handles a request of the second phase. The reply may be sent once \p State
/// is durable.
AcceptReply accept(AcceptorState &State, const AcceptRequest &Request);

} // namespace sapphiremoor::detail

#endif // SAPPHIREMOOR_VERSIONREGISTER_INTERNAL_ACCEPTOR_H
