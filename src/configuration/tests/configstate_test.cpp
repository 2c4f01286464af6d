#include "configuration/configstate.h"
#include "configuration/servicefiles.h"
#include "framework/codec/crypto.h"
#include "framework/codec/frame.h"
#include "framework/codec/serial.h"

#include <doctest/doctest.h>

using namespace sapphiremoor;

namespace {

std::string makeDeclaration(const std::string &Service, int RunTimeMs = 200) {
  return R"({"services": {")" + Service +
         R"(": {"idempotent": true, "weight": "messages", "declared_ms": )" +
         std::to_string(RunTimeMs) + "}}}";
}

ChangeFile
makeChange(const std::string &Id, uint64_t ExpectedRevision,
           const std::string &Name,
           std::optional<std::string> Text = makeDeclaration("quote"),
           const std::string &Operator = "eva") {
  return {Id, ExpectedRevision, Name, std::move(Text), Operator, 0};
}

/// Returns a state with \p Count files, each of which declares a service.
ConfigState makeState(uint64_t Count) {
  ConfigState State;
  for (uint64_t I = 0; I < Count; ++I) {
    const std::string Number = std::to_string(I);
    const auto Result =
        applyChange(State, makeChange("r" + Number, I, "f" + Number + ".json",
                                      makeDeclaration("s" + Number)));
    REQUIRE(Result.Outcome == ChangeOutcome::Accepted);
  }
  return State;
}

} // namespace

TEST_CASE(
    "the first of two changes with the same expected revision is accepted") {
  ConfigState State = makeState(1);
  const auto FirstResult = applyChange(State, makeChange("a", 1, "a.json"));
  CHECK(FirstResult.Outcome == ChangeOutcome::Accepted);
  CHECK(FirstResult.Revision == 2);
  applyChange(State, makeChange("b", 2, "b.json"));
  const ConfigState StateBefore = State;
  const auto SecondResult = applyChange(
      State, makeChange("a", 1, "c.json", makeDeclaration("x"), "jan"));
  CHECK(SecondResult.Outcome == ChangeOutcome::Conflict);
  CHECK(SecondResult.Revision == 2);
  CHECK(SecondResult.Operator == "eva");
  CHECK(SecondResult.CurrentRevision == 3);
  CHECK(SecondResult.Reason.Kind == ErrorKind::Conflict);
  CHECK(State.Files == StateBefore.Files);
  CHECK(State.Revision == 3);
}

// If the answer to a change is lost, the operator resends it. The change must
// not count twice, and the resend must not conflict with the first one.
TEST_CASE("a resend gets the first result") {
  ConfigState State = makeState(1);
  const ChangeFile AcceptedChange = makeChange("a", 1, "a.json");
  const ChangeFile ConflictingChange = makeChange("b", 1, "b.json");
  const ChangeFile RejectedChange = makeChange("c", 2, "c.json", "{");
  const auto AcceptedResult = applyChange(State, AcceptedChange);
  const auto ConflictResult = applyChange(State, ConflictingChange);
  const auto RejectedResult = applyChange(State, RejectedChange);
  CHECK(RejectedResult.Outcome == ChangeOutcome::Rejected);
  CHECK(RejectedResult.Reason.Message.substr(0, 12) == "c.json:1:2: ");
  applyChange(State, makeChange("d", 2, "c.json", makeDeclaration("quote")));
  const ConfigState StateBefore = State;
  ChangeFile ResentChange = AcceptedChange;
  ResentChange.ProposedMs = 5;
  CHECK(applyChange(State, ResentChange) == AcceptedResult);
  CHECK(applyChange(State, ConflictingChange) == ConflictResult);
  CHECK(applyChange(State, RejectedChange) == RejectedResult);
  CHECK(State == StateBefore);

  ChangeFile ChangeWithReusedId = AcceptedChange;
  ChangeWithReusedId.Name = "z.json";
  CHECK(applyChange(State, ChangeWithReusedId).Reason.Kind ==
        ErrorKind::BadKey);
  CHECK(State == StateBefore);
}

TEST_CASE("a change that is invalid when merged is rejected") {
  ConfigState State = makeState(1);
  const auto CheckRejected = [&State](const ChangeFile &Change,
                                      ErrorKind Kind) {
    const ConfigState StateBefore = State;
    const auto Result = applyChange(State, Change);
    CHECK(Result.Outcome == ChangeOutcome::Rejected);
    CHECK(Result.Reason.Kind == Kind);
    CHECK(Result.CurrentRevision == 1);
    CHECK(State.Files == StateBefore.Files);
    CHECK(State.Revision == 1);
    CHECK(State.Cache.MergedConfig == StateBefore.Cache.MergedConfig);
  };
  CheckRejected(makeChange("a", 1, "g.json", makeDeclaration("s0", 300)),
                ErrorKind::Contradiction);
  CheckRejected(makeChange("b", 1, "f0.json", std::nullopt),
                ErrorKind::NoService);
  CheckRejected(makeChange("c", 1, "g.json", std::nullopt),
                ErrorKind::NotFound);
  CheckRejected(makeChange("d", 2, "g.json"), ErrorKind::BadRequest);
  CheckRejected(makeChange("e", 1, "../g.json"), ErrorKind::BadRequest);
  CheckRejected(makeChange("", 1, "g.json"), ErrorKind::BadRequest);
  CheckRejected(makeChange("two words", 1, "g.json"), ErrorKind::BadRequest);
}

TEST_CASE("a decoded state equals the encoded one and gives the same results") {
  ConfigState State = makeState(3);
  applyChange(State, makeChange("x", 3, "f1.json", std::nullopt));
  applyChange(State, makeChange("y", 2, "f2.json"));
  const auto Result = decodeState(encodeState(State));
  REQUIRE(!isError(Result));
  ConfigState DecodedState = valueOf(Result);
  CHECK(DecodedState == State);
  CHECK(DecodedState.Cache.MergedConfig == State.Cache.MergedConfig);
  const ChangeFile NextChange =
      makeChange("z", 4, "g.json", makeDeclaration("s0"));
  CHECK(applyChange(DecodedState, NextChange) ==
        applyChange(State, NextChange));
  CHECK(DecodedState == State);
  CHECK(valueOf(decodeState(encodeState(ConfigState{}))) == ConfigState{});
}

TEST_CASE("decoding damaged bytes fails") {
  const std::string Bytes = encodeState(makeState(2));
  for (std::size_t Length = 0; Length < Bytes.size(); ++Length)
    REQUIRE(isError(decodeState(Bytes.substr(0, Length))));
  for (std::size_t Offset = 0; Offset < Bytes.size(); ++Offset) {
    std::string DamagedBytes = Bytes;
    DamagedBytes[Offset] = static_cast<char>(DamagedBytes[Offset] ^ 1);
    const auto Result = decodeState(DamagedBytes);
    REQUIRE(isError(Result));
    REQUIRE(errorOf(Result).Kind == ErrorKind::CorruptData);
  }
  CHECK(isError(decodeState(Bytes + "x")));
}

// A forged snapshot may contain a huge element count. Its checksum may be
// valid, because computing it needs no secret.
TEST_CASE("a forged element count with a valid checksum allocates nothing") {
  const auto AddChecksum = [](const std::string &Payload) {
    return std::string(digestBytes(sha256(Payload))) + Payload;
  };
  const std::string Payload = encode(makeState(1));
  REQUIRE(!isError(decodeState(AddChecksum(Payload))));
  for (std::size_t Offset = 0; Offset < Payload.size(); ++Offset) {
    std::string ForgedPayload = Payload;
    ForgedPayload.replace(Offset, 8, 8, '\x7f');
    const auto Result = decodeState(AddChecksum(ForgedPayload));
    if (isError(Result))
      CHECK(errorOf(Result).Kind == ErrorKind::CorruptData);
  }
  std::string ForgedFirstCount = Payload;
  ForgedFirstCount.replace(1, 8, 8, '\x7f');
  CHECK(isError(decodeState(AddChecksum(ForgedFirstCount))));
  CHECK(isError(decodeState(AddChecksum(Payload + "x"))));
}

TEST_CASE("a VM that is behind applies an incremental or a full chunk") {
  const ConfigState OldState = makeState(3);
  ConfigState NewState = OldState;
  applyChange(NewState, makeChange("x", 3, "f1.json", std::nullopt));
  applyChange(NewState,
              makeChange("y", 4, "f2.json", makeDeclaration("other")));
  for (const uint64_t BaseRevision : {0U, 1U, 3U}) {
    ConfigState StaleState = BaseRevision == 0 ? ConfigState{} : OldState;
    const ConfigChunk Chunk = collectChanges(NewState, BaseRevision);
    CHECK(Chunk.IsFull == (BaseRevision == 0));
    CHECK(!isError(applyChunk(StaleState, Chunk)));
    StaleState.DecidedRequests = NewState.DecidedRequests;
    CHECK(StaleState == NewState);
    CHECK(StaleState.Cache.MergedConfig == NewState.Cache.MergedConfig);
  }
  CHECK(collectChanges(NewState, 3).Files.size() == 2);
  ConfigState TrimmedState = NewState;
  TrimmedState.OldestKnownRevision = 4;
  CHECK(collectChanges(TrimmedState, 3).IsFull);
  CHECK(!collectChanges(TrimmedState, 4).IsFull);
}

// An accepted configuration never reverts (promise 8).
TEST_CASE(
    "a chunk never lowers the revision, leaves a gap or breaks the merge") {
  const ConfigState OldState = makeState(2);
  ConfigState NewState = makeState(4);
  const ConfigState StateBefore = NewState;
  CHECK(!isError(applyChunk(NewState, collectChanges(OldState, 0))));
  CHECK(!isError(applyChunk(NewState, collectChanges(OldState, 1))));
  ConfigChunk EqualRevisionChunk = collectChanges(NewState, 0);
  EqualRevisionChunk.Files.clear();
  CHECK(!isError(applyChunk(NewState, EqualRevisionChunk)));
  CHECK(NewState == StateBefore);

  ConfigState EmptyState;
  CHECK(errorOf(applyChunk(EmptyState, collectChanges(NewState, 3))).Kind ==
        ErrorKind::Conflict);
  ConfigChunk InvalidChunk = collectChanges(NewState, 0);
  InvalidChunk.Files.front().Text = "{";
  CHECK(errorOf(applyChunk(EmptyState, InvalidChunk)).Kind ==
        ErrorKind::CorruptData);
  CHECK(EmptyState == ConfigState{});
}

// Without these limits a configuration could exceed the size of a frame, and an
// incremental chunk could undo a removal whose record was dropped.
TEST_CASE("records are bounded and the largest configuration fits a frame") {
  ConfigState State = makeState(1);
  const std::string IdPrefix(MaxIdBytes - 4, 'i');
  const auto FileName = [](std::size_t I) {
    return std::string(90, 'n') + std::to_string(10000 + I) + ".json";
  };
  const std::size_t TextBytes = MaxTotalBytes / MaxFiles - 100;
  for (std::size_t I = 0; I < MaxFiles - 1; ++I) {
    State.Files[FileName(I)] = std::string(TextBytes, ' ');
    State.LastChanges[FileName(I)] = {++State.Revision, IdPrefix + "1234",
                                      false};
  }
  for (std::size_t I = 0; I < MaxRemovedFiles + 2; ++I)
    State.LastChanges["r" + FileName(I)] = {++State.Revision, IdPrefix + "1234",
                                            true};
  for (std::size_t I = 0; I < MaxHistoryRecords; ++I)
    State.History.push_back({State.Revision, FileName(I), IdPrefix + "1234",
                             IdPrefix + "1234", false, TextBytes, 1});
  for (std::size_t I = 0; I < MaxDecidedRequests + 2; ++I)
    applyChange(State, makeChange(std::to_string(I), 0, "f0.json"));
  CHECK(State.DecidedRequests.size() == MaxDecidedRequests);
  CHECK(State.History.size() == MaxHistoryRecords);
  CHECK(State.LastChanges.size() == MaxFiles + MaxRemovedFiles);
  CHECK(State.OldestKnownRevision == MaxFiles + 2);
  CHECK(encode(collectChanges(State, 0)).size() < MaxFrameBytes);
}
