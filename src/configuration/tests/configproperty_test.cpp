#include "configuration/configstate.h"
#include "configuration/servicefiles.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdlib>

using namespace sapphiremoor;

namespace {

/// The seed is fixed so that every run checks the same cases.
const int RapidcheckParamsSet =
    setenv("RC_PARAMS", "seed=20260412 max_success=300", 0);

/// Returns a file that declares, overrides or adjusts one of three services, so
/// that files often set the same service.
rc::Gen<std::string> fileText() {
  return rc::gen::apply(
      [](int Service, int RunTime, bool IsDeclaration, bool IsOverride) {
        std::string Fields = "\"declared_ms\": " + std::to_string(RunTime);
        if (IsDeclaration)
          Fields += ", \"idempotent\": false, \"weight\": \"messages\"";
        if (IsOverride)
          Fields += ", \"override\": true";
        return "{\"services\": {\"s" + std::to_string(Service) + "\": {" +
               Fields + "}}}";
      },
      rc::gen::inRange(0, 3), rc::gen::inRange(1, 4),
      rc::gen::weightedElement<bool>({{4, true}, {1, false}}),
      rc::gen::arbitrary<bool>());
}

/// Returns a change whose expected revision is often close to the one in force.
rc::Gen<ChangeFile> arbitraryChange() {
  return rc::gen::apply(
      [](int Id, int ExpectedRevision, int Name, bool IsRemoval,
         std::string Text) {
        ChangeFile Change{std::to_string(Id),
                          static_cast<uint64_t>(ExpectedRevision),
                          "f" + std::to_string(Name) + ".json",
                          std::move(Text),
                          "eva",
                          0};
        if (IsRemoval)
          Change.Text.reset();
        return Change;
      },
      rc::gen::inRange(0, 40), rc::gen::inRange(0, 6), rc::gen::inRange(0, 5),
      rc::gen::weightedElement<bool>({{1, true}, {4, false}}), fileText());
}

} // namespace

TEST_CASE("removing a file restores the earlier merged configuration") {
  CHECK(rc::check([] {
    ConfigState State;
    for (ChangeFile Change :
         *rc::gen::container<std::vector<ChangeFile>>(arbitraryChange())) {
      Change.RequestId = "r" + std::to_string(State.DecidedRequests.size());
      Change.ExpectedRevision = State.Revision;
      applyChange(State, Change);
    }
    const ConfigState StateBefore = State;
    const ChangeFile Addition{"add",       State.Revision, "g.json",
                              *fileText(), "eva",          0};
    RC_PRE(applyChange(State, Addition).Outcome == ChangeOutcome::Accepted);
    RC_PRE(!StateBefore.Files.empty());
    const ChangeFile Removal{"remove",     State.Revision, "g.json",
                             std::nullopt, "eva",          0};
    RC_ASSERT(applyChange(State, Removal).Outcome == ChangeOutcome::Accepted);
    RC_ASSERT(State.Files == StateBefore.Files);
    RC_ASSERT(State.Cache.MergedConfig == StateBefore.Cache.MergedConfig);
  }));
}

TEST_CASE("the state in force always equals a merge of all its files") {
  CHECK(rc::check([] {
    ConfigState State;
    ConfigState OtherReplica;
    for (const ChangeFile &Change :
         *rc::gen::container<std::vector<ChangeFile>>(arbitraryChange())) {
      RC_ASSERT(applyChange(State, Change) ==
                applyChange(OtherReplica, Change));
    }
    RC_ASSERT(State == OtherReplica);
    RC_PRE(!State.Files.empty());
    RC_ASSERT(valueOf(mergeConfiguration(State.Files)) ==
              State.Cache.MergedConfig);
    RC_ASSERT(valueOf(decodeState(encodeState(State))) == State);
  }));
}

TEST_CASE(
    "chunks in any order never lower the revision and reach the newest state") {
  CHECK(rc::check([] {
    std::vector<ConfigState> Versions(1);
    for (ChangeFile Change :
         *rc::gen::container<std::vector<ChangeFile>>(arbitraryChange())) {
      ConfigState NextState = Versions.back();
      Change.RequestId = "r" + std::to_string(Versions.size());
      Change.ExpectedRevision = NextState.Revision;
      if (applyChange(NextState, Change).Outcome == ChangeOutcome::Accepted)
        Versions.push_back(NextState);
    }
    ConfigState Learner;
    for (int Step = 0; Step < 10; ++Step) {
      const ConfigState &PeerState = *rc::gen::elementOf(Versions);
      const auto BaseRevision = *rc::gen::inRange<uint64_t>(0, Versions.size());
      const uint64_t RevisionBefore = Learner.Revision;
      applyChunk(Learner, collectChanges(PeerState, BaseRevision));
      RC_ASSERT(Learner.Revision >= RevisionBefore);
      RC_ASSERT(Learner.Files == Versions[Learner.Revision].Files);
      RC_ASSERT(Learner.LastChanges == Versions[Learner.Revision].LastChanges);
    }
    applyChunk(Learner, collectChanges(Versions.back(), Learner.Revision));
    RC_ASSERT(Learner.Files == Versions.back().Files);
  }));
}
