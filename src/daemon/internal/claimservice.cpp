#include "daemon/claimservice.h"

#include "framework/eventlog/eventlog.h"

#include <algorithm>
#include <utility>

namespace sapphiremoor {

namespace {

constexpr Duration ExpiryPeriod = std::chrono::seconds(10);

ClaimLimits limitsOf(const Settings &Of) {
  ClaimLimits Limits;
  Limits.ClaimTimeout = Of.Limits.ClaimTimeout;
  Limits.PrefixKept = Of.Limits.PrefixKept;
  Limits.AnswersKept = Of.Limits.AnswersKept;
  Limits.AnswerBytes = Of.Limits.AnswersBytes;
  return Limits;
}

} // namespace

ClaimService::ClaimService(EventLoop &Loop, const Settings &Of,
                           const VmId &Self, PeerBus &Bus,
                           const MembershipService &Membership)
    : Loop(Loop), Bus(Bus), Membership(Membership),
      State(makeClaimState(Self, Of.DataCentre, limitsOf(Of))),
      Deadline(Loop, [this] { run(tick(State, this->Loop.now())); }),
      Expiry(Loop, [this] { run(tick(State, this->Loop.now())); }) {}

void ClaimService::start(std::function<void(const ClaimEffect &)> OnEffect) {
  Handler = std::move(OnEffect);
  Bus.on<ClaimMessage>([this](const VmId &From, const ClaimMessage &Message) {
    run(receive(State, From, Message, Loop.now()));
  });
  Bus.onUp([this](const VmId &Peer) { run(peerUp(State, Peer, Loop.now())); });
  Bus.onDown(
      [this](const VmId &Peer) { run(peerDown(State, Peer, Loop.now())); });
  Expiry.startPeriodic(ExpiryPeriod);
}

Prefix ClaimService::issue(const std::string &Team) {
  return issuePrefix(State, Team, Membership.grantMembers(), Loop.now());
}

ForwardResult ClaimService::forward(const JobKey &Key, const BodyDigest &Digest,
                                    const VmId &Executor) {
  return forwardJob(State, Key, Digest, Executor, Loop.now());
}

void ClaimService::claim(const JobKey &Key, const BodyDigest &Digest,
                         const std::optional<ProvisionalHold> &Hold) {
  run(claimJob(State, Key, Digest, Hold, Loop.now()));
}

void ClaimService::refuse(const JobKey &Key, const Error &Reason) {
  run(refuseJob(State, Key, Reason, Loop.now()));
}

void ClaimService::find(const JobKey &Key) {
  run(findJob(State, Key, Loop.now()));
}

void ClaimService::store(const JobKey &Key, const BodyDigest &Digest,
                         const std::string &Bytes) {
  run(storeAnswer(State, Key, Digest, Bytes, Loop.now()));
}

const std::string *ClaimService::kept(const JobKey &Key) const {
  return keptAnswer(State, Key);
}

void ClaimService::run(const ClaimEffects &Effects) {
  for (const ClaimEffect &Effect : Effects) {
    if (const auto *Message = std::get_if<SendClaim>(&Effect)) {
      noteSeal(*Message);
      Bus.send(Message->To, Message->Message);
    } else
      Handler(Effect);
  }
  armTimer();
}

void ClaimService::noteSeal(const SendClaim &Sent) {
  const auto *Seal = std::get_if<SealRequest>(&Sent.Message);
  if (Seal == nullptr)
    return;
  const VmId &Issuer = Seal->Key.Prefix.Issuer;
  if (std::exchange(LastSealed, Issuer) != Issuer)
    logEvent(events::PrefixSealed, {{"issuer", Issuer.Name}});
}

void ClaimService::armTimer() {
  const std::optional<Instant> Next = nextDeadline(State);
  if (!Next)
    Deadline.cancel();
  else
    Deadline.start(std::max(*Next - Loop.now(), Duration::zero()));
}

} // namespace sapphiremoor
