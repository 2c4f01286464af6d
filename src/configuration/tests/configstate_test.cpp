#include "configuration/configstate.h"
#include "configuration/servicefiles.h"
#include "framework/codec/crypto.h"
#include "framework/codec/frame.h"
#include "framework/codec/serial.h"

#include <doctest/doctest.h>

using namespace sapphiremoor;

namespace {

std::string declaration(const std::string &Service, int RunTimeMs = 200) {
  return R"({"services": {")" + Service +
         R"(": {"idempotent": true, "weight": "messages", "declared_ms": )" +
         std::to_string(RunTimeMs) + "}}}";
}

ChangeFile change(const std::string &Id, uint64_t Expected,
                  const std::string &Name,
                  std::optional<std::string> Text = declaration("quote"),
                  const std::string &Operator = "eva") {
  return {Id, Expected, Name, std::move(Text), Operator, 0};
}

/// A state with \p Count files, each of which declares a service.
ConfigState stateWith(uint64_t Count) {
  ConfigState State;
  for (uint64_t I = 0; I < Count; ++I) {
    const std::string Number = std::to_string(I);
    const auto Result =
        applyChange(State, change("r" + Number, I, "f" + Number + ".json",
                                  declaration("s" + Number)));
    REQUIRE(Result.Outcome == ChangeOutcome::Accepted);
  }
  return State;
}

} // namespace

TEST_CASE("the first of two operators with equal revisions wins") {
  ConfigState State = stateWith(1);
  const auto Won = applyChange(State, change("a", 1, "a.json"));
  CHECK(Won.Outcome == ChangeOutcome::Accepted);
  CHECK(Won.Revision == 2);
  applyChange(State, change("b", 2, "b.json"));
  const ConfigState Before = State;
  const auto Lost =
      applyChange(State, change("a", 1, "c.json", declaration("x"), "jan"));
  CHECK(Lost.Outcome == ChangeOutcome::Conflict);
  CHECK(Lost.Revision == 2);
  CHECK(Lost.Operator == "eva");
  CHECK(Lost.CurrentRevision == 3);
  CHECK(Lost.Reason.Kind == ErrorKind::Conflict);
  CHECK(State.Files == Before.Files);
  CHECK(State.Revision == 3);
}

// Guards against a lost answer that makes a change count twice, and against a
// resend that is taken for a conflict with itself.
TEST_CASE("a resend gets the first result") {
  ConfigState State = stateWith(1);
  const ChangeFile Accepted = change("a", 1, "a.json");
  const ChangeFile Conflicting = change("b", 1, "b.json");
  const ChangeFile Rejected = change("c", 2, "c.json", "{");
  const auto First = applyChange(State, Accepted);
  const auto Second = applyChange(State, Conflicting);
  const auto Third = applyChange(State, Rejected);
  CHECK(Third.Outcome == ChangeOutcome::Rejected);
  CHECK(Third.Reason.Message.substr(0, 12) == "c.json:1:2: ");
  applyChange(State, change("d", 2, "c.json", declaration("quote")));
  const ConfigState Before = State;
  ChangeFile ThroughOtherVm = Accepted;
  ThroughOtherVm.ProposedMs = 5;
  CHECK(applyChange(State, ThroughOtherVm) == First);
  CHECK(applyChange(State, Conflicting) == Second);
  CHECK(applyChange(State, Rejected) == Third);
  CHECK(State == Before);

  ChangeFile OtherContent = Accepted;
  OtherContent.Name = "z.json";
  CHECK(applyChange(State, OtherContent).Reason.Kind == ErrorKind::BadKey);
  CHECK(State == Before);
}

TEST_CASE("a change that is invalid when merged is rejected") {
  ConfigState State = stateWith(1);
  const auto Check = [&State](const ChangeFile &Change, ErrorKind Kind) {
    const ConfigState Before = State;
    const auto Result = applyChange(State, Change);
    CHECK(Result.Outcome == ChangeOutcome::Rejected);
    CHECK(Result.Reason.Kind == Kind);
    CHECK(Result.CurrentRevision == 1);
    CHECK(State.Files == Before.Files);
    CHECK(State.Revision == 1);
    CHECK(State.Cache.Merged == Before.Cache.Merged);
  };
  Check(change("a", 1, "g.json", declaration("s0", 300)),
        ErrorKind::Contradiction);
  Check(change("b", 1, "f0.json", std::nullopt), ErrorKind::NoService);
  Check(change("c", 1, "g.json", std::nullopt), ErrorKind::NotFound);
  Check(change("d", 2, "g.json"), ErrorKind::BadRequest);
  Check(change("e", 1, "../g.json"), ErrorKind::BadRequest);
  Check(change("", 1, "g.json"), ErrorKind::BadRequest);
  Check(change("two words", 1, "g.json"), ErrorKind::BadRequest);
}

TEST_CASE("a decoded state equals the encoded one and continues alike") {
  ConfigState State = stateWith(3);
  applyChange(State, change("x", 3, "f1.json", std::nullopt));
  applyChange(State, change("y", 2, "f2.json"));
  const auto Result = decodeState(encodeState(State));
  REQUIRE(!isError(Result));
  ConfigState Decoded = valueOf(Result);
  CHECK(Decoded == State);
  CHECK(Decoded.Cache.Merged == State.Cache.Merged);
  const ChangeFile Next = change("z", 4, "g.json", declaration("s0"));
  CHECK(applyChange(Decoded, Next) == applyChange(State, Next));
  CHECK(Decoded == State);
  CHECK(valueOf(decodeState(encodeState(ConfigState{}))) == ConfigState{});
}

TEST_CASE("damaged bytes are refused") {
  const std::string Bytes = encodeState(stateWith(2));
  for (std::size_t Length = 0; Length < Bytes.size(); ++Length)
    REQUIRE(isError(decodeState(Bytes.substr(0, Length))));
  for (std::size_t At = 0; At < Bytes.size(); ++At) {
    std::string Damaged = Bytes;
    Damaged[At] = static_cast<char>(Damaged[At] ^ 1);
    const auto Result = decodeState(Damaged);
    REQUIRE(isError(Result));
    REQUIRE(errorOf(Result).Kind == ErrorKind::CorruptData);
  }
  CHECK(isError(decodeState(Bytes + "x")));
}

// Guards against a forged snapshot that announces a huge count: the checksum is
// no secret, so it may be right.
TEST_CASE("a forged count with a right checksum allocates nothing") {
  const auto Sealed = [](const std::string &Payload) {
    return std::string(digestBytes(sha256(Payload))) + Payload;
  };
  const std::string Payload = encode(stateWith(1));
  REQUIRE(!isError(decodeState(Sealed(Payload))));
  for (std::size_t At = 0; At < Payload.size(); ++At) {
    std::string Forged = Payload;
    Forged.replace(At, 8, 8, '\x7f');
    const auto Result = decodeState(Sealed(Forged));
    if (isError(Result))
      CHECK(errorOf(Result).Kind == ErrorKind::CorruptData);
  }
  std::string FirstCount = Payload;
  FirstCount.replace(1, 8, 8, '\x7f');
  CHECK(isError(decodeState(Sealed(FirstCount))));
  CHECK(isError(decodeState(Sealed(Payload + "x"))));
}

TEST_CASE("a VM that is behind adopts the changes or the whole") {
  const ConfigState Old = stateWith(3);
  ConfigState New = Old;
  applyChange(New, change("x", 3, "f1.json", std::nullopt));
  applyChange(New, change("y", 4, "f2.json", declaration("other")));
  for (const uint64_t Since : {0U, 1U, 3U}) {
    ConfigState Behind = Since == 0 ? ConfigState{} : Old;
    const ConfigChunk Chunk = changesSince(New, Since);
    CHECK(Chunk.Whole == (Since == 0));
    CHECK(!isError(adoptChunk(Behind, Chunk)));
    Behind.Decided = New.Decided;
    CHECK(Behind == New);
    CHECK(Behind.Cache.Merged == New.Cache.Merged);
  }
  CHECK(changesSince(New, 3).Files.size() == 2);
  ConfigState Forgetful = New;
  Forgetful.OldestKnown = 4;
  CHECK(changesSince(Forgetful, 3).Whole);
  CHECK(!changesSince(Forgetful, 4).Whole);
}

// Guards promise 8: an accepted configuration never reverts.
TEST_CASE(
    "a chunk never lowers the revision, leaves a gap or breaks the merge") {
  const ConfigState Old = stateWith(2);
  ConfigState New = stateWith(4);
  const ConfigState Before = New;
  CHECK(!isError(adoptChunk(New, changesSince(Old, 0))));
  CHECK(!isError(adoptChunk(New, changesSince(Old, 1))));
  ConfigChunk Equal = changesSince(New, 0);
  Equal.Files.clear();
  CHECK(!isError(adoptChunk(New, Equal)));
  CHECK(New == Before);

  ConfigState Empty;
  CHECK(errorOf(adoptChunk(Empty, changesSince(New, 3))).Kind ==
        ErrorKind::Conflict);
  ConfigChunk Broken = changesSince(New, 0);
  Broken.Files.front().Text = "{";
  CHECK(errorOf(adoptChunk(Empty, Broken)).Kind == ErrorKind::CorruptData);
  CHECK(Empty == ConfigState{});
}

// Guards the bounds: without them a configuration could outgrow a frame, and a
// removal that was forgotten could be undone by a delta.
TEST_CASE("records are bounded and the largest configuration fits a frame") {
  ConfigState State = stateWith(1);
  const std::string Id(MaxIdBytes - 4, 'i');
  const auto NameOf = [](std::size_t I) {
    return std::string(90, 'n') + std::to_string(10000 + I) + ".json";
  };
  const std::size_t Text = MaxTotalBytes / MaxFiles - 100;
  for (std::size_t I = 0; I < MaxFiles - 1; ++I) {
    State.Files[NameOf(I)] = std::string(Text, ' ');
    State.LastChanges[NameOf(I)] = {++State.Revision, Id + "1234", false};
  }
  for (std::size_t I = 0; I < MaxRemovals + 2; ++I)
    State.LastChanges["r" + NameOf(I)] = {++State.Revision, Id + "1234", true};
  for (std::size_t I = 0; I < MaxHistory; ++I)
    State.History.push_back(
        {State.Revision, NameOf(I), Id + "1234", Id + "1234", false, Text, 1});
  for (std::size_t I = 0; I < MaxDecided + 2; ++I)
    applyChange(State, change(std::to_string(I), 0, "f0.json"));
  CHECK(State.Decided.size() == MaxDecided);
  CHECK(State.History.size() == MaxHistory);
  CHECK(State.LastChanges.size() == MaxFiles + MaxRemovals);
  CHECK(State.OldestKnown == MaxFiles + 2);
  CHECK(encode(changesSince(State, 0)).size() < MaxFrameBytes);
}
