#include "versionregister/internal/acceptor.h"

#include <algorithm>

namespace sapphiremoor::detail {

PrepareReply prepare(AcceptorState &State, const PrepareRequest &Request) {
  State.Promised = std::max(State.Promised, Request.Of);
  PrepareReply Reply{Request.Of, State.Promised, State.Accepted, {}};
  if (State.Accepted != Request.Held)
    Reply.Value = State.Value;
  return Reply;
}

AcceptReply accept(AcceptorState &State, const AcceptRequest &Request) {
  if (Request.Of >= State.Promised) {
    State.Promised = Request.Of;
    State.Accepted = Request.Of;
    State.Value = Request.Value;
  }
  return {Request.Of, State.Promised};
}

} // namespace sapphiremoor::detail
