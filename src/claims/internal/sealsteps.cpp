#include "claims/internal/answers.h"
#include "claims/internal/steps.h"

#include <algorithm>
#include <utility>

namespace sapphiremoor::detail {

namespace {

/// Ends the claim with the promise of this VM, or with what it has started.
void finishWithPromise(Step &S, const PendingClaim &Claim) {
  if (finishIfExecutedHere(S, Claim))
    return;
  if (promise(S, Claim.Id.Key))
    return finishNotRun(S, Claim, "prefix_sealed");
  finishUnknown(S, Claim, "key_too_old", RetryAdvice::None);
}

/// A majority has sealed the prefix: only reported executors may have the
/// grant, and only the reported one if the issuer's own grant is among them.
void resolveSeal(Step &S, PendingClaim Claim) {
  const auto Granted =
      std::ranges::find_if(Claim.Reports, [](const GrantReport &Report) {
        return !Report.Provisional;
      });
  std::set<VmId> Candidates;
  if (Granted != Claim.Reports.end()) {
    if (finishIfConflict(S, Claim, Granted->Digest))
      return;
    Candidates.insert(Granted->Executor);
  } else {
    for (const GrantReport &Report : Claim.Reports)
      Candidates.insert(Report.Executor);
  }
  Candidates.erase(S.State.Self);
  if (Candidates.empty())
    return finishWithPromise(S, Claim);
  // The promise of this VM is needed as well; it must not start the key after
  // another executor was asked.
  if (finishIfExecutedHere(S, Claim))
    return;
  if (!promise(S, Claim.Id.Key))
    return finishUnknown(S, Claim, "key_too_old", RetryAdvice::None);
  beginAsking(S, std::move(Claim), Candidates);
}

/// The issuer itself has answered: its record decides alone.
void resolveByIssuer(Step &S, PendingClaim Claim,
                     const std::optional<GrantReport> &Report) {
  if (!Report)
    return finishNotRun(S, Claim, "prefix_sealed");
  if (finishIfConflict(S, Claim, Report->Digest))
    return;
  if (Report->Executor == S.State.Self)
    return finishWithPromise(S, Claim);
  grantedElsewhere(S, std::move(Claim), Report->Executor, Report->Digest);
}

/// Goes on if the awaited replies no longer matter or no more are awaited.
void checkSealing(Step &S, uint64_t Request) {
  const PendingClaim &Claim = S.State.Pending.at(Request);
  if (Claim.Sealed.size() >= majorityOf(Claim.Id.Key.Prefix))
    return resolveSeal(S, take(S.State, Request));
  if (Claim.Awaited.empty())
    endWait(S, take(S.State, Request));
}

std::optional<GrantReport> ownReport(const PrefixRecord &Record,
                                     uint64_t Number) {
  const HeldGrant *Grant = findGrant(Record, Number);
  if (!Grant)
    return std::nullopt;
  return GrantReport{executorOf(Record, *Grant), Grant->Digest,
                     Grant->Provisional};
}

void finishUnasked(Step &S, const PendingClaim &Claim) {
  if (Claim.SealFailed && Claim.SomeTooOld)
    return finishUnknown(S, Claim, "key_too_old", RetryAdvice::None);
  if (Claim.SealFailed)
    return finishUnknown(S, Claim, "home_unreachable", RetryAdvice::SameKey);
  const bool AllGone =
      std::ranges::all_of(Claim.Unresolved, [&](const VmId &Executor) {
        return isGone(S.State, Executor);
      });
  finishUnknown(S, Claim, "executor_lost",
                AllGone ? RetryAdvice::None : RetryAdvice::SameKey);
}

} // namespace

SealReply sealRecord(Step &S, const JobKey &Key, uint64_t Request) {
  if (!isMember(Key.Prefix, S.State.Self))
    return {Request, SealVerdict::NotMember, std::nullopt};
  PrefixRecord *Record = openRecord(S.State, Key.Prefix, S.Now);
  if (!Record)
    return {Request, SealVerdict::TooOld, std::nullopt};
  Record->Sealed = true;
  return {Request, SealVerdict::Sealed, ownReport(*Record, Key.Number)};
}

void beginSealing(Step &S, PendingClaim Claim) {
  const JobKey Key = Claim.Id.Key;
  const SealReply Own = sealRecord(S, Key, 0);
  if (Own.Verdict == SealVerdict::TooOld)
    return finishUnknown(S, Claim, "key_too_old", RetryAdvice::None);
  Claim.Phase = ClaimPhase::Sealing;
  Claim.Awaited.clear();
  if (Own.Verdict == SealVerdict::Sealed)
    Claim.Sealed.insert(S.State.Self);
  if (Own.Report)
    Claim.Reports.push_back(*Own.Report);
  for (const VmId &Member : Key.Prefix.Members)
    if (Member != S.State.Self && !isLost(S.State, Member))
      Claim.Awaited.insert(Member);
  const std::set<VmId> Members = Claim.Awaited;
  const uint64_t Request = park(S, std::move(Claim));
  for (const VmId &Member : Members)
    send(S, Member, SealRequest{Key, Request});
  checkSealing(S, Request);
}

void onSealReply(Step &S, uint64_t Request, const VmId &From,
                 const SealReply &Reply) {
  PendingClaim &Claim = S.State.Pending.at(Request);
  Claim.Awaited.erase(From);
  if (Reply.Verdict == SealVerdict::TooOld)
    Claim.SomeTooOld = true;
  if (Reply.Verdict == SealVerdict::Sealed) {
    if (From == Claim.Id.Key.Prefix.Issuer)
      return resolveByIssuer(S, take(S.State, Request), Reply.Report);
    Claim.Sealed.insert(From);
    if (Reply.Report)
      Claim.Reports.push_back(*Reply.Report);
  }
  checkSealing(S, Request);
}

void beginAsking(Step &S, PendingClaim Claim,
                 const std::set<VmId> &Candidates) {
  const JobKey Key = Claim.Id.Key;
  Claim.Phase = ClaimPhase::Asking;
  Claim.Unresolved = Candidates;
  Claim.Awaited = Claim.SealFailed ? Claim.Sealed : Candidates;
  if (!Claim.SealFailed)
    Claim.Awaited.insert(Key.Prefix.Members.begin(), Key.Prefix.Members.end());
  std::erase_if(Claim.Awaited, [&](const VmId &Vm) {
    return Vm == S.State.Self || isLost(S.State, Vm);
  });
  if (Claim.Awaited.empty())
    return finishUnasked(S, Claim);
  const std::set<VmId> Targets = Claim.Awaited;
  const uint64_t Request = park(S, std::move(Claim));
  for (const VmId &Vm : Targets)
    send(S, Vm, AnswerQuery{Key, Request, Candidates.contains(Vm)});
}

void onAnswerReply(Step &S, uint64_t Request, const VmId &From,
                   const AnswerReply &Reply) {
  PendingClaim Claim = take(S.State, Request);
  Claim.Awaited.erase(From);
  const bool Candidate = Claim.Unresolved.contains(From);
  if (Reply.Status == AnswerStatus::Kept) {
    keepAnswer(S.State, Claim.Id.Key, Reply.Digest, Reply.Bytes, S.Now);
    finishIfExecutedHere(S, Claim);
    return;
  }
  if (Reply.Status == AnswerStatus::Running && Candidate)
    return finishPass(S, Claim, From);
  if (Reply.Status == AnswerStatus::Promised && Candidate) {
    Claim.Unresolved.erase(From);
    if (Claim.Unresolved.empty())
      return finishNotRun(S, Claim, "prefix_sealed");
  }
  if (Claim.Awaited.empty())
    return finishUnasked(S, Claim);
  restore(S.State, Request, std::move(Claim));
}

void endWait(Step &S, PendingClaim Claim) {
  switch (Claim.Phase) {
  case ClaimPhase::Granting:
    return issuerSilent(S, std::move(Claim));
  case ClaimPhase::Holding:
    return continueHolding(S, std::move(Claim));
  case ClaimPhase::Sealing:
    Claim.SealFailed = true;
    return beginAsking(S, std::move(Claim), {});
  case ClaimPhase::Asking:
    return finishUnasked(S, Claim);
  }
}

void onPeerLost(Step &S, uint64_t Request, const VmId &Peer) {
  const auto Found = S.State.Pending.find(Request);
  if (Found == S.State.Pending.end() ||
      Found->second.Awaited.erase(Peer) == 0 || !Found->second.Awaited.empty())
    return;
  endWait(S, take(S.State, Request));
}

} // namespace sapphiremoor::detail
