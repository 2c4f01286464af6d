#include "cluster/controlnode.h"

#include "framework/core/random.h"
#include "framework/eventlog/eventlog.h"

namespace sapphiremoor {

namespace {
constexpr Duration ConfigurationRetry = std::chrono::milliseconds(300);

/// Standing still for longer, a VM may have been given up by others.
constexpr Duration StallLimit = std::chrono::milliseconds(400);
} // namespace

ControlNode::ControlNode(EventLoop &Loop, const ClusterSettings &Of,
                         BackendOrders Orders)
    : Loop(Loop), Of(Of),
      Bus(Loop, Of, {Of.Name, secureRandom64()},
          {[this](const VmId &From, const ClusterMessage &Message) {
             received(From, Message);
           },
           [this](const VmId &Peer) {
             Configuration.peerUp(Peer);
             Dispatch.peerUp(Peer);
             Backends.peerUp(Peer);
           },
           [this](const VmId &Peer) { Dispatch.peerDown(Peer); },
           [this] { return Watch.check(); },
           [this](ClusterHeartbeat &Told) {
             Told.Configuration = Configuration.chosenBallot();
             Told.Load = Dispatch.dispatcher().load(this->Loop.now());
           }}),
      Configuration(Loop, Of, Bus),
      Dispatch(Loop, Of, Bus, std::move(Orders), Metrics,
               {[this](const OwnershipChanged &Change) {
                  Backends.ownershipChanged(Change);
                },
                [this] { Watch.check(); },
                {[this](const JobSubmission &Job, const JobSource &From) {
                   return Stored.answerKnown(Job, From);
                 },
                 [this](const StoreJob &Each) { Stored.store(Each); },
                 [this](const JobProgressed &Each) { Stored.progressed(Each); },
                 [this](const RunEnded &Each) { Stored.runEnded(Each); },
                 [this](const VmId &From, const JobQuery &Each) {
                   Stored.query(From, Each);
                 }}}),
      Stored(Loop, Of, Bus, Configuration, Dispatch),
      Backends(Loop, Bus, Dispatch),
      Watch(Loop, StallLimit, [this] { stalled(); }) {}

Result<Done> ControlNode::start() {
  Result<Done> Kept = Configuration.start(
      [this](const RegisterValue &Value) { chosen(Value); });
  if (isError(Kept))
    return Kept;
  Result<Done> Opened = Stored.start();
  if (isError(Opened))
    return Opened;
  Result<Done> Linked = Bus.start();
  if (isError(Linked))
    return Linked;
  Dispatch.start();
  Backends.start();
  return Done{};
}

void ControlNode::stalled() {
  logEvent(events::StoodStill,
           {{"open_jobs", std::to_string(Dispatch.dispatcher().openJobs())}});
  // Entry VMs have answered their callers, who may have sent the jobs
  // elsewhere: nothing of them may be started any more.
  Dispatch.abandonAll();
  Stored.stalled();
  Bus.dropLinks();
}

void ControlNode::drain() {
  Bus.drain();
  Dispatch.drain();
  Backends.drain();
}

bool ControlNode::drained() {
  return Dispatch.dispatcher().openRequests() == 0 &&
         Dispatch.dispatcher().ownedBackends().empty();
}

void ControlNode::received(const VmId &From, const ClusterMessage &Message) {
  if (const auto *Submit = std::get_if<SubmitJob>(&Message))
    Dispatch.submit(From, *Submit);
  else if (const auto *Query = std::get_if<JobQuery>(&Message))
    Dispatch.query(From, *Query);
  else if (const auto *Pending = std::get_if<PendingQuery>(&Message))
    Dispatch.pending(From, *Pending);
  else if (const auto *Beat = std::get_if<ClusterHeartbeat>(&Message))
    heartbeat(From, *Beat);
  else if (const auto *News = std::get_if<BackendReports>(&Message))
    Backends.received(From, *News);
  else if (const auto *Owners = std::get_if<OwnershipNews>(&Message))
    Backends.received(From, *Owners);
  else if (const auto *Register = std::get_if<RegisterMessage>(&Message))
    Configuration.received(From, *Register);
  else if (const auto *Jobs = std::get_if<JobStoreMessage>(&Message))
    Stored.received(From, *Jobs);
}

void ControlNode::heartbeat(const VmId &From, const ClusterHeartbeat &Message) {
  Dispatch.peerLoad(Message);
  const Instant Now = Loop.now();
  if (Message.Configuration <= Configuration.chosenBallot() ||
      Now - ConfigurationAsked < ConfigurationRetry)
    return;
  ConfigurationAsked = Now;
  Bus.send(From.Name, RegisterMessage(ChosenRequest{}));
}

void ControlNode::chosen(const RegisterValue &) {
  // Entry VMs of other data centres get it from their own control VMs; those
  // without one ask when a heartbeat shows them that they are behind.
  for (const MemberInfo &Each : Bus.members().members(MemberRole::Entry))
    if (Each.DataCentre == Of.DataCentre)
      Bus.send(Each.Id.Name, RegisterMessage(*Configuration.chosen()));
}

} // namespace sapphiremoor
