#ifndef SAPPHIREMOOR_VERSIONREGISTER_TYPES_ACCEPTORSTATE_H
#define SAPPHIREMOOR_VERSIONREGISTER_TYPES_ACCEPTORSTATE_H

#include "versionregister/types/ballot.h"
#include "versionregister/types/registervalue.h"

namespace sapphiremoor {

/// Durable state of a voter, the acceptor of the Paxos protocol.
struct AcceptorState {
  Ballot Promised;
  Ballot Accepted;
  RegisterValue Value;
  /// The highest ballot known to be chosen. It is at most Accepted.
  Ballot Chosen;
  /// The newest voters known to be chosen. The voters in Value may be newer and
  /// not decided. Empty in a state that an earlier release stored.
  VoterSet ChosenVoters = {};

  auto operator<=>(const AcceptorState &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Promised, Accepted, Value, Chosen, ChosenVoters);
  }
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_VERSIONREGISTER_TYPES_ACCEPTORSTATE_H
