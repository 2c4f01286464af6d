#include "claims/internal/pending.h"

#include "claims/internal/answers.h"

#include <algorithm>
#include <utility>

namespace sapphiremoor::detail {

bool isGone(const ClaimState &State, const VmId &Vm) {
  if (Vm.Name == State.Self.Name)
    return Vm != State.Self;
  const auto Peer = State.Peers.find(Vm.Name);
  return Peer != State.Peers.end() &&
         Peer->second.Incarnation != Vm.Incarnation;
}

bool isLost(const ClaimState &State, const VmId &Vm) {
  const auto Peer = State.Peers.find(Vm.Name);
  const bool Down = Peer != State.Peers.end() && !Peer->second.Up;
  return Down || isGone(State, Vm);
}

uint64_t park(Step &S, PendingClaim Claim) {
  const uint64_t Request = ++S.State.LastRequest;
  Claim.Deadline = S.Now + S.State.Limits.ClaimTimeout;
  S.State.PendingIds[Claim.Id] = Request;
  S.State.Pending.emplace(Request, std::move(Claim));
  return Request;
}

PendingClaim take(ClaimState &State, uint64_t Request) {
  auto Node = State.Pending.extract(Request);
  State.PendingIds.erase(Node.mapped().Id);
  return std::move(Node.mapped());
}

void restore(ClaimState &State, uint64_t Request, PendingClaim Claim) {
  State.PendingIds[Claim.Id] = Request;
  State.Pending.emplace(Request, std::move(Claim));
}

std::vector<uint64_t> pendingOf(const ClaimState &State, const JobKey &Key) {
  std::vector<uint64_t> Requests;
  auto Position = State.PendingIds.lower_bound(ClaimId{Key, std::nullopt});
  for (; Position != State.PendingIds.end() && Position->first.Key == Key;
       ++Position)
    Requests.push_back(Position->second);
  return Requests;
}

bool mayStart(const ClaimState &State, const JobKey &Key) {
  return std::ranges::any_of(pendingOf(State, Key), [&](uint64_t Request) {
    const PendingClaim &Claim = State.Pending.at(Request);
    return Claim.Intent == ClaimIntent::Claim &&
           (Claim.Phase == ClaimPhase::Granting ||
            Claim.Phase == ClaimPhase::Holding);
  });
}

void send(Step &S, const VmId &To, ClaimMessage Message) {
  S.Effects.emplace_back(SendClaim{To, std::move(Message)});
}

void finishNotRun(Step &S, const PendingClaim &Claim, std::string Reason) {
  Decide Result{Claim.Id.Key,
                Claim.Id.Digest,
                ClaimOutcome::NotRun,
                std::move(Reason),
                "no task of this key has started or will start; use a new "
                "number",
                RetryAdvice::NewKey};
  if (Result.Reason == "prefix_sealed")
    Result.Detail = "no task of this key has started or will start; obtain a "
                    "new prefix with POST /v1/prefixes";
  if (Claim.Intent == ClaimIntent::Refuse && !Claim.Reason.empty()) {
    Result.Reason = Claim.Reason;
    Result.Detail = Claim.Detail;
  }
  S.Effects.emplace_back(std::move(Result));
}

void finishUnknown(Step &S, const PendingClaim &Claim, std::string Reason,
                   RetryAdvice Retry) {
  S.Effects.emplace_back(Decide{
      Claim.Id.Key, Claim.Id.Digest, ClaimOutcome::Unknown, std::move(Reason),
      "it is not known whether the job has run", Retry});
}

void finishConflict(Step &S, const PendingClaim &Claim) {
  S.Effects.emplace_back(
      Decide{Claim.Id.Key, Claim.Id.Digest, ClaimOutcome::Conflict, "conflict",
             "this key was used for a job with another body; use a new number",
             RetryAdvice::NewKey});
}

void finishJoin(Step &S, const PendingClaim &Claim) {
  S.Effects.emplace_back(JoinJob{Claim.Id.Key, Claim.Id.Digest});
}

void finishPass(Step &S, const PendingClaim &Claim, const VmId &Executor) {
  S.Effects.emplace_back(
      PassToExecutor{Claim.Id.Key, Claim.Id.Digest, Executor});
}

bool finishIfConflict(Step &S, const PendingClaim &Claim,
                      const BodyDigest &Digest) {
  if (!Claim.Id.Digest || *Claim.Id.Digest == Digest)
    return false;
  finishConflict(S, Claim);
  return true;
}

bool finishIfExecutedHere(Step &S, const PendingClaim &Claim) {
  const JobKey &Key = Claim.Id.Key;
  if (const KeptAnswer *Answer = findAnswer(S.State, Key)) {
    if (!finishIfConflict(S, Claim, Answer->Digest))
      finishJoin(S, Claim);
    return true;
  }
  const PrefixRecord *Record = findRecord(S.State, Key.Prefix);
  const HeldGrant *Grant = Record ? findGrant(*Record, Key.Number) : nullptr;
  if (!Grant || Grant->Stage == ExecutionStage::NotStarted)
    return false;
  if (finishIfConflict(S, Claim, Grant->Digest))
    return true;
  if (Grant->Stage == ExecutionStage::Started)
    finishJoin(S, Claim);
  else
    finishUnknown(S, Claim, "answer_expired", RetryAdvice::None);
  return true;
}

bool promise(Step &S, const JobKey &Key) {
  if (Key.Prefix.Issuer == S.State.Self) {
    const IssuerVerdict Verdict = decideAtIssuer(
        S.State, Key, S.State.Self, ClaimIntent::Refuse, {}, S.Now);
    // A key granted to another executor cannot be started by the issuer.
    return Verdict.Verdict != GrantVerdict::TooOld;
  }
  PrefixRecord *Record = openRecord(S.State, Key.Prefix, S.Now);
  if (!Record)
    return false;
  const HeldGrant *Grant = findGrant(*Record, Key.Number);
  if (Grant && Grant->Stage != ExecutionStage::NotStarted)
    return false;
  putVoid(S.State, *Record, Key.Number);
  return true;
}

} // namespace sapphiremoor::detail
