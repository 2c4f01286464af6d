#include "claims/internal/steps.h"

#include <algorithm>
#include <utility>

namespace sapphiremoor::detail {

namespace {

/// Starts the job, unless this VM has promised otherwise in the meantime.
void startJob(Step &S, const PendingClaim &Claim) {
  const JobKey &Key = Claim.Id.Key;
  PrefixRecord *Record = openRecord(S.State, Key.Prefix, S.Now);
  if (!Record)
    return finishUnknown(S, Claim, "key_too_old", RetryAdvice::None);
  if (Record->Voids.contains(Key.Number))
    return finishNotRun(S, Claim, "refused");
  putGrant(S.State, *Record, Key.Number,
           {S.State.Self, *Claim.Id.Digest, false}, ExecutionStage::Started);
  S.Effects.emplace_back(StartJob{Key, *Claim.Id.Digest});
}

/// Gives up a granted key because no majority holds the grant.
void giveUp(Step &S, PendingClaim Claim) {
  if (!promise(S, Claim.Id.Key))
    return finishUnknown(S, Claim, "key_too_old", RetryAdvice::None);
  Claim.Intent = ClaimIntent::Refuse;
  Claim.Reason = "no_majority";
  Claim.Detail = "too few members of the key's prefix are reachable to start "
                 "the job; obtain a new prefix with POST /v1/prefixes";
  beginGranting(S, std::move(Claim));
}

void grantedHere(Step &S, PendingClaim Claim, const BodyDigest &Digest) {
  const JobKey Key = Claim.Id.Key;
  if (finishIfExecutedHere(S, Claim) || finishIfConflict(S, Claim, Digest))
    return;
  if (Claim.Intent == ClaimIntent::Refuse)
    return finishNotRun(S, Claim, "refused");
  PrefixRecord *Record = openRecord(S.State, Key.Prefix, S.Now);
  if (!Record)
    return finishUnknown(S, Claim, "key_too_old", RetryAdvice::None);
  if (Record->Voids.contains(Key.Number))
    return finishNotRun(S, Claim, "refused");
  if (Claim.Intent == ClaimIntent::Find)
    return finishUnknown(S, Claim, "not_submitted", RetryAdvice::SameKey);
  Claim.GrantedHere = true;
  Claim.Holders.insert(Key.Prefix.Issuer);
  if (isMember(Key.Prefix, S.State.Self) &&
      holdGrant(S.State, *Record, Key.Number, {S.State.Self, Digest, false}))
    Claim.Holders.insert(S.State.Self);
  continueHolding(S, std::move(Claim));
}

} // namespace

void beginGranting(Step &S, PendingClaim Claim) {
  const JobKey Key = Claim.Id.Key;
  const BodyDigest Digest = Claim.Id.Digest.value_or(BodyDigest{});
  const ClaimIntent Intent = Claim.Intent;
  const VmId &Issuer = Key.Prefix.Issuer;
  if (Issuer == S.State.Self)
    return applyVerdict(
        S, std::move(Claim),
        decideAtIssuer(S.State, Key, S.State.Self, Intent, Digest, S.Now));
  if (Intent == ClaimIntent::Claim && Claim.Holders.contains(Issuer))
    return grantedHere(S, std::move(Claim), Digest);
  if (isLost(S.State, Issuer))
    return issuerSilent(S, std::move(Claim));
  Claim.Phase = ClaimPhase::Granting;
  Claim.Awaited = {Issuer};
  const uint64_t Request = park(S, std::move(Claim));
  send(S, Issuer, GrantRequest{Key, Request, Intent, Digest});
}

void issuerSilent(Step &S, PendingClaim Claim) {
  // The issuer grants a key once, so the promise of the only executor that has
  // the grant is enough.
  if (Claim.Intent == ClaimIntent::Refuse && Claim.GrantedHere)
    return finishNotRun(S, Claim, "refused");
  beginSealing(S, std::move(Claim));
}

void applyVerdict(Step &S, PendingClaim Claim, const IssuerVerdict &Verdict) {
  switch (Verdict.Verdict) {
  case GrantVerdict::Granted:
    if (Verdict.Executor == S.State.Self)
      return grantedHere(S, std::move(Claim), Verdict.Digest);
    return grantedElsewhere(S, std::move(Claim), Verdict.Executor,
                            Verdict.Digest);
  case GrantVerdict::Void:
    return finishNotRun(S, Claim, "refused");
  case GrantVerdict::Sealed:
    return finishNotRun(S, Claim, "prefix_sealed");
  case GrantVerdict::NotGranted:
    return finishUnknown(S, Claim, "not_submitted", RetryAdvice::SameKey);
  case GrantVerdict::TooOld:
    return finishUnknown(S, Claim, "key_too_old", RetryAdvice::None);
  case GrantVerdict::NotIssuer:
    return issuerSilent(S, std::move(Claim));
  }
}

void grantedElsewhere(Step &S, PendingClaim Claim, const VmId &Executor,
                      const BodyDigest &Digest) {
  if (finishIfConflict(S, Claim, Digest) || finishIfExecutedHere(S, Claim))
    return;
  if (!isLost(S.State, Executor))
    return finishPass(S, Claim, Executor);
  beginAsking(S, std::move(Claim), {Executor});
}

void continueHolding(Step &S, PendingClaim Claim) {
  const JobKey Key = Claim.Id.Key;
  if (Claim.Holders.size() >= majorityOf(Key.Prefix))
    return startJob(S, Claim);
  const auto Next =
      std::ranges::find_if(Key.Prefix.Members, [&](const VmId &Member) {
        return Member != S.State.Self && !Claim.Holders.contains(Member) &&
               !Claim.Asked.contains(Member) && !isLost(S.State, Member);
      });
  if (Next == Key.Prefix.Members.end())
    return giveUp(S, std::move(Claim));
  Claim.Phase = ClaimPhase::Holding;
  Claim.Awaited = {*Next};
  Claim.Asked.insert(*Next);
  const BodyDigest Digest = *Claim.Id.Digest;
  const uint64_t Request = park(S, std::move(Claim));
  send(S, *Next, HoldRequest{Key, Request, Digest});
}

void onHoldReply(Step &S, uint64_t Request, const VmId &From, bool Held) {
  PendingClaim Claim = take(S.State, Request);
  if (Held)
    Claim.Holders.insert(From);
  continueHolding(S, std::move(Claim));
}

} // namespace sapphiremoor::detail
