#include "claims/internal/pending.h"

#include "claims/internal/answers.h"

#include <algorithm>
#include <utility>

namespace sapphiremoor::detail {

bool hasEnded(const ClaimState &State, const VmId &Vm) {
  if (Vm.Name == State.Self.Name)
    return Vm != State.Self;
  const auto PeerIt = State.Peers.find(Vm.Name);
  return PeerIt != State.Peers.end() &&
         PeerIt->second.Incarnation != Vm.Incarnation;
}

bool isUnavailable(const ClaimState &State, const VmId &Vm) {
  const auto PeerIt = State.Peers.find(Vm.Name);
  const bool IsUnreachable =
      PeerIt != State.Peers.end() && !PeerIt->second.Reachable;
  return IsUnreachable || hasEnded(State, Vm);
}

uint64_t addPending(ClaimStep &Step, PendingClaim Claim) {
  const uint64_t RequestNumber = ++Step.State.LastRequestNumber;
  Claim.Deadline = Step.Now + Step.State.Limits.ClaimTimeout;
  Step.State.PendingById[Claim.Id] = RequestNumber;
  Step.State.Pending.emplace(RequestNumber, std::move(Claim));
  return RequestNumber;
}

PendingClaim removePending(ClaimState &State, uint64_t RequestNumber) {
  auto Node = State.Pending.extract(RequestNumber);
  State.PendingById.erase(Node.mapped().Id);
  return std::move(Node.mapped());
}

void restorePending(ClaimState &State, uint64_t RequestNumber,
                    PendingClaim Claim) {
  State.PendingById[Claim.Id] = RequestNumber;
  State.Pending.emplace(RequestNumber, std::move(Claim));
}

std::vector<uint64_t> findPending(const ClaimState &State, const JobKey &Key) {
  std::vector<uint64_t> Requests;
  auto PendingIt = State.PendingById.lower_bound(ClaimId{Key, std::nullopt});
  for (; PendingIt != State.PendingById.end() && PendingIt->first.Key == Key;
       ++PendingIt)
    Requests.push_back(PendingIt->second);
  return Requests;
}

bool mayStart(const ClaimState &State, const JobKey &Key) {
  return std::ranges::any_of(
      findPending(State, Key), [&](uint64_t RequestNumber) {
        const PendingClaim &Claim = State.Pending.at(RequestNumber);
        return Claim.Intent == ClaimIntent::Claim &&
               (Claim.Phase == ClaimPhase::Granting ||
                Claim.Phase == ClaimPhase::Holding);
      });
}

void send(ClaimStep &Step, const VmId &Receiver, ClaimMessage Message) {
  Step.Effects.emplace_back(SendClaimMessage{Receiver, std::move(Message)});
}

void finishNotRun(ClaimStep &Step, const PendingClaim &Claim,
                  std::string Reason) {
  ReportOutcome Result{Claim.Id.Key,
                       Claim.Id.Digest,
                       ClaimOutcome::NotRun,
                       std::move(Reason),
                       "no task of this key has started or will start; submit "
                       "the job again with a new number",
                       RetryAdvice::NewKey};
  if (Result.Reason == "prefix_sealed")
    Result.Detail = "no task of this key has started or will start; submit the "
                    "job again with a new prefix from POST /v1/prefixes";
  if (Claim.Intent == ClaimIntent::Refuse && !Claim.Reason.empty()) {
    Result.Reason = Claim.Reason;
    Result.Detail = Claim.Detail;
  }
  Step.Effects.emplace_back(std::move(Result));
}

void finishUnknown(ClaimStep &Step, const PendingClaim &Claim,
                   std::string Reason, RetryAdvice Retry) {
  Step.Effects.emplace_back(ReportOutcome{
      Claim.Id.Key, Claim.Id.Digest, ClaimOutcome::Unknown, std::move(Reason),
      "it is not known whether the job has run; the field retry says whether "
      "to submit it again",
      Retry});
}

void finishConflict(ClaimStep &Step, const PendingClaim &Claim) {
  Step.Effects.emplace_back(ReportOutcome{
      Claim.Id.Key, Claim.Id.Digest, ClaimOutcome::Conflict, "conflict",
      "this key was already used for a job with a different body; submit this "
      "job with a new number",
      RetryAdvice::NewKey});
}

void finishWithJoin(ClaimStep &Step, const PendingClaim &Claim) {
  Step.Effects.emplace_back(JoinJob{Claim.Id.Key, Claim.Id.Digest});
}

void finishWithPass(ClaimStep &Step, const PendingClaim &Claim,
                    const VmId &Executor) {
  Step.Effects.emplace_back(
      PassToExecutor{Claim.Id.Key, Claim.Id.Digest, Executor});
}

bool finishIfConflict(ClaimStep &Step, const PendingClaim &Claim,
                      const BodyDigest &Digest) {
  if (!Claim.Id.Digest || *Claim.Id.Digest == Digest)
    return false;
  finishConflict(Step, Claim);
  return true;
}

bool finishIfExecutedHere(ClaimStep &Step, const PendingClaim &Claim) {
  const JobKey &Key = Claim.Id.Key;
  if (const StoredAnswer *Answer = findAnswer(Step.State, Key)) {
    if (!finishIfConflict(Step, Claim, Answer->Digest))
      finishWithJoin(Step, Claim);
    return true;
  }
  const PrefixRecord *Record = findRecord(Step.State, Key.Prefix);
  const HeldGrant *Grant = Record ? findGrant(*Record, Key.Number) : nullptr;
  if (!Grant || Grant->Stage == ExecutionStage::NotStarted)
    return false;
  if (finishIfConflict(Step, Claim, Grant->Digest))
    return true;
  if (Grant->Stage == ExecutionStage::Started)
    finishWithJoin(Step, Claim);
  else
    finishUnknown(Step, Claim, "answer_expired", RetryAdvice::None);
  return true;
}

bool promise(ClaimStep &Step, const JobKey &Key) {
  if (Key.Prefix.Issuer == Step.State.Self) {
    const IssuerVerdict Verdict = decideGrant(
        Step.State, Key, Step.State.Self, ClaimIntent::Refuse, {}, Step.Now);
    // The issuer cannot start a key that it granted to another executor.
    return Verdict.Verdict != GrantVerdict::TooOld;
  }
  PrefixRecord *Record = findOrCreateRecord(Step.State, Key.Prefix, Step.Now);
  if (!Record)
    return false;
  const HeldGrant *Grant = findGrant(*Record, Key.Number);
  if (Grant && Grant->Stage != ExecutionStage::NotStarted)
    return false;
  recordVoid(Step.State, *Record, Key.Number);
  return true;
}

} // namespace sapphiremoor::detail
