#include "claims/internal/answers.h"
#include "claims/internal/steps.h"

#include <algorithm>
#include <utility>

namespace sapphiremoor::detail {

namespace {

/// Ends the claim by promising that this VM never starts the key, or joins the
/// job if this VM has started it.
void finishWithPromise(ClaimStep &Step, const PendingClaim &Claim) {
  if (finishIfExecutedHere(Step, Claim))
    return;
  if (promise(Step, Claim.Id.Key))
    return finishNotRun(Step, Claim, "prefix_sealed");
  finishUnknown(Step, Claim, "key_too_old", RetryAdvice::None);
}

/// Continues after a majority of the members has sealed the prefix. Only
/// executors that the members reported may have the grant, and only one of them
/// if a report shows a grant by the issuer.
void resolveSeal(ClaimStep &Step, PendingClaim Claim) {
  const auto GrantedReport =
      std::ranges::find_if(Claim.Reports, [](const GrantReport &Report) {
        return !Report.Provisional;
      });
  std::set<VmId> Candidates;
  if (GrantedReport != Claim.Reports.end()) {
    if (finishIfConflict(Step, Claim, GrantedReport->Digest))
      return;
    Candidates.insert(GrantedReport->Executor);
  } else {
    for (const GrantReport &Report : Claim.Reports)
      Candidates.insert(Report.Executor);
  }
  Candidates.erase(Step.State.Self);
  if (Candidates.empty())
    return finishWithPromise(Step, Claim);
  // This VM must promise as well: it must not start the key after it has asked
  // another executor.
  if (finishIfExecutedHere(Step, Claim))
    return;
  if (!promise(Step, Claim.Id.Key))
    return finishUnknown(Step, Claim, "key_too_old", RetryAdvice::None);
  beginQuerying(Step, std::move(Claim), Candidates);
}

/// Continues with the seal reply of the issuer, whose record alone decides.
void resolveIssuerSeal(ClaimStep &Step, PendingClaim Claim,
                       const std::optional<GrantReport> &Report) {
  if (!Report)
    return finishNotRun(Step, Claim, "prefix_sealed");
  if (finishIfConflict(Step, Claim, Report->Digest))
    return;
  if (Report->Executor == Step.State.Self)
    return finishWithPromise(Step, Claim);
  onGrantedElsewhere(Step, std::move(Claim), Report->Executor, Report->Digest);
}

/// Ends the phase if a majority has sealed the prefix or no more replies are
/// awaited.
void checkSealing(ClaimStep &Step, uint64_t RequestNumber) {
  const PendingClaim &Claim = Step.State.Pending.at(RequestNumber);
  if (Claim.SealedMembers.size() >= majoritySize(Claim.Id.Key.Prefix))
    return resolveSeal(Step, removePending(Step.State, RequestNumber));
  if (Claim.Awaited.empty())
    endPhase(Step, removePending(Step.State, RequestNumber));
}

std::optional<GrantReport> makeReport(const PrefixRecord &Record,
                                      uint64_t Number) {
  const HeldGrant *Grant = findGrant(Record, Number);
  if (!Grant)
    return std::nullopt;
  return GrantReport{grantExecutor(Record, *Grant), Grant->Digest,
                     Grant->Provisional};
}

void finishUnresolved(ClaimStep &Step, const PendingClaim &Claim) {
  if (Claim.SealFailed && Claim.AnyTooOld)
    return finishUnknown(Step, Claim, "key_too_old", RetryAdvice::None);
  if (Claim.SealFailed)
    return finishUnknown(Step, Claim, "home_unreachable", RetryAdvice::SameKey);
  const bool AllEnded =
      std::ranges::all_of(Claim.UnresolvedExecutors, [&](const VmId &Executor) {
        return hasEnded(Step.State, Executor);
      });
  finishUnknown(Step, Claim, "executor_lost",
                AllEnded ? RetryAdvice::None : RetryAdvice::SameKey);
}

} // namespace

SealReply sealRecord(ClaimStep &Step, const JobKey &Key,
                     uint64_t RequestNumber) {
  if (!isMember(Key.Prefix, Step.State.Self))
    return {RequestNumber, SealVerdict::NotMember, std::nullopt};
  PrefixRecord *Record = findOrCreateRecord(Step.State, Key.Prefix, Step.Now);
  if (!Record)
    return {RequestNumber, SealVerdict::TooOld, std::nullopt};
  Record->Sealed = true;
  return {RequestNumber, SealVerdict::Sealed, makeReport(*Record, Key.Number)};
}

void beginSealing(ClaimStep &Step, PendingClaim Claim) {
  const JobKey Key = Claim.Id.Key;
  const SealReply OwnReply = sealRecord(Step, Key, 0);
  if (OwnReply.Verdict == SealVerdict::TooOld)
    return finishUnknown(Step, Claim, "key_too_old", RetryAdvice::None);
  Claim.Phase = ClaimPhase::Sealing;
  Claim.Awaited.clear();
  if (OwnReply.Verdict == SealVerdict::Sealed)
    Claim.SealedMembers.insert(Step.State.Self);
  if (OwnReply.Report)
    Claim.Reports.push_back(*OwnReply.Report);
  for (const VmId &Member : Key.Prefix.Members)
    if (Member != Step.State.Self && !isUnavailable(Step.State, Member))
      Claim.Awaited.insert(Member);
  const std::set<VmId> Members = Claim.Awaited;
  const uint64_t RequestNumber = addPending(Step, std::move(Claim));
  for (const VmId &Member : Members)
    send(Step, Member, SealRequest{Key, RequestNumber});
  checkSealing(Step, RequestNumber);
}

void onSealReply(ClaimStep &Step, uint64_t RequestNumber, const VmId &Sender,
                 const SealReply &Reply) {
  PendingClaim &Claim = Step.State.Pending.at(RequestNumber);
  Claim.Awaited.erase(Sender);
  if (Reply.Verdict == SealVerdict::TooOld)
    Claim.AnyTooOld = true;
  if (Reply.Verdict == SealVerdict::Sealed) {
    if (Sender == Claim.Id.Key.Prefix.Issuer)
      return resolveIssuerSeal(Step, removePending(Step.State, RequestNumber),
                               Reply.Report);
    Claim.SealedMembers.insert(Sender);
    if (Reply.Report)
      Claim.Reports.push_back(*Reply.Report);
  }
  checkSealing(Step, RequestNumber);
}

void beginQuerying(ClaimStep &Step, PendingClaim Claim,
                   const std::set<VmId> &Candidates) {
  const JobKey Key = Claim.Id.Key;
  Claim.Phase = ClaimPhase::Querying;
  Claim.UnresolvedExecutors = Candidates;
  Claim.Awaited = Claim.SealFailed ? Claim.SealedMembers : Candidates;
  if (!Claim.SealFailed)
    Claim.Awaited.insert(Key.Prefix.Members.begin(), Key.Prefix.Members.end());
  std::erase_if(Claim.Awaited, [&](const VmId &Vm) {
    return Vm == Step.State.Self || isUnavailable(Step.State, Vm);
  });
  if (Claim.Awaited.empty())
    return finishUnresolved(Step, Claim);
  const std::set<VmId> Targets = Claim.Awaited;
  const uint64_t RequestNumber = addPending(Step, std::move(Claim));
  for (const VmId &Vm : Targets)
    send(Step, Vm, AnswerQuery{Key, RequestNumber, Candidates.contains(Vm)});
}

void onAnswerReply(ClaimStep &Step, uint64_t RequestNumber, const VmId &Sender,
                   const AnswerReply &Reply) {
  PendingClaim Claim = removePending(Step.State, RequestNumber);
  Claim.Awaited.erase(Sender);
  const bool IsCandidate = Claim.UnresolvedExecutors.contains(Sender);
  if (Reply.Status == AnswerStatus::Stored) {
    addAnswer(Step.State, Claim.Id.Key, Reply.Digest, Reply.Bytes, Step.Now);
    finishIfExecutedHere(Step, Claim);
    return;
  }
  if (Reply.Status == AnswerStatus::Running && IsCandidate)
    return finishWithPass(Step, Claim, Sender);
  if (Reply.Status == AnswerStatus::Promised && IsCandidate) {
    Claim.UnresolvedExecutors.erase(Sender);
    if (Claim.UnresolvedExecutors.empty())
      return finishNotRun(Step, Claim, "prefix_sealed");
  }
  if (Claim.Awaited.empty())
    return finishUnresolved(Step, Claim);
  restorePending(Step.State, RequestNumber, std::move(Claim));
}

void endPhase(ClaimStep &Step, PendingClaim Claim) {
  switch (Claim.Phase) {
  case ClaimPhase::Granting:
    return onIssuerUnavailable(Step, std::move(Claim));
  case ClaimPhase::Holding:
    return continueHolding(Step, std::move(Claim));
  case ClaimPhase::Sealing:
    Claim.SealFailed = true;
    return beginQuerying(Step, std::move(Claim), {});
  case ClaimPhase::Querying:
    return finishUnresolved(Step, Claim);
  }
}

void onPeerUnavailable(ClaimStep &Step, uint64_t RequestNumber,
                       const VmId &Peer) {
  const auto PendingIt = Step.State.Pending.find(RequestNumber);
  if (PendingIt == Step.State.Pending.end() ||
      PendingIt->second.Awaited.erase(Peer) == 0 ||
      !PendingIt->second.Awaited.empty())
    return;
  endPhase(Step, removePending(Step.State, RequestNumber));
}

} // namespace sapphiremoor::detail
