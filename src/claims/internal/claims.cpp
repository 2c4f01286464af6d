#include "claims/claims.h"

#include "claims/internal/answers.h"
#include "claims/internal/steps.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sapphiremoor {

namespace {

using detail::Step;

constexpr std::size_t MaxMembers = 3;

/// Ends the claim with what this VM knows without asking, or asks the issuer.
void begin(Step &S, PendingClaim Claim) {
  const JobKey Key = Claim.Id.Key;
  if (detail::finishIfExecutedHere(S, Claim))
    return;
  if (detail::isTooOld(S.State, Key.Prefix))
    return detail::finishUnknown(S, Claim, "key_too_old", RetryAdvice::None);
  const PrefixRecord *Record = detail::findRecord(S.State, Key.Prefix);
  if (!Record || Key.Prefix.Issuer == S.State.Self)
    return detail::beginGranting(S, std::move(Claim));
  if (Claim.Intent == ClaimIntent::Claim && Record->Voids.contains(Key.Number))
    Claim.Intent = ClaimIntent::Refuse;
  const HeldGrant *Grant = detail::findGrant(*Record, Key.Number);
  if (Grant && !Grant->Provisional &&
      detail::executorOf(*Record, *Grant) != S.State.Self) {
    const VmId Executor = detail::executorOf(*Record, *Grant);
    const BodyDigest Digest = Grant->Digest;
    return detail::grantedElsewhere(S, std::move(Claim), Executor, Digest);
  }
  detail::beginGranting(S, std::move(Claim));
}

/// Forwarding from the issuer grants the key.
ForwardResult forwardFromIssuer(Step &S, const PendingClaim &Claim,
                                const VmId &Executor) {
  const detail::IssuerVerdict Verdict =
      detail::decideAtIssuer(S.State, Claim.Id.Key, Executor,
                             ClaimIntent::Claim, *Claim.Id.Digest, S.Now);
  if (Verdict.Verdict == GrantVerdict::TooOld)
    detail::finishUnknown(S, Claim, "key_too_old", RetryAdvice::None);
  else if (Verdict.Verdict == GrantVerdict::Void)
    detail::finishNotRun(S, Claim, "refused");
  else if (Verdict.Verdict == GrantVerdict::Sealed)
    detail::finishNotRun(S, Claim, "prefix_sealed");
  else if (!detail::finishIfConflict(S, Claim, Verdict.Digest) &&
           Verdict.Executor != Executor)
    detail::finishPass(S, Claim, Verdict.Executor);
  if (!S.Effects.empty())
    return {std::nullopt, std::move(S.Effects.front())};
  return {ProvisionalHold{S.State.Self, Executor}, std::nullopt};
}

ForwardResult forwardFromMember(Step &S, const PendingClaim &Claim,
                                const VmId &Executor) {
  const JobKey &Key = Claim.Id.Key;
  PrefixRecord &Record = *detail::openRecord(S.State, Key.Prefix, S.Now);
  const HeldGrant *Grant = detail::findGrant(Record, Key.Number);
  if (Grant && !Grant->Provisional) {
    const VmId Owner = detail::executorOf(Record, *Grant);
    if (detail::finishIfConflict(S, Claim, Grant->Digest))
      return {std::nullopt, std::move(S.Effects.front())};
    if (Owner != Executor && Owner != S.State.Self)
      return {std::nullopt, PassToExecutor{Key, Claim.Id.Digest, Owner}};
  }
  if (!detail::holdGrant(S.State, Record, Key.Number,
                         {Executor, *Claim.Id.Digest, true}))
    return {};
  return {ProvisionalHold{S.State.Self, Executor}, std::nullopt};
}

/// Takes the pending claims of \p Key; returns whether one of them, or a grant
/// held here, shows that the issuer granted the key to this VM.
bool absorbClaims(Step &S, const JobKey &Key) {
  bool Granted = false;
  for (const uint64_t Request : detail::pendingOf(S.State, Key))
    Granted |= detail::take(S.State, Request).GrantedHere;
  const PrefixRecord *Record = detail::findRecord(S.State, Key.Prefix);
  const HeldGrant *Grant =
      Record ? detail::findGrant(*Record, Key.Number) : nullptr;
  return Granted || (Grant && !Grant->Provisional &&
                     detail::executorOf(*Record, *Grant) == S.State.Self);
}

} // namespace

ClaimState makeClaimState(VmId Self, std::string DataCentre,
                          const ClaimLimits &Limits) {
  ClaimState State;
  State.Self = std::move(Self);
  // A late reply to an earlier run of this VM must not match a request of this
  // one. The shift leaves room to count upwards.
  State.LastRequest = State.Self.Incarnation >> 1;
  State.DataCentre = std::move(DataCentre);
  State.Limits = Limits;
  return State;
}

Prefix issuePrefix(ClaimState &State, const std::string &Team,
                   const std::vector<VmId> &Reachable, Instant Now) {
  Prefix Value{
      Team, State.DataCentre, State.Self, {State.Self}, ++State.LastSequence};
  for (const VmId &Vm : Reachable)
    if (Value.Members.size() < MaxMembers && !detail::isMember(Value, Vm))
      Value.Members.push_back(Vm);
  detail::openRecord(State, Value, Now);
  return Value;
}

ForwardResult forwardJob(ClaimState &State, const JobKey &Key,
                         const BodyDigest &Digest, const VmId &Executor,
                         Instant Now) {
  Step S{State, Now, {}};
  PendingClaim Claim;
  Claim.Id = {Key, Digest};
  if (detail::finishIfExecutedHere(S, Claim))
    return {std::nullopt, std::move(S.Effects.front())};
  if (Executor == State.Self)
    return {};
  if (Key.Prefix.Issuer == State.Self)
    return forwardFromIssuer(S, Claim, Executor);
  if (detail::isTooOld(State, Key.Prefix)) {
    detail::finishUnknown(S, Claim, "key_too_old", RetryAdvice::None);
    return {std::nullopt, std::move(S.Effects.front())};
  }
  if (!detail::isMember(Key.Prefix, State.Self))
    return {};
  return forwardFromMember(S, Claim, Executor);
}

ClaimEffects claimJob(ClaimState &State, const JobKey &Key,
                      const BodyDigest &Digest,
                      const std::optional<ProvisionalHold> &Hold, Instant Now) {
  Step S{State, Now, {}};
  PendingClaim Claim;
  Claim.Id = {Key, Digest};
  if (Hold && Hold->Executor == State.Self &&
      detail::isMember(Key.Prefix, Hold->Holder))
    Claim.Holders.insert(Hold->Holder);
  const auto Joined = State.PendingIds.find(Claim.Id);
  if (Joined != State.PendingIds.end()) {
    State.Pending.at(Joined->second).Holders.merge(Claim.Holders);
    return {};
  }
  begin(S, std::move(Claim));
  return std::move(S.Effects);
}

ClaimEffects refuseJob(ClaimState &State, const JobKey &Key,
                       const Error &Reason, Instant Now) {
  Step S{State, Now, {}};
  PendingClaim Claim;
  Claim.Id = {Key, std::nullopt};
  Claim.Intent = ClaimIntent::Refuse;
  Claim.Reason = errorKindName(Reason.Kind);
  Claim.Detail = Reason.Remedy.empty()
                     ? Reason.Message
                     : Reason.Message + " (" + Reason.Remedy + ")";
  Claim.GrantedHere = absorbClaims(S, Key);
  PrefixRecord *Record = detail::openRecord(State, Key.Prefix, Now);
  const HeldGrant *Grant =
      Record ? detail::findGrant(*Record, Key.Number) : nullptr;
  const bool Finished = Grant && Grant->Stage == ExecutionStage::Finished;
  if (Record && !Finished && Key.Prefix.Issuer != State.Self)
    detail::putVoid(State, *Record, Key.Number);
  if (Record && !Finished)
    detail::beginGranting(S, std::move(Claim));
  else
    begin(S, std::move(Claim));
  return std::move(S.Effects);
}

ClaimEffects findJob(ClaimState &State, const JobKey &Key, Instant Now) {
  Step S{State, Now, {}};
  PendingClaim Claim;
  Claim.Id = {Key, std::nullopt};
  Claim.Intent = ClaimIntent::Find;
  if (!State.PendingIds.contains(Claim.Id))
    begin(S, std::move(Claim));
  return std::move(S.Effects);
}

ClaimEffects tick(ClaimState &State, Instant Now) {
  Step S{State, Now, {}};
  while (!State.Pending.empty() &&
         State.Pending.begin()->second.Deadline <= Now)
    detail::endWait(S, detail::take(State, State.Pending.begin()->first));
  detail::limitRecords(State);
  if (State.NextExpiry <= Now) {
    State.NextExpiry = Now + std::chrono::seconds(1);
    detail::expireRecords(State, Now);
    detail::expireAnswers(State, Now);
  }
  return std::move(S.Effects);
}

std::optional<Instant> nextDeadline(const ClaimState &State) {
  if (State.Pending.empty())
    return std::nullopt;
  return State.Pending.begin()->second.Deadline;
}

ClaimEffects storeAnswer(ClaimState &State, const JobKey &Key,
                         const BodyDigest &Digest, std::string Bytes,
                         Instant Now) {
  Step S{State, Now, {}};
  const Prefix &Value = Key.Prefix;
  if (PrefixRecord *Record = detail::openRecord(State, Value, Now))
    detail::putGrant(State, *Record, Key.Number, {State.Self, Digest, false},
                     ExecutionStage::Finished);
  const auto Holder = std::ranges::find_if(Value.Members, [&](const VmId &Vm) {
    return Vm != State.Self && !detail::isLost(State, Vm);
  });
  if (Holder != Value.Members.end())
    detail::send(S, *Holder, AnswerCopy{Key, Digest, Bytes});
  detail::keepAnswer(State, Key, Digest, std::move(Bytes), Now);
  return std::move(S.Effects);
}

const std::string *keptAnswer(const ClaimState &State, const JobKey &Key) {
  const KeptAnswer *Answer = detail::findAnswer(State, Key);
  return Answer ? &Answer->Bytes : nullptr;
}

} // namespace sapphiremoor
