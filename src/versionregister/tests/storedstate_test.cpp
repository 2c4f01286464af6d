#include "versionregister/storedstate.h"

#include "framework/codec/serial.h"

#include <doctest/doctest.h>

using namespace sapphiremoor;

namespace {

AcceptorState exampleState() {
  return {{7, "a"},
          {6, "b"},
          {{39, "body"}, {2, {"a", "b", "c"}}},
          {6, "b"},
          {1, {"a", "b", "d"}}};
}

} // namespace

// Guards against a voter that forgets its promises or its voters at a restart.
TEST_CASE("a stored state is read back whole") {
  const AcceptorState State = exampleState();
  const Result<AcceptorState> Read = decodeStoredState(encode(State));
  REQUIRE_FALSE(isError(Read));
  CHECK(valueOf(Read) == State);
}

// Guards against a control VM that does not start after an upgrade.
TEST_CASE("a state of an earlier release is read without chosen voters") {
  AcceptorState State = exampleState();
  std::string Bytes = encode(State.Promised) + encode(State.Accepted).substr(1);
  Bytes += encode(State.Value).substr(1) + encode(State.Chosen).substr(1);
  const Result<AcceptorState> Read = decodeStoredState(Bytes);
  REQUIRE_FALSE(isError(Read));
  State.ChosenVoters = {};
  CHECK(valueOf(Read) == State);
}

// Guards against a damaged state that is taken for an empty one.
TEST_CASE("a damaged state is refused") {
  const std::string Bytes = encode(exampleState());
  CHECK(isError(decodeStoredState(Bytes.substr(0, Bytes.size() - 3))));
  CHECK(isError(decodeStoredState("")));
}
