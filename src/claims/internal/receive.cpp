#include "claims/claims.h"

#include "claims/internal/answers.h"
#include "claims/internal/steps.h"

#include <utility>

namespace sapphiremoor {

namespace {

using detail::Step;

/// Returns true if \p Request waits for \p From in \p Phase; replies that come
/// late, twice or from a restarted VM are ignored.
bool isAwaited(const ClaimState &State, uint64_t Request, const VmId &From,
               ClaimPhase Phase) {
  const auto Found = State.Pending.find(Request);
  return Found != State.Pending.end() && Found->second.Phase == Phase &&
         Found->second.Awaited.contains(From);
}

/// Handles one message; each overload is one message type.
struct MessageHandler {
  Step &S;
  const VmId &From;

  void operator()(const GrantRequest &Message) const {
    const detail::IssuerVerdict Verdict = detail::decideAtIssuer(
        S.State, Message.Key, From, Message.Intent, Message.Digest, S.Now);
    detail::send(S, From,
                 GrantReply{Message.Request, Verdict.Verdict, Verdict.Executor,
                            Verdict.Digest});
  }

  void operator()(const GrantReply &Message) const {
    if (isAwaited(S.State, Message.Request, From, ClaimPhase::Granting))
      detail::applyVerdict(S, detail::take(S.State, Message.Request),
                           {Message.Verdict, Message.Executor, Message.Digest});
  }

  void operator()(const HoldRequest &Message) const {
    PrefixRecord *Record =
        detail::openRecord(S.State, Message.Key.Prefix, S.Now);
    const bool Held = Record &&
                      detail::isMember(Message.Key.Prefix, S.State.Self) &&
                      detail::holdGrant(S.State, *Record, Message.Key.Number,
                                        {From, Message.Digest, false});
    detail::send(S, From, HoldReply{Message.Request, Held});
  }

  void operator()(const HoldReply &Message) const {
    if (isAwaited(S.State, Message.Request, From, ClaimPhase::Holding))
      detail::onHoldReply(S, Message.Request, From, Message.Held);
  }

  void operator()(const SealRequest &Message) const {
    detail::send(S, From, detail::sealRecord(S, Message.Key, Message.Request));
  }

  void operator()(const SealReply &Message) const {
    if (isAwaited(S.State, Message.Request, From, ClaimPhase::Sealing))
      detail::onSealReply(S, Message.Request, From, Message);
  }

  void operator()(const AnswerQuery &Message) const {
    detail::send(S, From, answer(Message));
  }

  void operator()(const AnswerReply &Message) const {
    if (isAwaited(S.State, Message.Request, From, ClaimPhase::Asking))
      detail::onAnswerReply(S, Message.Request, From, Message);
  }

  void operator()(const AnswerCopy &Message) const {
    detail::keepAnswer(S.State, Message.Key, Message.Digest, Message.Bytes,
                       S.Now);
  }

private:
  AnswerReply answer(const AnswerQuery &Message) const {
    const JobKey &Key = Message.Key;
    if (const KeptAnswer *Answer = detail::findAnswer(S.State, Key))
      return {Message.Request, AnswerStatus::Kept, Answer->Digest,
              Answer->Bytes};
    const PrefixRecord *Record = detail::findRecord(S.State, Key.Prefix);
    const HeldGrant *Grant =
        Record ? detail::findGrant(*Record, Key.Number) : nullptr;
    const bool Started = Grant && Grant->Stage == ExecutionStage::Started;
    if (Started || detail::mayStart(S.State, Key))
      return {Message.Request, AnswerStatus::Running, {}, {}};
    if (Message.Release && detail::promise(S, Key))
      return {Message.Request, AnswerStatus::Promised, {}, {}};
    return {Message.Request, AnswerStatus::None, {}, {}};
  }
};

/// Lets every claim that waits for a lost run of the VM \p Name go on.
void resumeClaims(Step &S, const std::string &Name) {
  std::vector<std::pair<uint64_t, VmId>> Waiting;
  for (const auto &[Request, Claim] : S.State.Pending)
    for (const VmId &Vm : Claim.Awaited)
      if (Vm.Name == Name && detail::isLost(S.State, Vm))
        Waiting.emplace_back(Request, Vm);
  for (const auto &[Request, Vm] : Waiting)
    detail::onPeerLost(S, Request, Vm);
}

} // namespace

ClaimEffects receive(ClaimState &State, const VmId &From,
                     const ClaimMessage &Message, Instant Now) {
  Step S{State, Now, {}};
  std::visit(MessageHandler{S, From}, Message);
  return std::move(S.Effects);
}

ClaimEffects peerDown(ClaimState &State, const VmId &Peer, Instant Now) {
  Step S{State, Now, {}};
  const auto Known = State.Peers.try_emplace(Peer.Name).first;
  if (Known->second.Incarnation == 0)
    Known->second.Incarnation = Peer.Incarnation;
  // A late report about an earlier run says nothing about the present one.
  if (Known->second.Incarnation == Peer.Incarnation)
    Known->second.Up = false;
  resumeClaims(S, Peer.Name);
  return std::move(S.Effects);
}

ClaimEffects peerUp(ClaimState &State, const VmId &Peer, Instant Now) {
  Step S{State, Now, {}};
  State.Peers[Peer.Name] = {Peer.Incarnation, true};
  resumeClaims(S, Peer.Name);
  return std::move(S.Effects);
}

} // namespace sapphiremoor
