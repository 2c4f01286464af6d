#ifndef SAPPHIREMOOR_DAEMON_DAEMON_H
#define SAPPHIREMOOR_DAEMON_DAEMON_H

#include "daemon/backendregistry.h"
#include "daemon/claimservice.h"
#include "daemon/configservice.h"
#include "daemon/httpapi.h"
#include "daemon/jobexecutor.h"
#include "daemon/jobrouter.h"
#include "daemon/keycodec.h"
#include "daemon/membershipservice.h"
#include "daemon/outcomerecorder.h"
#include "daemon/peerbus.h"
#include "daemon/replicaservice.h"

#include <memory>
#include <string>

namespace sapphiremoor {

/// The daemon of one entry VM. Creates the services and connects them.
class Daemon {
public:
  Daemon(EventLoop &Loop, const Settings &VmSettings, TokenTable Tokens,
         const std::string &ClusterKey);

  /// Starts all services and opens the sockets.
  Result<Done> start();

  /// Starts a graceful shutdown: rejects new work, finishes open requests and
  /// jobs, then stops the event loop.
  void drain();

private:
  Result<Done> startServices();
  void checkDrained();

  EventLoop &Loop;
  const Settings &VmSettings;
  VmId Self;
  Registry Metrics;
  PeerBus Bus;
  MembershipService Membership;
  ClaimService Claims;
  BackendRegistry Backends;
  JobExecutor Executor;
  KeyCodec Keys;
  JobRouter Router;
  /// Null on a VM without a data folder.
  std::unique_ptr<ReplicaService> Replica;
  ConfigService Config;
  OutcomeRecorder Outcomes;
  HttpApi Api;
  Timer DrainTimer;
  int IdleChecks = 0;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_DAEMON_DAEMON_H
