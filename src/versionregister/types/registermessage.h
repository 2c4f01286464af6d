#ifndef SAPPHIREMOOR_VERSIONREGISTER_TYPES_REGISTERMESSAGE_H
#define SAPPHIREMOOR_VERSIONREGISTER_TYPES_REGISTERMESSAGE_H

#include "versionregister/types/ballot.h"
#include "versionregister/types/registervalue.h"

#include <optional>
#include <variant>

namespace sapphiremoor {

/// First phase of a round: asks a voter for a promise.
struct PrepareRequest {
  Ballot RoundBallot;
  /// Ballot of the value that the proposer already has. The reply omits the
  /// value if the voter last accepted this ballot.
  Ballot KnownBallot;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(RoundBallot, KnownBallot);
  }
};

/// Reply to PrepareRequest, sent once the promise is durable.
struct PrepareReply {
  Ballot RoundBallot;
  /// Highest ballot that the voter has promised. It is above RoundBallot if the
  /// request was refused.
  Ballot Promised;
  Ballot Accepted;
  std::optional<RegisterValue> Value;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(RoundBallot, Promised, Accepted, Value);
  }
};

/// Second phase of a round: asks a voter to accept a value.
struct AcceptRequest {
  Ballot RoundBallot;
  RegisterValue Value;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(RoundBallot, Value);
  }
};

/// Reply to AcceptRequest, sent once the value is durable.
struct AcceptReply {
  Ballot RoundBallot;
  /// Equal to RoundBallot if the value was accepted.
  Ballot Promised;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(RoundBallot, Promised);
  }
};

/// Asks which ballot a voter accepted last. The voter makes no promise.
struct ReadRequest {
  uint64_t Number = 0;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Number); }
};

struct ReadReply {
  uint64_t Number = 0;
  Ballot Accepted;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Number, Accepted);
  }
};

/// Announces a value that a majority has accepted.
struct ChosenValue {
  Ballot ChosenBallot;
  RegisterValue Value;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(ChosenBallot, Value);
  }
};

/// Asks for the newest value that the receiver knows to be chosen.
struct ChosenRequest {
  template <typename Archive> void serialize(Archive &) {}
};

using RegisterMessage =
    std::variant<PrepareRequest, PrepareReply, AcceptRequest, AcceptReply,
                 ReadRequest, ReadReply, ChosenValue, ChosenRequest>;

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_VERSIONREGISTER_TYPES_REGISTERMESSAGE_H
