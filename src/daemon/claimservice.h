#ifndef SAPPHIREMOOR_DAEMON_CLAIMSERVICE_H
#define SAPPHIREMOOR_DAEMON_CLAIMSERVICE_H

#include "claims/claims.h"
#include "daemon/membershipservice.h"
#include "daemon/peerbus.h"
#include "framework/net/timer.h"

#include <functional>
#include <string>

namespace sapphiremoor {

/// Connects the claim logic to the links between VMs and the clock.
class ClaimService {
public:
  ClaimService(EventLoop &Loop, const Settings &VmSettings, const VmId &Self,
               PeerBus &Bus, const MembershipService &Membership);

  /// Calls \p Handler with each effect except SendClaimMessage. The handler may
  /// call back into this object.
  void start(std::function<void(const ClaimEffect &)> Handler);

  Prefix issue(const std::string &Team);
  ForwardResult forward(const JobKey &Key, const BodyDigest &Digest,
                        const VmId &Executor);
  void claim(const JobKey &Key, const BodyDigest &Digest,
             const std::optional<ProvisionalGrant> &Hold);
  void refuse(const JobKey &Key, const Error &Reason);
  void find(const JobKey &Key);
  void store(const JobKey &Key, const BodyDigest &Digest,
             const std::string &Bytes);
  const std::string *storedAnswer(const JobKey &Key) const;

private:
  void runEffects(const ClaimEffects &Effects);
  void logSeal(const SendClaimMessage &Effect);
  void armTimer();

  EventLoop &Loop;
  PeerBus &Bus;
  const MembershipService &Membership;
  ClaimState State;
  std::function<void(const ClaimEffect &)> EffectHandler;
  /// Issuer of the prefix whose sealing was logged last. Limits the log to one
  /// line per lost issuer.
  VmId LastSealedIssuer;
  Timer DeadlineTimer;
  Timer ExpiryTimer;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_DAEMON_CLAIMSERVICE_H
