#include "daemon/daemon.h"

#include "framework/core/random.h"
#include "framework/eventlog/eventlog.h"

namespace sapphiremoor {

namespace {

constexpr Duration DrainCheckPeriod = std::chrono::milliseconds(100);

/// Consecutive checks without open work before the daemon stops. In this time
/// the last answers are written, and the load balancer and the other VMs learn
/// that this VM is leaving.
constexpr int RequiredIdleChecks = 10;

} // namespace

Daemon::Daemon(EventLoop &Loop, const Settings &VmSettings, TokenTable Tokens,
               const std::string &ClusterKey)
    : Loop(Loop),
      VmSettings(VmSettings), Self{VmSettings.Name, secureRandom64()},
      Bus(Loop, VmSettings, Self, ClusterKey),
      Membership(Loop, VmSettings, Self, Bus),
      Claims(Loop, VmSettings, Self, Bus, Membership),
      Backends(Loop, VmSettings, Bus, Membership),
      Executor(
          Loop, VmSettings, Backends.table(), Metrics,
          {[this](const std::string &Id) { Backends.noteContact(Id); },
           [this](const std::string &Id) { Backends.noteConnectFailure(Id); }}),
      Keys(ClusterKey),
      Router(Loop, Self, Bus, Membership, Claims, Executor, Keys),
      Replica(VmSettings.DataFolder
                  ? std::make_unique<ReplicaService>(Loop, VmSettings, Bus)
                  : nullptr),
      Config(Loop, VmSettings, Bus, Membership, Replica.get()),
      Outcomes(VmSettings.Name, Metrics),
      Api(Loop, VmSettings, std::move(Tokens), Keys,
          {Router,
           Backends,
           Config,
           Membership,
           Metrics,
           Outcomes,
           {Membership, Config, Backends.table(), Executor, Router}}),
      DrainTimer(Loop, [this] { checkDrained(); }) {}

Result<Done> Daemon::startServices() {
  Membership.start([this] {
    MembershipService::Report Report{Config.revision(), {}};
    if (Membership.isDispatcher())
      Report.Loads = Executor.serviceLoads();
    return Report;
  });
  Router.start();
  Backends.start([this](const std::string &Id) { Executor.updateBackend(Id); });
  Membership.onDispatcherChange([this](const VmId &) {
    if (Membership.isDispatcher())
      Executor.handleTakeover();
  });
  return Config.start([this](const ServiceConfig &NewConfig) {
    Executor.configure(NewConfig);
  });
}

Result<Done> Daemon::start() {
  Result<Done> ServicesStarted = startServices();
  if (isError(ServicesStarted))
    return ServicesStarted;
  Result<Done> BusStarted = Bus.start();
  if (isError(BusStarted))
    return BusStarted;
  const Result<uint16_t> HttpStarted = Api.start();
  if (isError(HttpStarted))
    return errorOf(HttpStarted);
  logEvent(events::Started,
           {{"http", describe(VmSettings.Http)},
            {"peer", describe(VmSettings.Peer)},
            {"incarnation", std::to_string(Self.Incarnation)}});
  return Done{};
}

void Daemon::drain() {
  if (Membership.isDraining())
    return;
  logEvent(events::Stopping,
           {{"open_jobs", std::to_string(Router.openRequests())}});
  Membership.drain();
  DrainTimer.startPeriodic(DrainCheckPeriod);
}

void Daemon::checkDrained() {
  const bool Idle = Router.openRequests() == 0 && Api.openRequests() == 0;
  IdleChecks = Idle ? IdleChecks + 1 : 0;
  if (IdleChecks < RequiredIdleChecks)
    return;
  logEvent(events::Stopped);
  Loop.stop();
}

} // namespace sapphiremoor
