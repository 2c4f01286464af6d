#include "versionregister/internal/acceptor.h"

#include <algorithm>

namespace sapphiremoor::detail {

PrepareReply prepare(AcceptorState &State, const PrepareRequest &Request) {
  State.Promised = std::max(State.Promised, Request.RoundBallot);
  PrepareReply Reply{Request.RoundBallot, State.Promised, State.Accepted, {}};
  if (State.Accepted != Request.KnownBallot)
    Reply.Value = State.Value;
  return Reply;
}

AcceptReply accept(AcceptorState &State, const AcceptRequest &Request) {
  if (Request.RoundBallot >= State.Promised) {
    State.Promised = Request.RoundBallot;
    State.Accepted = Request.RoundBallot;
    State.Value = Request.Value;
  }
  return {Request.RoundBallot, State.Promised};
}

} // namespace sapphiremoor::detail
