#include "cluster/controlnode.h"

#include "framework/core/random.h"
#include "framework/eventlog/eventlog.h"

namespace sapphiremoor {

namespace {
constexpr Duration ConfigurationRetryDelay = std::chrono::milliseconds(300);

/// After a longer pause of this process, other VMs may treat this VM as lost.
constexpr Duration StallLimit = std::chrono::milliseconds(400);
} // namespace

ControlNode::ControlNode(EventLoop &Loop, const ClusterSettings &Settings,
                         BackendOrders Orders)
    : Loop(Loop), Settings(Settings),
      Bus(Loop, Settings, {Settings.Name, secureRandom64()},
          {[this](const VmId &Sender, const ClusterMessage &Message) {
             handleMessage(Sender, Message);
           },
           [this](const VmId &Peer) {
             Configuration.handlePeerUp(Peer);
             Dispatch.handlePeerUp(Peer);
             Backends.handlePeerUp(Peer);
           },
           [this](const VmId &Peer) {
             Dispatch.handlePeerDown(Peer);
             Backends.handlePeerDown(Peer);
           },
           [this] { return Watch.check(); },
           [this](ClusterHeartbeat &Heartbeat) {
             Heartbeat.ConfigurationBallot = Configuration.chosenBallot();
             Heartbeat.Load = Dispatch.dispatcher().load(this->Loop.now());
           }}),
      Configuration(Loop, Settings, Bus, Metrics),
      Dispatch(
          Loop, Settings, Bus, std::move(Orders), Metrics,
          {[this](const OwnershipChanged &Change) {
             Backends.handleOwnershipChange(Change);
           },
           [this] { Watch.check(); },
           {[this](const JobSubmission &Job, const JobSource &Source) {
              return JobStore.answerKnownJob(Job, Source);
            },
            [this](const StoreJob &Effect) { JobStore.storeJob(Effect); },
            [this](const JobProgressed &Effect) {
              JobStore.storeProgress(Effect);
            },
            [this](const RunEnded &Effect) {
              JobStore.handleLocalRunEnd(Effect);
            },
            [this](const VmId &Sender, const JobQuery &Query) {
              JobStore.query(Sender, Query);
            },
            [this](const VmId &Process) { JobStore.dropSource(Process); }}}),
      JobStore(Loop, Settings, Bus, Configuration, Dispatch),
      Backends(Loop, Bus, Dispatch),
      Watch(Loop, StallLimit, [this] { handleStall(); }) {}

Result<Done> ControlNode::start() {
  Result<Done> RegisterResult = Configuration.start(
      [this](const RegisterValue &Value) { handleChosenValue(Value); });
  if (isError(RegisterResult))
    return RegisterResult;
  Result<Done> JobStoreResult = JobStore.start();
  if (isError(JobStoreResult))
    return JobStoreResult;
  Result<Done> BusResult = Bus.start();
  if (isError(BusResult))
    return BusResult;
  Dispatch.start();
  Backends.start(Settings.DataFolder);
  return Done{};
}

void ControlNode::handleStall() {
  logEvent(events::StoodStill,
           {{"open_jobs", std::to_string(Dispatch.dispatcher().openJobs())}});
  // Entry VMs have answered their callers meanwhile, and the callers may have
  // sent the jobs elsewhere. No task of these jobs may be started any more.
  Dispatch.handleStall();
  JobStore.handleStall();
  Bus.dropLinks();
}

void ControlNode::drain() {
  Bus.drain();
  Dispatch.drain();
  Backends.drain();
}

bool ControlNode::isDrained() {
  return Dispatch.dispatcher().openRequests() == 0 &&
         Dispatch.dispatcher().ownedBackends().empty();
}

void ControlNode::handleMessage(const VmId &Sender,
                                const ClusterMessage &Message) {
  if (const auto *Submit = std::get_if<SubmitJob>(&Message))
    Dispatch.submit(Sender, *Submit);
  else if (const auto *Withdrawal = std::get_if<WithdrawJob>(&Message))
    Dispatch.withdraw(Sender, *Withdrawal);
  else if (const auto *Query = std::get_if<JobQuery>(&Message))
    Dispatch.query(Sender, *Query);
  else if (const auto *Pending = std::get_if<PendingJobsQuery>(&Message))
    Dispatch.queryPending(Sender, *Pending);
  else if (const auto *Heartbeat = std::get_if<ClusterHeartbeat>(&Message))
    handleHeartbeat(Sender, *Heartbeat);
  else if (const auto *Reports = std::get_if<BackendReports>(&Message))
    Backends.handlePeerReports(Sender, *Reports);
  else if (const auto *Ownership = std::get_if<OwnershipUpdate>(&Message))
    Backends.handlePeerOwnership(Sender, *Ownership);
  else if (const auto *Digest = std::get_if<OwnershipDigest>(&Message))
    Backends.handlePeerDigest(Sender, *Digest);
  else if (std::holds_alternative<OwnershipRequest>(Message))
    Backends.handleOwnershipRequest(Sender);
  else if (const auto *Owned = std::get_if<OwnedBackends>(&Message))
    Backends.handlePeerOwnership(Sender, *Owned);
  else if (const auto *Register = std::get_if<RegisterMessage>(&Message))
    Configuration.handleMessage(Sender, *Register);
  else if (const auto *StoreMessage = std::get_if<JobStoreMessage>(&Message))
    JobStore.handleMessage(Sender, *StoreMessage);
}

void ControlNode::handleHeartbeat(const VmId &Sender,
                                  const ClusterHeartbeat &Message) {
  Dispatch.updatePeerLoad(Message);
  Backends.handlePeerHeartbeat(Sender, Message.Self.Role);
  // Entry VMs do not answer a request for the chosen value.
  if (Message.Self.Role != MemberRole::Control)
    return;
  const Instant Now = Loop.now();
  if (Message.ConfigurationBallot <= Configuration.chosenBallot() ||
      Now - ConfigurationRequestedAt < ConfigurationRetryDelay)
    return;
  ConfigurationRequestedAt = Now;
  Bus.send(Sender, RegisterMessage(ChosenRequest{}));
}

void ControlNode::handleChosenValue(const RegisterValue &) {
  // Entry VMs of other data centres get the value from the control VMs there.
  // If there are none, an entry VM requests the value when a heartbeat shows a
  // newer ballot.
  for (const MemberInfo &Member : Bus.members().members(MemberRole::Entry))
    if (Member.DataCentre == Settings.DataCentre)
      Bus.send(Member.Id, RegisterMessage(*Configuration.chosen()));
}

} // namespace sapphiremoor
