#include "claims/internal/steps.h"

#include <algorithm>
#include <utility>

namespace sapphiremoor::detail {

namespace {

/// Starts the job, unless this VM has promised in the meantime not to start it.
void startJob(ClaimStep &Step, const PendingClaim &Claim) {
  const JobKey &Key = Claim.Id.Key;
  PrefixRecord *Record = findOrCreateRecord(Step.State, Key.Prefix, Step.Now);
  if (!Record)
    return finishUnknown(Step, Claim, "key_too_old", RetryAdvice::None);
  if (Record->Voids.contains(Key.Number))
    return finishNotRun(Step, Claim, "refused");
  recordGrant(Step.State, *Record, Key.Number,
              {Step.State.Self, *Claim.Id.Digest, false},
              ExecutionStage::Started);
  Step.Effects.emplace_back(StartJob{Key, *Claim.Id.Digest});
}

/// Abandons a granted key because no majority of the members holds the grant.
void abandonGrant(ClaimStep &Step, PendingClaim Claim) {
  if (!promise(Step, Claim.Id.Key))
    return finishUnknown(Step, Claim, "key_too_old", RetryAdvice::None);
  Claim.Intent = ClaimIntent::Refuse;
  Claim.Reason = "no_majority";
  Claim.Detail = "too few members of the key's prefix are reachable to start "
                 "the job; obtain a new prefix with POST /v1/prefixes";
  beginGranting(Step, std::move(Claim));
}

void onGrantedHere(ClaimStep &Step, PendingClaim Claim,
                   const BodyDigest &Digest) {
  const JobKey Key = Claim.Id.Key;
  if (finishIfExecutedHere(Step, Claim) ||
      finishIfConflict(Step, Claim, Digest))
    return;
  if (Claim.Intent == ClaimIntent::Refuse)
    return finishNotRun(Step, Claim, "refused");
  PrefixRecord *Record = findOrCreateRecord(Step.State, Key.Prefix, Step.Now);
  if (!Record)
    return finishUnknown(Step, Claim, "key_too_old", RetryAdvice::None);
  if (Record->Voids.contains(Key.Number))
    return finishNotRun(Step, Claim, "refused");
  if (Claim.Intent == ClaimIntent::Find)
    return finishUnknown(Step, Claim, "not_submitted", RetryAdvice::SameKey);
  Claim.GrantedHere = true;
  Claim.Holders.insert(Key.Prefix.Issuer);
  if (isMember(Key.Prefix, Step.State.Self) &&
      holdGrant(Step.State, *Record, Key.Number,
                {Step.State.Self, Digest, false}))
    Claim.Holders.insert(Step.State.Self);
  continueHolding(Step, std::move(Claim));
}

} // namespace

void beginGranting(ClaimStep &Step, PendingClaim Claim) {
  const JobKey Key = Claim.Id.Key;
  const BodyDigest Digest = Claim.Id.Digest.value_or(BodyDigest{});
  const ClaimIntent Intent = Claim.Intent;
  const VmId &Issuer = Key.Prefix.Issuer;
  if (Issuer == Step.State.Self)
    return applyVerdict(Step, std::move(Claim),
                        decideGrant(Step.State, Key, Step.State.Self, Intent,
                                    Digest, Step.Now));
  if (Intent == ClaimIntent::Claim && Claim.Holders.contains(Issuer))
    return onGrantedHere(Step, std::move(Claim), Digest);
  if (isUnavailable(Step.State, Issuer))
    return onIssuerUnavailable(Step, std::move(Claim));
  Claim.Phase = ClaimPhase::Granting;
  Claim.Awaited = {Issuer};
  const uint64_t RequestNumber = addPending(Step, std::move(Claim));
  send(Step, Issuer, GrantRequest{Key, RequestNumber, Intent, Digest});
}

void onIssuerUnavailable(ClaimStep &Step, PendingClaim Claim) {
  // The issuer grants a key only once, so it is enough that the only executor
  // with the grant promises not to start it.
  if (Claim.Intent == ClaimIntent::Refuse && Claim.GrantedHere)
    return finishNotRun(Step, Claim, "refused");
  beginSealing(Step, std::move(Claim));
}

void applyVerdict(ClaimStep &Step, PendingClaim Claim,
                  const IssuerVerdict &Verdict) {
  switch (Verdict.Verdict) {
  case GrantVerdict::Granted:
    if (Verdict.Executor == Step.State.Self)
      return onGrantedHere(Step, std::move(Claim), Verdict.Digest);
    return onGrantedElsewhere(Step, std::move(Claim), Verdict.Executor,
                              Verdict.Digest);
  case GrantVerdict::Void:
    return finishNotRun(Step, Claim, "refused");
  case GrantVerdict::Sealed:
    return finishNotRun(Step, Claim, "prefix_sealed");
  case GrantVerdict::NotGranted:
    return finishUnknown(Step, Claim, "not_submitted", RetryAdvice::SameKey);
  case GrantVerdict::TooOld:
    return finishUnknown(Step, Claim, "key_too_old", RetryAdvice::None);
  case GrantVerdict::NotIssuer:
    return onIssuerUnavailable(Step, std::move(Claim));
  }
}

void onGrantedElsewhere(ClaimStep &Step, PendingClaim Claim,
                        const VmId &Executor, const BodyDigest &Digest) {
  if (finishIfConflict(Step, Claim, Digest) ||
      finishIfExecutedHere(Step, Claim))
    return;
  if (!isUnavailable(Step.State, Executor))
    return finishWithPass(Step, Claim, Executor);
  beginQuerying(Step, std::move(Claim), {Executor});
}

void continueHolding(ClaimStep &Step, PendingClaim Claim) {
  const JobKey Key = Claim.Id.Key;
  if (Claim.Holders.size() >= majoritySize(Key.Prefix))
    return startJob(Step, Claim);
  const auto MemberIt =
      std::ranges::find_if(Key.Prefix.Members, [&](const VmId &Member) {
        return Member != Step.State.Self && !Claim.Holders.contains(Member) &&
               !Claim.AskedMembers.contains(Member) &&
               !isUnavailable(Step.State, Member);
      });
  if (MemberIt == Key.Prefix.Members.end())
    return abandonGrant(Step, std::move(Claim));
  Claim.Phase = ClaimPhase::Holding;
  Claim.Awaited = {*MemberIt};
  Claim.AskedMembers.insert(*MemberIt);
  const BodyDigest Digest = *Claim.Id.Digest;
  const uint64_t RequestNumber = addPending(Step, std::move(Claim));
  send(Step, *MemberIt, HoldRequest{Key, RequestNumber, Digest});
}

void onHoldReply(ClaimStep &Step, uint64_t RequestNumber, const VmId &Sender,
                 bool Held) {
  PendingClaim Claim = removePending(Step.State, RequestNumber);
  if (Held)
    Claim.Holders.insert(Sender);
  continueHolding(Step, std::move(Claim));
}

} // namespace sapphiremoor::detail
