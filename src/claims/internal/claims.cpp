#include "claims/claims.h"

#include "claims/internal/answers.h"
#include "claims/internal/steps.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sapphiremoor {

namespace {

using detail::ClaimStep;

constexpr std::size_t MaxMembers = 3;

/// Ends the claim if this VM knows its result, else asks the issuer.
void beginClaim(ClaimStep &Step, PendingClaim Claim) {
  const JobKey Key = Claim.Id.Key;
  if (detail::finishIfExecutedHere(Step, Claim))
    return;
  if (detail::isTooOld(Step.State, Key.Prefix))
    return detail::finishUnknown(Step, Claim, "key_too_old", RetryAdvice::None);
  const PrefixRecord *Record = detail::findRecord(Step.State, Key.Prefix);
  if (!Record || Key.Prefix.Issuer == Step.State.Self)
    return detail::beginGranting(Step, std::move(Claim));
  if (Claim.Intent == ClaimIntent::Claim && Record->Voids.contains(Key.Number))
    Claim.Intent = ClaimIntent::Refuse;
  const HeldGrant *Grant = detail::findGrant(*Record, Key.Number);
  if (Grant && !Grant->Provisional &&
      detail::grantExecutor(*Record, *Grant) != Step.State.Self) {
    const VmId Executor = detail::grantExecutor(*Record, *Grant);
    const BodyDigest Digest = Grant->Digest;
    return detail::onGrantedElsewhere(Step, std::move(Claim), Executor, Digest);
  }
  detail::beginGranting(Step, std::move(Claim));
}

/// Grants the key to \p Executor, since this VM is its issuer.
ForwardResult forwardFromIssuer(ClaimStep &Step, const PendingClaim &Claim,
                                const VmId &Executor) {
  const detail::IssuerVerdict Verdict =
      detail::decideGrant(Step.State, Claim.Id.Key, Executor,
                          ClaimIntent::Claim, *Claim.Id.Digest, Step.Now);
  if (Verdict.Verdict == GrantVerdict::TooOld)
    detail::finishUnknown(Step, Claim, "key_too_old", RetryAdvice::None);
  else if (Verdict.Verdict == GrantVerdict::Void)
    detail::finishNotRun(Step, Claim, "refused");
  else if (Verdict.Verdict == GrantVerdict::Sealed)
    detail::finishNotRun(Step, Claim, "prefix_sealed");
  else if (!detail::finishIfConflict(Step, Claim, Verdict.Digest) &&
           Verdict.Executor != Executor)
    detail::finishWithPass(Step, Claim, Verdict.Executor);
  if (!Step.Effects.empty())
    return {std::nullopt, std::move(Step.Effects.front())};
  return {ProvisionalGrant{Step.State.Self, Executor}, std::nullopt};
}

ForwardResult forwardFromMember(ClaimStep &Step, const PendingClaim &Claim,
                                const VmId &Executor) {
  const JobKey &Key = Claim.Id.Key;
  PrefixRecord &Record =
      *detail::findOrCreateRecord(Step.State, Key.Prefix, Step.Now);
  const HeldGrant *Grant = detail::findGrant(Record, Key.Number);
  if (Grant && !Grant->Provisional) {
    const VmId GrantedExecutor = detail::grantExecutor(Record, *Grant);
    if (detail::finishIfConflict(Step, Claim, Grant->Digest))
      return {std::nullopt, std::move(Step.Effects.front())};
    if (GrantedExecutor != Executor && GrantedExecutor != Step.State.Self)
      return {std::nullopt,
              PassToExecutor{Key, Claim.Id.Digest, GrantedExecutor}};
  }
  if (!detail::holdGrant(Step.State, Record, Key.Number,
                         {Executor, *Claim.Id.Digest, true}))
    return {};
  return {ProvisionalGrant{Step.State.Self, Executor}, std::nullopt};
}

/// Removes the pending claims of \p Key. Returns true if one of them, or a
/// grant recorded here, shows that the issuer granted the key to this VM.
bool removePendingClaims(ClaimStep &Step, const JobKey &Key) {
  bool GrantedHere = false;
  for (const uint64_t RequestNumber : detail::findPending(Step.State, Key))
    GrantedHere |= detail::removePending(Step.State, RequestNumber).GrantedHere;
  const PrefixRecord *Record = detail::findRecord(Step.State, Key.Prefix);
  const HeldGrant *Grant =
      Record ? detail::findGrant(*Record, Key.Number) : nullptr;
  return GrantedHere ||
         (Grant && !Grant->Provisional &&
          detail::grantExecutor(*Record, *Grant) == Step.State.Self);
}

} // namespace

ClaimState makeClaimState(VmId Self, std::string DataCentre,
                          const ClaimLimits &Limits) {
  ClaimState State;
  State.Self = std::move(Self);
  // A late reply to an earlier incarnation of this VM must not match a request
  // of this one, so the numbers start at a value that depends on the
  // incarnation. The shift leaves room to count upwards.
  State.LastRequestNumber = State.Self.Incarnation >> 1;
  State.DataCentre = std::move(DataCentre);
  State.Limits = Limits;
  return State;
}

Prefix issuePrefix(ClaimState &State, const std::string &Team,
                   const std::vector<VmId> &Reachable, Instant Now) {
  Prefix NewPrefix{
      Team, State.DataCentre, State.Self, {State.Self}, ++State.LastSequence};
  for (const VmId &Vm : Reachable)
    if (NewPrefix.Members.size() < MaxMembers &&
        !detail::isMember(NewPrefix, Vm))
      NewPrefix.Members.push_back(Vm);
  detail::findOrCreateRecord(State, NewPrefix, Now);
  return NewPrefix;
}

ForwardResult forwardJob(ClaimState &State, const JobKey &Key,
                         const BodyDigest &Digest, const VmId &Executor,
                         Instant Now) {
  ClaimStep Step{State, Now, {}};
  PendingClaim Claim;
  Claim.Id = {Key, Digest};
  if (detail::finishIfExecutedHere(Step, Claim))
    return {std::nullopt, std::move(Step.Effects.front())};
  if (Executor == State.Self)
    return {};
  if (Key.Prefix.Issuer == State.Self)
    return forwardFromIssuer(Step, Claim, Executor);
  if (detail::isTooOld(State, Key.Prefix)) {
    detail::finishUnknown(Step, Claim, "key_too_old", RetryAdvice::None);
    return {std::nullopt, std::move(Step.Effects.front())};
  }
  if (!detail::isMember(Key.Prefix, State.Self))
    return {};
  return forwardFromMember(Step, Claim, Executor);
}

ClaimEffects claimJob(ClaimState &State, const JobKey &Key,
                      const BodyDigest &Digest,
                      const std::optional<ProvisionalGrant> &Grant,
                      Instant Now) {
  ClaimStep Step{State, Now, {}};
  PendingClaim Claim;
  Claim.Id = {Key, Digest};
  if (Grant && Grant->Executor == State.Self &&
      detail::isMember(Key.Prefix, Grant->Holder))
    Claim.Holders.insert(Grant->Holder);
  const auto PendingIt = State.PendingById.find(Claim.Id);
  if (PendingIt != State.PendingById.end()) {
    State.Pending.at(PendingIt->second).Holders.merge(Claim.Holders);
    return {};
  }
  beginClaim(Step, std::move(Claim));
  return std::move(Step.Effects);
}

ClaimEffects refuseJob(ClaimState &State, const JobKey &Key,
                       const Error &Reason, Instant Now) {
  ClaimStep Step{State, Now, {}};
  PendingClaim Claim;
  Claim.Id = {Key, std::nullopt};
  Claim.Intent = ClaimIntent::Refuse;
  Claim.Reason = errorKindName(Reason.Kind);
  Claim.Detail = Reason.Remedy.empty()
                     ? Reason.Message
                     : Reason.Message + " (" + Reason.Remedy + ")";
  Claim.GrantedHere = removePendingClaims(Step, Key);
  PrefixRecord *Record = detail::findOrCreateRecord(State, Key.Prefix, Now);
  const HeldGrant *Grant =
      Record ? detail::findGrant(*Record, Key.Number) : nullptr;
  const bool Finished = Grant && Grant->Stage == ExecutionStage::Finished;
  if (Record && !Finished && Key.Prefix.Issuer != State.Self)
    detail::recordVoid(State, *Record, Key.Number);
  if (Record && !Finished)
    detail::beginGranting(Step, std::move(Claim));
  else
    beginClaim(Step, std::move(Claim));
  return std::move(Step.Effects);
}

ClaimEffects findJob(ClaimState &State, const JobKey &Key, Instant Now) {
  ClaimStep Step{State, Now, {}};
  PendingClaim Claim;
  Claim.Id = {Key, std::nullopt};
  Claim.Intent = ClaimIntent::Find;
  if (!State.PendingById.contains(Claim.Id))
    beginClaim(Step, std::move(Claim));
  return std::move(Step.Effects);
}

ClaimEffects tick(ClaimState &State, Instant Now) {
  ClaimStep Step{State, Now, {}};
  while (!State.Pending.empty() &&
         State.Pending.begin()->second.Deadline <= Now)
    detail::endPhase(
        Step, detail::removePending(State, State.Pending.begin()->first));
  detail::evictRecords(State);
  if (State.NextExpiryCheck <= Now) {
    State.NextExpiryCheck = Now + std::chrono::seconds(1);
    detail::expireRecords(State, Now);
    detail::expireAnswers(State, Now);
  }
  return std::move(Step.Effects);
}

std::optional<Instant> nextDeadline(const ClaimState &State) {
  if (State.Pending.empty())
    return std::nullopt;
  return State.Pending.begin()->second.Deadline;
}

ClaimEffects storeAnswer(ClaimState &State, const JobKey &Key,
                         const BodyDigest &Digest, std::string Bytes,
                         Instant Now) {
  ClaimStep Step{State, Now, {}};
  const Prefix &KeyPrefix = Key.Prefix;
  if (PrefixRecord *Record = detail::findOrCreateRecord(State, KeyPrefix, Now))
    detail::recordGrant(State, *Record, Key.Number, {State.Self, Digest, false},
                        ExecutionStage::Finished);
  const auto MemberIt =
      std::ranges::find_if(KeyPrefix.Members, [&](const VmId &Vm) {
        return Vm != State.Self && !detail::isUnavailable(State, Vm);
      });
  if (MemberIt != KeyPrefix.Members.end())
    detail::send(Step, *MemberIt, AnswerCopy{Key, Digest, Bytes});
  detail::addAnswer(State, Key, Digest, std::move(Bytes), Now);
  return std::move(Step.Effects);
}

const std::string *findStoredAnswer(const ClaimState &State,
                                    const JobKey &Key) {
  const StoredAnswer *Answer = detail::findAnswer(State, Key);
  return Answer ? &Answer->Bytes : nullptr;
}

} // namespace sapphiremoor
