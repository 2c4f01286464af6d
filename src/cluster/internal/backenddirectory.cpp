#include "cluster/backenddirectory.h"

#include "discovery/ownership.h"
#include "dispatch/fencingtoken.h"
#include "framework/eventlog/eventlog.h"

#include <algorithm>
#include <utility>

namespace sapphiremoor {

namespace {

constexpr Duration TickPeriod = std::chrono::milliseconds(100);
constexpr Duration FlushPeriod = std::chrono::milliseconds(300);

/// A backend server without a report to any control VM for this time is
/// forgotten, unless this VM owns it. The time covers several reports.
constexpr Duration ForgetTimeout = std::chrono::seconds(10);

/// A backend server whose last report is no older than RecentReportLimit is
/// acquired at once. Another one may be cut off by a network partition together
/// with its owner. It is probed and acquired only after it has answered for
/// MinReachableTime, in which an owner that comes back shows up.
constexpr Duration RecentReportLimit = std::chrono::milliseconds(1800);
constexpr Duration MinReachableTime = std::chrono::milliseconds(300);

/// The other control VMs are not known yet right after the start. Until they
/// had this time to show up, no backend server of another data centre is
/// acquired.
constexpr Duration StartupGrace = std::chrono::seconds(2);

/// A backend server that is known from this VM's disk only may have been taken
/// over while this VM was down. It is acquired once the other control VMs had
/// this time to announce what they own.
constexpr Duration RestoredGrace = std::chrono::milliseconds(400);

} // namespace

BackendDirectory::BackendDirectory(EventLoop &Loop, ClusterBus &Bus,
                                   DispatchService &Dispatch)
    : Loop(Loop), Bus(Bus), Dispatch(Dispatch),
      List(Loop, [this] { return reports(); }),
      TickTimer(Loop, [this] { tick(); }),
      FlushTimer(Loop, [this] { flush(); }),
      DigestTimer(Loop, [this] { announceDigest(); }) {}

void BackendDirectory::start(const std::string &DataFolder) {
  StartTime = Loop.now();
  for (const BackendReport &Report : List.open(DataFolder + "/backends")) {
    applyReport(Report);
    Backends[Report.Id].Restored = true;
  }
  TickTimer.startPeriodic(TickPeriod);
  FlushTimer.startPeriodic(FlushPeriod);
  DigestTimer.startPeriodic(ClusterBus::HeartbeatPeriod);
}

void BackendDirectory::drain() { Draining = true; }

bool BackendDirectory::applyReport(const BackendReport &Report) {
  const auto [It, Inserted] = Backends.try_emplace(Report.Id);
  BackendRecord &Backend = It->second;
  if (!Inserted && !Dispatch.dispatcher().isNewReport(Report))
    return false;
  Backend.Report = Report;
  Backend.Restored = false;
  Backend.LastHeard = Loop.now();
  const bool Changed = Dispatch.dispatcher().handleReport(Report, Loop.now());
  if (Changed)
    logEvent(Report.Draining ? events::BackendLeaving : events::BackendJoined,
             {{"backend", Report.Id},
              {"address", describe(Report.Address)},
              {"born", std::to_string(Report.StartTimeMs)},
              {"sequence", std::to_string(Report.Sequence)}});
  if (Changed)
    List.markChanged();
  Dispatch.run();
  return Changed;
}

std::vector<BackendReport> BackendDirectory::reports() const {
  std::vector<BackendReport> All;
  for (const auto &[Id, Backend] : Backends)
    if (!Backend.Report.Id.empty())
      All.push_back(Backend.Report);
  return All;
}

void BackendDirectory::handleReport(const BackendReport &Report) {
  Dispatch.checkStall();
  const bool Changed = applyReport(Report);
  Outgoing.Reports.push_back(Report);
  if (Changed)
    flush();
}

void BackendDirectory::handleDeparture(const std::string &Id) {
  Dispatch.checkStall();
  remove(Id);
  Outgoing.Departed.push_back(Id);
  flush();
}

void BackendDirectory::remove(const std::string &Id) {
  Backends.erase(Id);
  List.markChanged();
  Dispatch.dispatcher().removeBackend(Id, Loop.now());
  Dispatch.run();
}

void BackendDirectory::handlePeerReports(const VmId &,
                                         const BackendReports &Message) {
  for (const BackendReport &Report : Message.Reports)
    applyReport(Report);
  for (const std::string &Id : Message.Departed)
    remove(Id);
}

void BackendDirectory::handlePeerOwnership(const VmId &Sender,
                                           const OwnershipUpdate &Message) {
  PeerOwnership.recordChanges(Sender, Message.Acquired, Message.Released);
}

void BackendDirectory::handlePeerOwnership(const VmId &Sender,
                                           const OwnedBackends &Message) {
  PeerOwnership.recordAll(Sender, Message.Ids);
}

void BackendDirectory::handlePeerDigest(const VmId &Sender,
                                        const OwnershipDigest &Digest) {
  if (!PeerOwnership.agrees(Sender, Digest))
    Bus.send(Sender, OwnershipRequest{});
}

void BackendDirectory::handleOwnershipRequest(const VmId &Sender) {
  Bus.send(Sender, OwnedBackends{Dispatch.dispatcher().claimedBackends()});
}

void BackendDirectory::announceDigest() {
  Bus.sendToRole(MemberRole::Control,
                 ownershipDigest(Dispatch.dispatcher().claimedBackends()));
}

void BackendDirectory::handleOwnershipChange(const OwnershipChanged &Change) {
  OwnershipUpdate Message;
  (Change.Owned ? Message.Acquired : Message.Released)
      .push_back(Change.BackendId);
  Bus.sendToRole(MemberRole::Control, Message);
  const auto It = Backends.find(Change.BackendId);
  if (It != Backends.end() && !Change.Owned)
    It->second.Plan.recordLoss(Loop.now());
}

void BackendDirectory::handlePeerHeartbeat(const VmId &Sender,
                                           MemberRole Role) {
  if (NewPeers.erase(Sender) == 0 || Role != MemberRole::Control)
    return;
  // A backend server that is known from the disk only may have left meanwhile.
  BackendReports AllReports;
  for (const auto &[Id, Backend] : Backends)
    if (!Backend.Report.Id.empty() && !Backend.Restored)
      AllReports.Reports.push_back(Backend.Report);
  if (!AllReports.Reports.empty())
    Bus.send(Sender, AllReports);
  const OwnershipUpdate Ownership{Dispatch.dispatcher().claimedBackends(), {}};
  if (!Ownership.Acquired.empty())
    Bus.send(Sender, Ownership);
}

void BackendDirectory::flush() {
  if (Outgoing.Reports.empty() && Outgoing.Departed.empty())
    return;
  const BackendReports Message = std::exchange(Outgoing, {});
  Bus.sendToRole(MemberRole::Control, Message);
}

bool BackendDirectory::anyEntryVmReachable() const {
  const Instant Now = Loop.now();
  return std::ranges::any_of(
      Bus.members().members(MemberRole::Entry), [&](const MemberInfo &Member) {
        return Bus.members().isReachable(Member.Id.Name, Now);
      });
}

bool BackendDirectory::isOwnerTagUnique() {
  const std::vector<MemberInfo> Members =
      Bus.members().members(MemberRole::Control);
  const auto HolderIt = std::ranges::find_if(Members, [&](const auto &Member) {
    return takesOwnerTag(Member.PeerEndpoint, Bus.address());
  });
  const bool Unique = HolderIt == Members.end();
  if (!Unique && !OwnerTagTaken)
    logEvent(events::OwnerTagTaken, {{"peer", HolderIt->Id.Name},
                                     {"address", describe(Bus.address())}});
  OwnerTagTaken = !Unique;
  return Unique;
}

void BackendDirectory::tick() {
  Dispatch.checkStall();
  const Instant Now = Loop.now();
  std::vector<std::string> Expired;
  for (const auto &[Id, Backend] : Backends)
    if (Now - Backend.LastHeard > ForgetTimeout &&
        !Dispatch.dispatcher().owns(Id))
      Expired.push_back(Id);
  for (const std::string &Id : Expired) {
    logEvent(events::BackendExpired, {{"backend", Id}});
    remove(Id);
  }
  PeerOwnership.keepOnly(Bus.members().members(MemberRole::Control));
  const std::vector<MemberInfo> ControlVms = Bus.liveControlVms();
  const bool MayAcquire =
      !Draining && anyEntryVmReachable() && isOwnerTagUnique();
  for (auto &[Id, Backend] : Backends) {
    if (Backend.Report.Id.empty())
      continue;
    const auto PreferredOwner =
        preferredOwner(Id, Backend.Report.DataCentre, ControlVms);
    const OwnershipSituation Situation =
        situation(Id, Backend, PreferredOwner.value_or(""), MayAcquire);
    perform(Backend.Plan.decide(Situation, Loop.now()), Id);
  }
  Dispatch.run();
}

bool BackendDirectory::isOwnedByLivePeer(const std::string &Id) const {
  return std::ranges::any_of(PeerOwnership.owners(Id),
                             [this](const VmId &Owner) {
                               return Bus.members().isLive(Owner, Loop.now());
                             });
}

OwnershipSituation
BackendDirectory::situation(const std::string &Id, const BackendRecord &Backend,
                            const std::string &PreferredOwner,
                            bool MayAcquire) const {
  const Instant Now = Loop.now();
  const Dispatcher &JobDispatcher = Dispatch.dispatcher();
  const bool SameDataCentre = Backend.Report.DataCentre == Bus.dataCentre();
  const Duration Grace = !SameDataCentre    ? StartupGrace
                         : Backend.Restored ? RestoredGrace
                                            : Duration::zero();
  OwnershipSituation Situation;
  Situation.MayHoldRuns = JobDispatcher.mayHoldRuns(Id);
  Situation.SelfPreferred = PreferredOwner == Bus.self().Name;
  Situation.PreferredReachable = Bus.members().isReachable(PreferredOwner, Now);
  Situation.Draining = Draining;
  Situation.MayAcquire = MayAcquire && Now - StartTime >= Grace;
  Situation.OwnedByLivePeer = Situation.SelfPreferred &&
                              !Situation.MayHoldRuns && isOwnedByLivePeer(Id);
  Situation.Responsive =
      Now - Backend.LastHeard <= RecentReportLimit ||
      JobDispatcher.reachableFor(Id, Now) >= MinReachableTime;
  return Situation;
}

void BackendDirectory::perform(OwnershipAction Action, const std::string &Id) {
  const Instant Now = Loop.now();
  Dispatcher &JobDispatcher = Dispatch.dispatcher();
  switch (Action) {
  case OwnershipAction::None:
    return;
  case OwnershipAction::Keep:
    JobDispatcher.keep(Id);
    return;
  case OwnershipAction::ReleaseAndMoveRuns:
    JobDispatcher.moveStoredRuns(Id, Now);
    [[fallthrough]];
  case OwnershipAction::Release:
    JobDispatcher.release(Id, Now);
    return;
  case OwnershipAction::Acquire:
    JobDispatcher.acquire(Id, fencingTermAt(std::chrono::system_clock::now()),
                          Now);
    return;
  case OwnershipAction::Probe:
    JobDispatcher.probe(Id, Now);
    return;
  }
}

} // namespace sapphiremoor
