#include "claims/claims.h"

#include "claims/internal/answers.h"
#include "claims/internal/steps.h"

#include <utility>

namespace sapphiremoor {

namespace {

using detail::ClaimStep;

/// Returns true if the claim \p RequestNumber waits for a reply of \p Sender in
/// \p Phase. Late and duplicate replies and those of another incarnation are
/// ignored.
bool isAwaited(const ClaimState &State, uint64_t RequestNumber,
               const VmId &Sender, ClaimPhase Phase) {
  const auto PendingIt = State.Pending.find(RequestNumber);
  return PendingIt != State.Pending.end() && PendingIt->second.Phase == Phase &&
         PendingIt->second.Awaited.contains(Sender);
}

/// Handles one message; each overload handles one message type.
struct MessageHandler {
  ClaimStep &Step;
  const VmId &Sender;

  void operator()(const GrantRequest &Message) const {
    const detail::IssuerVerdict Verdict =
        detail::decideGrant(Step.State, Message.Key, Sender, Message.Intent,
                            Message.Digest, Step.Now);
    detail::send(Step, Sender,
                 GrantReply{Message.RequestNumber, Verdict.Verdict,
                            Verdict.Executor, Verdict.Digest});
  }

  void operator()(const GrantReply &Message) const {
    if (isAwaited(Step.State, Message.RequestNumber, Sender,
                  ClaimPhase::Granting))
      detail::applyVerdict(
          Step, detail::removePending(Step.State, Message.RequestNumber),
          {Message.Verdict, Message.Executor, Message.Digest});
  }

  void operator()(const HoldRequest &Message) const {
    PrefixRecord *Record =
        detail::findOrCreateRecord(Step.State, Message.Key.Prefix, Step.Now);
    const bool Held = Record &&
                      detail::isMember(Message.Key.Prefix, Step.State.Self) &&
                      detail::holdGrant(Step.State, *Record, Message.Key.Number,
                                        {Sender, Message.Digest, false});
    detail::send(Step, Sender, HoldReply{Message.RequestNumber, Held});
  }

  void operator()(const HoldReply &Message) const {
    if (isAwaited(Step.State, Message.RequestNumber, Sender,
                  ClaimPhase::Holding))
      detail::onHoldReply(Step, Message.RequestNumber, Sender, Message.Held);
  }

  void operator()(const SealRequest &Message) const {
    detail::send(Step, Sender,
                 detail::sealRecord(Step, Message.Key, Message.RequestNumber));
  }

  void operator()(const SealReply &Message) const {
    if (isAwaited(Step.State, Message.RequestNumber, Sender,
                  ClaimPhase::Sealing))
      detail::onSealReply(Step, Message.RequestNumber, Sender, Message);
  }

  void operator()(const AnswerQuery &Message) const {
    detail::send(Step, Sender, makeReply(Message));
  }

  void operator()(const AnswerReply &Message) const {
    if (isAwaited(Step.State, Message.RequestNumber, Sender,
                  ClaimPhase::Querying))
      detail::onAnswerReply(Step, Message.RequestNumber, Sender, Message);
  }

  void operator()(const AnswerCopy &Message) const {
    detail::addAnswer(Step.State, Message.Key, Message.Digest, Message.Bytes,
                      Step.Now);
  }

private:
  AnswerReply makeReply(const AnswerQuery &Message) const {
    const JobKey &Key = Message.Key;
    if (const StoredAnswer *Answer = detail::findAnswer(Step.State, Key))
      return {Message.RequestNumber, AnswerStatus::Stored, Answer->Digest,
              Answer->Bytes};
    const PrefixRecord *Record = detail::findRecord(Step.State, Key.Prefix);
    const HeldGrant *Grant =
        Record ? detail::findGrant(*Record, Key.Number) : nullptr;
    const bool Started = Grant && Grant->Stage == ExecutionStage::Started;
    if (Started || detail::mayStart(Step.State, Key))
      return {Message.RequestNumber, AnswerStatus::Running, {}, {}};
    if (Message.RequestPromise && detail::promise(Step, Key))
      return {Message.RequestNumber, AnswerStatus::Promised, {}, {}};
    return {Message.RequestNumber, AnswerStatus::None, {}, {}};
  }
};

/// Resumes every claim that waits for an unavailable incarnation of the VM
/// \p Name.
void resumeClaims(ClaimStep &Step, const std::string &Name) {
  std::vector<std::pair<uint64_t, VmId>> WaitingClaims;
  for (const auto &[RequestNumber, Claim] : Step.State.Pending)
    for (const VmId &Vm : Claim.Awaited)
      if (Vm.Name == Name && detail::isUnavailable(Step.State, Vm))
        WaitingClaims.emplace_back(RequestNumber, Vm);
  for (const auto &[RequestNumber, Vm] : WaitingClaims)
    detail::onPeerUnavailable(Step, RequestNumber, Vm);
}

} // namespace

ClaimEffects receive(ClaimState &State, const VmId &Sender,
                     const ClaimMessage &Message, Instant Now) {
  ClaimStep Step{State, Now, {}};
  std::visit(MessageHandler{Step, Sender}, Message);
  return std::move(Step.Effects);
}

ClaimEffects peerDown(ClaimState &State, const VmId &Peer, Instant Now) {
  ClaimStep Step{State, Now, {}};
  const auto PeerIt = State.Peers.try_emplace(Peer.Name).first;
  if (PeerIt->second.Incarnation == 0)
    PeerIt->second.Incarnation = Peer.Incarnation;
  // A late report about an earlier incarnation says nothing about the current
  // one.
  if (PeerIt->second.Incarnation == Peer.Incarnation)
    PeerIt->second.Reachable = false;
  resumeClaims(Step, Peer.Name);
  return std::move(Step.Effects);
}

ClaimEffects peerUp(ClaimState &State, const VmId &Peer, Instant Now) {
  ClaimStep Step{State, Now, {}};
  State.Peers[Peer.Name] = {Peer.Incarnation, true};
  resumeClaims(Step, Peer.Name);
  return std::move(Step.Effects);
}

} // namespace sapphiremoor
