#include "daemon/claimservice.h"

#include "framework/eventlog/eventlog.h"

#include <algorithm>
#include <utility>

namespace sapphiremoor {

namespace {

constexpr Duration ExpiryPeriod = std::chrono::seconds(10);

ClaimLimits makeClaimLimits(const Settings &VmSettings) {
  ClaimLimits Limits;
  Limits.ClaimTimeout = VmSettings.Limits.ClaimTimeout;
  Limits.PrefixLifetime = VmSettings.Limits.PrefixLifetime;
  Limits.AnswerLifetime = VmSettings.Limits.AnswerLifetime;
  Limits.MaxAnswerBytes = VmSettings.Limits.AnswersBytes;
  return Limits;
}

} // namespace

ClaimService::ClaimService(EventLoop &Loop, const Settings &VmSettings,
                           const VmId &Self, PeerBus &Bus,
                           const MembershipService &Membership)
    : Loop(Loop), Bus(Bus), Membership(Membership),
      State(makeClaimState(Self, VmSettings.DataCentre,
                           makeClaimLimits(VmSettings))),
      DeadlineTimer(Loop,
                    [this] { runEffects(tick(State, this->Loop.now())); }),
      ExpiryTimer(Loop, [this] { runEffects(tick(State, this->Loop.now())); }) {
}

void ClaimService::start(std::function<void(const ClaimEffect &)> Handler) {
  EffectHandler = std::move(Handler);
  Bus.onMessage<ClaimMessage>(
      [this](const VmId &Sender, const ClaimMessage &Message) {
        runEffects(receive(State, Sender, Message, Loop.now()));
      });
  Bus.onPeerUp([this](const VmId &Peer) {
    runEffects(peerUp(State, Peer, Loop.now()));
  });
  Bus.onPeerDown([this](const VmId &Peer) {
    runEffects(peerDown(State, Peer, Loop.now()));
  });
  ExpiryTimer.startPeriodic(ExpiryPeriod);
}

Prefix ClaimService::issue(const std::string &Team) {
  return issuePrefix(State, Team, Membership.grantMembers(), Loop.now());
}

ForwardResult ClaimService::forward(const JobKey &Key, const BodyDigest &Digest,
                                    const VmId &Executor) {
  return forwardJob(State, Key, Digest, Executor, Loop.now());
}

void ClaimService::claim(const JobKey &Key, const BodyDigest &Digest,
                         const std::optional<ProvisionalGrant> &Hold) {
  runEffects(claimJob(State, Key, Digest, Hold, Loop.now()));
}

void ClaimService::refuse(const JobKey &Key, const Error &Reason) {
  runEffects(refuseJob(State, Key, Reason, Loop.now()));
}

void ClaimService::find(const JobKey &Key) {
  runEffects(findJob(State, Key, Loop.now()));
}

void ClaimService::store(const JobKey &Key, const BodyDigest &Digest,
                         const std::string &Bytes) {
  runEffects(storeAnswer(State, Key, Digest, Bytes, Loop.now()));
}

const std::string *ClaimService::storedAnswer(const JobKey &Key) const {
  return findStoredAnswer(State, Key);
}

void ClaimService::runEffects(const ClaimEffects &Effects) {
  for (const ClaimEffect &Effect : Effects) {
    if (const auto *Message = std::get_if<SendClaimMessage>(&Effect)) {
      logSeal(*Message);
      Bus.send(Message->Receiver, Message->Message);
    } else
      EffectHandler(Effect);
  }
  armTimer();
}

void ClaimService::logSeal(const SendClaimMessage &Effect) {
  const auto *Seal = std::get_if<SealRequest>(&Effect.Message);
  if (Seal == nullptr)
    return;
  const VmId &Issuer = Seal->Key.Prefix.Issuer;
  if (std::exchange(LastSealedIssuer, Issuer) != Issuer)
    logEvent(events::PrefixSealed, {{"issuer", Issuer.Name}});
}

void ClaimService::armTimer() {
  const std::optional<Instant> NextDeadline = nextDeadline(State);
  if (!NextDeadline)
    DeadlineTimer.cancel();
  else
    DeadlineTimer.start(std::max(*NextDeadline - Loop.now(), Duration::zero()));
}

} // namespace sapphiremoor
