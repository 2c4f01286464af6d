#include "claims/claims.h"

#include <doctest/doctest.h>

#include <map>

using namespace sapphiremoor;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;

namespace {

constexpr BodyDigest Body{1};
constexpr Instant StartTime{};

/// The VMs "a" (the issuer), "b" and "c", which are members, and "d", which is
/// not. Messages arrive immediately; those to a VM that is not in Vms are lost.
struct FakeCluster {
  std::map<std::string, ClaimState> Vms;
  JobKey Key;
  int Messages = 0;

  explicit FakeCluster(const ClaimLimits &Limits = {}) {
    for (const char *Name : {"a", "b", "c", "d"})
      Vms[Name] = makeClaimState({Name, 7}, "dc", Limits);
    Key = {issuePrefix(Vms["a"], "team", {{"b", 7}, {"c", 7}}, StartTime), 5};
  }

  /// Delivers all messages and returns the last effect that is not a message.
  std::optional<ClaimEffect> deliverMessages(const std::string &Sender,
                                             const ClaimEffects &Effects,
                                             Instant Now) {
    std::optional<ClaimEffect> LastEffect;
    for (const ClaimEffect &Effect : Effects) {
      const auto *Message = std::get_if<SendClaimMessage>(&Effect);
      if (!Message) {
        LastEffect = Effect;
        continue;
      }
      ++Messages;
      const auto ReceiverIt = Vms.find(Message->Receiver.Name);
      if (ReceiverIt == Vms.end())
        continue;
      const auto Reply =
          receive(ReceiverIt->second, {Sender, 7}, Message->Message, Now);
      if (auto NextEffect = deliverMessages(ReceiverIt->first, Reply, Now))
        LastEffect = NextEffect;
    }
    return LastEffect;
  }
  std::optional<ClaimEffect> claim(const std::string &Vm,
                                   const std::string &Forwarder = "",
                                   const BodyDigest &Digest = Body) {
    std::optional<ProvisionalGrant> Grant;
    if (!Forwarder.empty())
      Grant = forwardJob(Vms[Forwarder], Key, Digest, {Vm, 7}, StartTime).Grant;
    return deliverMessages(Vm, claimJob(Vms[Vm], Key, Digest, Grant, StartTime),
                           StartTime);
  }
  std::optional<ClaimEffect> find(const std::string &Vm,
                                  Instant Now = StartTime) {
    return deliverMessages(Vm, findJob(Vms[Vm], Key, Now), Now);
  }
  std::optional<ClaimEffect> tickAfter(const std::string &Vm, Duration Time) {
    return deliverMessages(Vm, tick(Vms[Vm], StartTime + Time),
                           StartTime + Time);
  }
};

template <typename T> bool is(const std::optional<ClaimEffect> &Effect) {
  return Effect && std::holds_alternative<T>(*Effect);
}

/// Returns "outcome reason retry" as text, for comparison.
std::string outcomeText(const std::optional<ClaimEffect> &Effect) {
  if (!is<ReportOutcome>(Effect))
    return "no decision";
  const ReportOutcome &Result = std::get<ReportOutcome>(*Effect);
  const char *Outcomes[] = {"not run", "unknown", "conflict"};
  const char *Retries[] = {"same_key", "new_key", "none"};
  return std::string(Outcomes[static_cast<int>(Result.Outcome)]) + " " +
         Result.Reason + " " + Retries[static_cast<int>(Result.Retry)];
}

} // namespace

// Guards against messages that the provisional grant of the forwarding member
// makes unnecessary.
TEST_CASE("a job forwarded by a member to the issuer starts without messages") {
  FakeCluster Net;
  CHECK(is<StartJob>(Net.claim("a", "b")));
  CHECK(Net.Messages == 0);
}

// Guards against more than one round trip.
TEST_CASE("without a forwarding member one further member is asked") {
  FakeCluster DirectCluster;
  CHECK(is<StartJob>(DirectCluster.claim("a")));
  CHECK(DirectCluster.Messages == 2);
  FakeCluster ViaMember;
  CHECK(is<StartJob>(ViaMember.claim("b", "c")));
  CHECK(ViaMember.Messages == 2);
  FakeCluster ViaIssuer;
  CHECK(is<StartJob>(ViaIssuer.claim("b", "a")));
  CHECK(ViaIssuer.Messages == 0);
}

// Guards against counting a provisional grant that names an earlier incarnation
// of the executor.
TEST_CASE("a provisional grant to another incarnation does not count") {
  FakeCluster Net;
  const ProvisionalGrant Grant{{"b", 7}, {"a", 6}};
  const auto Effects = claimJob(Net.Vms["a"], Net.Key, Body, Grant, StartTime);
  CHECK(Effects.size() == 1);
  CHECK(std::holds_alternative<SendClaimMessage>(Effects.front()));
}

// Guards against two executors of a key and against a key that is reused for
// another job.
TEST_CASE("a resubmission reaches the executor, a different body is refused") {
  FakeCluster Net;
  CHECK(is<StartJob>(Net.claim("b")));
  const auto Passed = Net.claim("d");
  REQUIRE(is<PassToExecutor>(Passed));
  CHECK(std::get<PassToExecutor>(*Passed).Executor.Name == "b");
  CHECK(is<JoinJob>(Net.claim("b")));
  CHECK(outcomeText(Net.claim("d", "", {2})) == "conflict conflict new_key");
  CHECK(outcomeText(Net.claim("b", "", {2})) == "conflict conflict new_key");
}

// Guards against a search that grants or voids the key.
TEST_CASE("a search for a key that was never submitted leaves it usable") {
  FakeCluster Net;
  CHECK(outcomeText(Net.find("d")) == "unknown not_submitted same_key");
  CHECK(outcomeText(Net.find("a")) == "unknown not_submitted same_key");
  CHECK(is<StartJob>(Net.claim("d")));
}

// Guards against a refused key that runs later.
TEST_CASE("a refusal before any start voids the key at the issuer") {
  FakeCluster Net;
  CHECK(is<StartJob>(Net.claim("d")));
  const Error QueueFull{ErrorKind::Overloaded, "the queue is full", "wait"};
  const auto Refused = Net.deliverMessages(
      "d", refuseJob(Net.Vms["d"], Net.Key, QueueFull, StartTime), StartTime);
  CHECK(outcomeText(Refused) == "not run overloaded new_key");
  CHECK(std::get<ReportOutcome>(*Refused).Detail == "the queue is full (wait)");
  CHECK(outcomeText(Net.claim("c", "b")) == "not run refused new_key");
  CHECK(outcomeText(Net.claim("d")) == "not run refused new_key");
}

// Guards against a caller that tries one number after another of a sealed
// prefix: the advice must be to obtain a new prefix.
TEST_CASE("a sealed issuer refuses keys and advises a new prefix") {
  FakeCluster Net;
  receive(Net.Vms["a"], {"d", 7}, SealRequest{Net.Key, 1}, StartTime);
  CHECK(outcomeText(Net.find("d")) == "not run prefix_sealed new_key");
  CHECK(outcomeText(Net.claim("a", "b")) == "not run prefix_sealed new_key");
  CHECK(outcomeText(Net.claim("b", "c")) == "not run prefix_sealed new_key");
}

// Guards against a wait for a VM that is known to be unreachable or restarted.
TEST_CASE("a claim continues immediately when the issuer is unavailable") {
  for (const bool Restarted : {false, true}) {
    FakeCluster Net;
    Net.Vms.erase("a");
    CHECK_FALSE(Net.claim("b").has_value());
    const auto Effects = Restarted
                             ? peerUp(Net.Vms["b"], {"a", 8}, StartTime)
                             : peerDown(Net.Vms["b"], {"a", 7}, StartTime);
    CHECK(outcomeText(Net.deliverMessages("b", Effects, StartTime)) ==
          "not run prefix_sealed new_key");
    CHECK_FALSE(Net.claim("d", "c").has_value());
    CHECK(outcomeText(Net.tickAfter("d", milliseconds(500))) ==
          "not run prefix_sealed new_key");
  }
}

// Guards against waiting forever and against reporting a job as not run
// although it may have run.
TEST_CASE("unreachable members make the outcome unknown or the key void") {
  FakeCluster OnlyIssuer;
  OnlyIssuer.Vms.erase("b");
  OnlyIssuer.Vms.erase("c");
  CHECK_FALSE(OnlyIssuer.claim("a").has_value());
  OnlyIssuer.tickAfter("a", milliseconds(500));
  CHECK(outcomeText(OnlyIssuer.tickAfter("a", milliseconds(1000))) ==
        "not run no_majority new_key");
  FakeCluster NoMember;
  for (const char *Name : {"a", "b", "c"})
    NoMember.Vms.erase(Name);
  CHECK_FALSE(NoMember.claim("d").has_value());
  NoMember.tickAfter("d", milliseconds(500));
  CHECK(outcomeText(NoMember.tickAfter("d", milliseconds(1000))) ==
        "unknown home_unreachable same_key");
}

// Guards against a promise not to start a key that a pending claim is about to
// start.
TEST_CASE("an executor that waits for the issuer keeps its claim") {
  FakeCluster Net;
  const auto Request = claimJob(Net.Vms["b"], Net.Key, Body, {}, StartTime);
  const auto Reply =
      receive(Net.Vms["b"], {"d", 7}, AnswerQuery{Net.Key, 1, true}, StartTime);
  const auto &Message = std::get<SendClaimMessage>(Reply.front()).Message;
  CHECK(std::get<AnswerReply>(Message).Status == AnswerStatus::Running);
  CHECK(is<StartJob>(Net.deliverMessages("b", Request, StartTime)));
}

// Guards against an answer that is lost together with its executor.
TEST_CASE("a copy of the answer outlives the executor, for 15 minutes") {
  FakeCluster Net;
  CHECK(is<StartJob>(Net.claim("d")));
  Net.deliverMessages(
      "d", storeAnswer(Net.Vms["d"], Net.Key, Body, "text", StartTime),
      StartTime);
  Net.tickAfter("d", minutes(15));
  CHECK(outcomeText(Net.find("d")) == "unknown answer_expired none");
  Net.Vms.erase("d");
  peerUp(Net.Vms["b"], {"d", 8}, StartTime);
  REQUIRE(is<JoinJob>(Net.find("b")));
  CHECK(*findStoredAnswer(Net.Vms["b"], Net.Key) == "text");
  Net.tickAfter("a", minutes(15));
  Net.tickAfter("b", minutes(15));
  CHECK(outcomeText(Net.find("b")) == "unknown executor_lost none");
}

// Guards against unbounded memory and against a key that runs again after its
// record was dropped.
TEST_CASE("keys of dropped prefixes stay too old and answers are bounded") {
  FakeCluster OldCluster;
  CHECK(is<StartJob>(OldCluster.claim("b")));
  OldCluster.tickAfter("a", hours(1));
  OldCluster.tickAfter("b", hours(1));
  CHECK(outcomeText(OldCluster.claim("d")) == "unknown key_too_old none");
  CHECK(outcomeText(OldCluster.claim("b")) == "unknown key_too_old none");
  CHECK(OldCluster.Vms["b"].Records.empty());
  CHECK(OldCluster.Vms["b"].RecordBytes == 0);

  ClaimLimits SmallLimits;
  SmallLimits.MaxRecordBytes = 10000;
  SmallLimits.MaxAnswerBytes = 10000;
  FakeCluster QueueFull(SmallLimits);
  ClaimState &Issuer = QueueFull.Vms["a"];
  for (int I = 0; I < 100; ++I) {
    const JobKey Next{issuePrefix(Issuer, "team", {}, StartTime), 1};
    claimJob(Issuer, Next, Body, {}, StartTime);
    storeAnswer(Issuer, Next, Body, std::string(500, 'x'), StartTime);
    tick(Issuer, StartTime);
    CHECK(Issuer.RecordBytes <= SmallLimits.MaxRecordBytes);
    CHECK(Issuer.AnswerBytes <= SmallLimits.MaxAnswerBytes);
    CHECK(findStoredAnswer(Issuer, Next));
  }
  CHECK(outcomeText(QueueFull.claim("a")) == "unknown key_too_old none");
}
