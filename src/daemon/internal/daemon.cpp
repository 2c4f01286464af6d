#include "daemon/daemon.h"

#include "framework/core/random.h"
#include "framework/eventlog/eventlog.h"

namespace sapphiremoor {

namespace {

constexpr Duration DrainCheckPeriod = std::chrono::milliseconds(100);

/// Checks without open work before the stop: the last answers are written, and
/// the balancer and the other VMs have learned that this VM is leaving.
constexpr int QuietChecksNeeded = 10;

} // namespace

Daemon::Daemon(EventLoop &Loop, const Settings &Of, TokenTable Tokens,
               const std::string &ClusterKey)
    : Loop(Loop), Of(Of), Self{Of.Name, secureRandom64()},
      Bus(Loop, Of, Self, ClusterKey), Membership(Loop, Of, Self, Bus),
      Claims(Loop, Of, Self, Bus, Membership),
      Backends(Loop, Of, Bus, Membership),
      Executor(Loop, Of, Backends.table(), Metrics,
               {[this](const std::string &Id) { Backends.contacted(Id); },
                [this](const std::string &Id) { Backends.unreachable(Id); }}),
      Keys(ClusterKey),
      Router(Loop, Self, Bus, Membership, Claims, Executor, Keys),
      Replica(Of.DataFolder ? std::make_unique<ReplicaService>(Loop, Of, Bus)
                            : nullptr),
      Config(Loop, Of, Bus, Membership, Replica.get()),
      Outcomes(Of.Name, Metrics),
      Api(Loop, Of, std::move(Tokens), Keys,
          {Router,
           Backends,
           Config,
           Membership,
           Metrics,
           Outcomes,
           {Membership, Config, Backends.table(), Executor, Router}}),
      DrainCheck(Loop, [this] { checkDrained(); }) {}

Result<Done> Daemon::connect() {
  Membership.start([this] {
    MembershipService::Report Report{Config.revision(), {}};
    if (Membership.dispatching())
      Report.Loads = Executor.loads();
    return Report;
  });
  Router.start();
  Backends.start(
      [this](const std::string &Id) { Executor.backendChanged(Id); });
  Membership.onDispatcherChange([this](const VmId &) {
    if (Membership.dispatching())
      Executor.tookOver();
  });
  return Config.start(
      [this](const ServiceConfig &InForce) { Executor.configure(InForce); });
}

Result<Done> Daemon::start() {
  Result<Done> Connected = connect();
  if (isError(Connected))
    return Connected;
  Result<Done> Linked = Bus.start();
  if (isError(Linked))
    return Linked;
  const Result<uint16_t> Served = Api.start();
  if (isError(Served))
    return errorOf(Served);
  logEvent(events::Started,
           {{"http", describe(Of.Http)},
            {"peer", describe(Of.Peer)},
            {"incarnation", std::to_string(Self.Incarnation)}});
  return Done{};
}

void Daemon::drain() {
  if (Membership.draining())
    return;
  logEvent(events::Stopping, {{"open_jobs", std::to_string(Router.open())}});
  Membership.drain();
  DrainCheck.startPeriodic(DrainCheckPeriod);
}

void Daemon::checkDrained() {
  const bool Quiet = Router.open() == 0 && Api.openRequests() == 0;
  QuietChecks = Quiet ? QuietChecks + 1 : 0;
  if (QuietChecks < QuietChecksNeeded)
    return;
  logEvent(events::Stopped);
  Loop.stop();
}

} // namespace sapphiremoor
