#include "claims/claims.h"

#include <doctest/doctest.h>

#include <map>

using namespace sapphiremoor;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;

namespace {

constexpr BodyDigest Body{1};
constexpr Instant Start{};

/// VMs a (the issuer), b and c, all members, and d, which is none. Messages
/// arrive at once; those to a VM that is not in the map are lost.
struct Cluster {
  std::map<std::string, ClaimState> Vms;
  JobKey Key;
  int Messages = 0;

  explicit Cluster(const ClaimLimits &Limits = {}) {
    for (const char *Name : {"a", "b", "c", "d"})
      Vms[Name] = makeClaimState({Name, 7}, "dc", Limits);
    Key = {issuePrefix(Vms["a"], "team", {{"b", 7}, {"c", 7}}, Start), 5};
  }

  /// Delivers all messages; returns the last effect that is no message.
  std::optional<ClaimEffect> pump(const std::string &From,
                                  const ClaimEffects &Effects, Instant Now) {
    std::optional<ClaimEffect> Last;
    for (const ClaimEffect &Effect : Effects) {
      const auto *Message = std::get_if<SendClaim>(&Effect);
      if (!Message) {
        Last = Effect;
        continue;
      }
      ++Messages;
      const auto To = Vms.find(Message->To.Name);
      if (To == Vms.end())
        continue;
      const auto Reply = receive(To->second, {From, 7}, Message->Message, Now);
      if (auto Next = pump(To->first, Reply, Now))
        Last = Next;
    }
    return Last;
  }
  std::optional<ClaimEffect> claim(const std::string &Vm,
                                   const std::string &Forwarder = "",
                                   const BodyDigest &Digest = Body) {
    std::optional<ProvisionalHold> Hold;
    if (!Forwarder.empty())
      Hold = forwardJob(Vms[Forwarder], Key, Digest, {Vm, 7}, Start).Hold;
    return pump(Vm, claimJob(Vms[Vm], Key, Digest, Hold, Start), Start);
  }
  std::optional<ClaimEffect> find(const std::string &Vm, Instant Now = Start) {
    return pump(Vm, findJob(Vms[Vm], Key, Now), Now);
  }
  std::optional<ClaimEffect> tickAfter(const std::string &Vm, Duration Time) {
    return pump(Vm, tick(Vms[Vm], Start + Time), Start + Time);
  }
};

template <typename T> bool is(const std::optional<ClaimEffect> &Effect) {
  return Effect && std::holds_alternative<T>(*Effect);
}

/// Returns "outcome reason retry" in numbers and words, for comparison.
std::string decided(const std::optional<ClaimEffect> &Effect) {
  if (!is<Decide>(Effect))
    return "no decision";
  const Decide &Result = std::get<Decide>(*Effect);
  const char *Outcomes[] = {"not run", "unknown", "conflict"};
  const char *Retries[] = {"same_key", "new_key", "none"};
  return std::string(Outcomes[static_cast<int>(Result.Outcome)]) + " " +
         Result.Reason + " " + Retries[static_cast<int>(Result.Retry)];
}

} // namespace

// Guards against messages that the forwarder's record makes unnecessary.
TEST_CASE("a job forwarded by a member to the issuer starts without messages") {
  Cluster Vms;
  CHECK(is<StartJob>(Vms.claim("a", "b")));
  CHECK(Vms.Messages == 0);
}

// Guards against more than one round trip.
TEST_CASE("without a forwarding member one further member is asked") {
  Cluster Direct;
  CHECK(is<StartJob>(Direct.claim("a")));
  CHECK(Direct.Messages == 2);
  Cluster ByMember;
  CHECK(is<StartJob>(ByMember.claim("b", "c")));
  CHECK(ByMember.Messages == 2);
  Cluster ByIssuer;
  CHECK(is<StartJob>(ByIssuer.claim("b", "a")));
  CHECK(ByIssuer.Messages == 0);
}

// Guards against a hold that names an earlier run of the executor.
TEST_CASE("a provisional grant to another incarnation does not count") {
  Cluster Vms;
  const ProvisionalHold Hold{{"b", 7}, {"a", 6}};
  const auto Effects = claimJob(Vms.Vms["a"], Vms.Key, Body, Hold, Start);
  CHECK(Effects.size() == 1);
  CHECK(std::holds_alternative<SendClaim>(Effects.front()));
}

// Guards against two executors, and against a reused key.
TEST_CASE("a resubmission is passed to the executor, another body refused") {
  Cluster Vms;
  CHECK(is<StartJob>(Vms.claim("b")));
  const auto Passed = Vms.claim("d");
  REQUIRE(is<PassToExecutor>(Passed));
  CHECK(std::get<PassToExecutor>(*Passed).Executor.Name == "b");
  CHECK(is<JoinJob>(Vms.claim("b")));
  CHECK(decided(Vms.claim("d", "", {2})) == "conflict conflict new_key");
  CHECK(decided(Vms.claim("b", "", {2})) == "conflict conflict new_key");
}

// Guards against a search that grants or voids the key.
TEST_CASE("a search for a key that was never submitted leaves it usable") {
  Cluster Vms;
  CHECK(decided(Vms.find("d")) == "unknown not_submitted same_key");
  CHECK(decided(Vms.find("a")) == "unknown not_submitted same_key");
  CHECK(is<StartJob>(Vms.claim("d")));
}

// Guards against a refused key that runs later.
TEST_CASE("a refusal before any start voids the key at the issuer") {
  Cluster Vms;
  CHECK(is<StartJob>(Vms.claim("d")));
  const Error Full{ErrorKind::Overloaded, "the queue is full", "wait"};
  const auto Refused =
      Vms.pump("d", refuseJob(Vms.Vms["d"], Vms.Key, Full, Start), Start);
  CHECK(decided(Refused) == "not run overloaded new_key");
  CHECK(std::get<Decide>(*Refused).Detail == "the queue is full (wait)");
  CHECK(decided(Vms.claim("c", "b")) == "not run refused new_key");
  CHECK(decided(Vms.claim("d")) == "not run refused new_key");
}

// Guards against a caller that tries number after number of a dead prefix.
TEST_CASE("an issuer that was asked to seal refuses with a new prefix") {
  Cluster Vms;
  receive(Vms.Vms["a"], {"d", 7}, SealRequest{Vms.Key, 1}, Start);
  CHECK(decided(Vms.find("d")) == "not run prefix_sealed new_key");
  CHECK(decided(Vms.claim("a", "b")) == "not run prefix_sealed new_key");
  CHECK(decided(Vms.claim("b", "c")) == "not run prefix_sealed new_key");
}

// Guards against a wait for a VM that is known to be lost.
TEST_CASE("a claim goes on at once when the issuer is lost") {
  for (const bool Restarted : {false, true}) {
    Cluster Vms;
    Vms.Vms.erase("a");
    CHECK_FALSE(Vms.claim("b").has_value());
    const auto Effects = Restarted ? peerUp(Vms.Vms["b"], {"a", 8}, Start)
                                   : peerDown(Vms.Vms["b"], {"a", 7}, Start);
    CHECK(decided(Vms.pump("b", Effects, Start)) ==
          "not run prefix_sealed new_key");
    CHECK_FALSE(Vms.claim("d", "c").has_value());
    CHECK(decided(Vms.tickAfter("d", milliseconds(500))) ==
          "not run prefix_sealed new_key");
  }
}

// Guards against waiting for ever, and against a false "not run".
TEST_CASE("members that are lost make the outcome unknown or void") {
  Cluster OnlyIssuer;
  OnlyIssuer.Vms.erase("b");
  OnlyIssuer.Vms.erase("c");
  CHECK_FALSE(OnlyIssuer.claim("a").has_value());
  OnlyIssuer.tickAfter("a", milliseconds(500));
  CHECK(decided(OnlyIssuer.tickAfter("a", milliseconds(1000))) ==
        "not run no_majority new_key");
  Cluster NoMember;
  for (const char *Name : {"a", "b", "c"})
    NoMember.Vms.erase(Name);
  CHECK_FALSE(NoMember.claim("d").has_value());
  NoMember.tickAfter("d", milliseconds(500));
  CHECK(decided(NoMember.tickAfter("d", milliseconds(1000))) ==
        "unknown home_unreachable same_key");
}

// Guards against a promise that takes a key from a claim about to start.
TEST_CASE("an executor that waits for the issuer keeps its claim") {
  Cluster Vms;
  const auto Request = claimJob(Vms.Vms["b"], Vms.Key, Body, {}, Start);
  const auto Reply =
      receive(Vms.Vms["b"], {"d", 7}, AnswerQuery{Vms.Key, 1, true}, Start);
  const auto &Message = std::get<SendClaim>(Reply.front()).Message;
  CHECK(std::get<AnswerReply>(Message).Status == AnswerStatus::Running);
  CHECK(is<StartJob>(Vms.pump("b", Request, Start)));
}

// Guards against an answer that is lost with its executor.
TEST_CASE("a copy of the answer outlives the executor, for 15 minutes") {
  Cluster Vms;
  CHECK(is<StartJob>(Vms.claim("d")));
  Vms.pump("d", storeAnswer(Vms.Vms["d"], Vms.Key, Body, "text", Start), Start);
  Vms.tickAfter("d", minutes(15));
  CHECK(decided(Vms.find("d")) == "unknown answer_expired none");
  Vms.Vms.erase("d");
  peerUp(Vms.Vms["b"], {"d", 8}, Start);
  REQUIRE(is<JoinJob>(Vms.find("b")));
  CHECK(*keptAnswer(Vms.Vms["b"], Vms.Key) == "text");
  Vms.tickAfter("a", minutes(15));
  Vms.tickAfter("b", minutes(15));
  CHECK(decided(Vms.find("b")) == "unknown executor_lost none");
}

// Guards against unbounded memory, and against a key that runs again after
// its record was dropped.
TEST_CASE("dropped prefixes are too old for ever and answers are bounded") {
  Cluster Old;
  CHECK(is<StartJob>(Old.claim("b")));
  Old.tickAfter("a", hours(1));
  Old.tickAfter("b", hours(1));
  CHECK(decided(Old.claim("d")) == "unknown key_too_old none");
  CHECK(decided(Old.claim("b")) == "unknown key_too_old none");
  CHECK(Old.Vms["b"].Records.empty());
  CHECK(Old.Vms["b"].RecordBytes == 0);

  ClaimLimits Small;
  Small.RecordBytes = 10000;
  Small.AnswerBytes = 10000;
  Cluster Full(Small);
  ClaimState &Issuer = Full.Vms["a"];
  for (int I = 0; I < 100; ++I) {
    const JobKey Next{issuePrefix(Issuer, "team", {}, Start), 1};
    claimJob(Issuer, Next, Body, {}, Start);
    storeAnswer(Issuer, Next, Body, std::string(500, 'x'), Start);
    tick(Issuer, Start);
    CHECK(Issuer.RecordBytes <= Small.RecordBytes);
    CHECK(Issuer.AnswerBytes <= Small.AnswerBytes);
    CHECK(keptAnswer(Issuer, Next));
  }
  CHECK(decided(Full.claim("a")) == "unknown key_too_old none");
}
