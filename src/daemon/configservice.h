#ifndef SAPPHIREMOOR_DAEMON_CONFIGSERVICE_H
#define SAPPHIREMOOR_DAEMON_CONFIGSERVICE_H

#include "configuration/configstate.h"
#include "daemon/membershipservice.h"
#include "daemon/peerbus.h"

#include <functional>
#include <map>

namespace sapphiremoor {

/// Keeps the configuration in force on this VM and passes changes to the VM
/// that decides them.
class ConfigService {
public:
  using ChangeHandler = std::function<void(const Result<ChangeResult> &)>;

  ConfigService(const Settings &Of, const VmId &Self, PeerBus &Bus,
                MembershipService &Membership);

  /// \p Handler is called with each configuration that comes into force.
  void start(std::function<void(const ServiceConfig &)> Handler);

  /// Proposes a change; \p Handler is called once.
  void change(const ChangeFile &Change, ChangeHandler Handler);

  uint64_t revision() const { return State.Revision; }
  const ConfigState &state() const { return State; }
  const ServiceConfig &config() const { return State.Cache.Merged; }

private:
  ChangeResult decide(const ChangeFile &Change);
  void adopt(const ConfigChunk &Chunk);
  void inForce();

  const Settings &Of;
  VmId Self;
  PeerBus &Bus;
  MembershipService &Membership;
  ConfigState State;
  std::function<void(const ServiceConfig &)> InForce;
  RequestNumber LastRequest = 0;
  std::map<RequestNumber, ChangeHandler> Proposals;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_DAEMON_CONFIGSERVICE_H
