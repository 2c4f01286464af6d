#include "configuration/configstate.h"
#include "configuration/servicefiles.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdlib>

using namespace sapphiremoor;

namespace {

/// The seed is fixed so that every run checks the same cases.
const int Seeded = setenv("RC_PARAMS", "seed=20260412 max_success=300", 0);

/// Returns a file that declares, overrides or adjusts one of few services, so
/// that files often meet.
rc::Gen<std::string> fileText() {
  return rc::gen::apply(
      [](int Service, int RunTime, bool IsWhole, bool Overrides) {
        std::string Fields = "\"declared_ms\": " + std::to_string(RunTime);
        if (IsWhole)
          Fields += ", \"idempotent\": false, \"weight\": \"messages\"";
        if (Overrides)
          Fields += ", \"override\": true";
        return "{\"services\": {\"s" + std::to_string(Service) + "\": {" +
               Fields + "}}}";
      },
      rc::gen::inRange(0, 3), rc::gen::inRange(1, 4),
      rc::gen::weightedElement<bool>({{4, true}, {1, false}}),
      rc::gen::arbitrary<bool>());
}

/// Returns changes that expect revisions near the one in force.
rc::Gen<ChangeFile> anyChange() {
  return rc::gen::apply(
      [](int Id, int Expected, int Name, bool Removes, std::string Text) {
        ChangeFile Change{std::to_string(Id),
                          static_cast<uint64_t>(Expected),
                          "f" + std::to_string(Name) + ".json",
                          std::move(Text),
                          "eva",
                          0};
        if (Removes)
          Change.Text.reset();
        return Change;
      },
      rc::gen::inRange(0, 40), rc::gen::inRange(0, 6), rc::gen::inRange(0, 5),
      rc::gen::weightedElement<bool>({{1, true}, {4, false}}), fileText());
}

} // namespace

TEST_CASE("removing a file rolls back to the earlier merge") {
  CHECK(rc::check([] {
    ConfigState State;
    for (ChangeFile Change :
         *rc::gen::container<std::vector<ChangeFile>>(anyChange())) {
      Change.RequestId = "r" + std::to_string(State.Decided.size());
      Change.ExpectedRevision = State.Revision;
      applyChange(State, Change);
    }
    const ConfigState Before = State;
    const ChangeFile Added{"add",       State.Revision, "g.json",
                           *fileText(), "eva",          0};
    RC_PRE(applyChange(State, Added).Outcome == ChangeOutcome::Accepted);
    RC_PRE(!Before.Files.empty());
    const ChangeFile Removed{"remove",     State.Revision, "g.json",
                             std::nullopt, "eva",          0};
    RC_ASSERT(applyChange(State, Removed).Outcome == ChangeOutcome::Accepted);
    RC_ASSERT(State.Files == Before.Files);
    RC_ASSERT(State.Cache.Merged == Before.Cache.Merged);
  }));
}

TEST_CASE("the state in force always equals a merge of all its files") {
  CHECK(rc::check([] {
    ConfigState State;
    ConfigState Other;
    for (const ChangeFile &Change :
         *rc::gen::container<std::vector<ChangeFile>>(anyChange())) {
      RC_ASSERT(applyChange(State, Change) == applyChange(Other, Change));
    }
    RC_ASSERT(State == Other);
    RC_PRE(!State.Files.empty());
    RC_ASSERT(valueOf(mergeConfiguration(State.Files)) == State.Cache.Merged);
    RC_ASSERT(valueOf(decodeState(encodeState(State))) == State);
  }));
}

TEST_CASE("chunks in any order lead to the newest state and never back") {
  CHECK(rc::check([] {
    std::vector<ConfigState> Versions(1);
    for (ChangeFile Change :
         *rc::gen::container<std::vector<ChangeFile>>(anyChange())) {
      ConfigState Next = Versions.back();
      Change.RequestId = "r" + std::to_string(Versions.size());
      Change.ExpectedRevision = Next.Revision;
      if (applyChange(Next, Change).Outcome == ChangeOutcome::Accepted)
        Versions.push_back(Next);
    }
    ConfigState Learner;
    for (int Step = 0; Step < 10; ++Step) {
      const ConfigState &Peer = *rc::gen::elementOf(Versions);
      const auto Since = *rc::gen::inRange<uint64_t>(0, Versions.size());
      const uint64_t Before = Learner.Revision;
      adoptChunk(Learner, changesSince(Peer, Since));
      RC_ASSERT(Learner.Revision >= Before);
      RC_ASSERT(Learner.Files == Versions[Learner.Revision].Files);
      RC_ASSERT(Learner.LastChanges == Versions[Learner.Revision].LastChanges);
    }
    adoptChunk(Learner, changesSince(Versions.back(), Learner.Revision));
    RC_ASSERT(Learner.Files == Versions.back().Files);
  }));
}
