#include "versionregister/storedstate.h"

#include "framework/codec/serial.h"

namespace sapphiremoor {

namespace {

/// Layout of AcceptorState before it had ChosenVoters.
struct FormerAcceptorState {
  Ballot Promised;
  Ballot Accepted;
  RegisterValue Value;
  Ballot Chosen;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Promised, Accepted, Value, Chosen);
  }
};

} // namespace

Result<AcceptorState> decodeStoredState(std::string_view Bytes) {
  Result<AcceptorState> State = decode<AcceptorState>(Bytes);
  if (!isError(State))
    return State;
  const Result<FormerAcceptorState> Former = decode<FormerAcceptorState>(Bytes);
  if (isError(Former))
    return State;
  const FormerAcceptorState &Content = valueOf(Former);
  return AcceptorState{Content.Promised, Content.Accepted, Content.Value,
                       Content.Chosen};
}

} // namespace sapphiremoor
