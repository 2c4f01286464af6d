#include "cluster/backenddirectory.h"

#include "discovery/ownership.h"
#include "framework/eventlog/eventlog.h"

#include <algorithm>
#include <utility>

namespace sapphiremoor {

namespace {

constexpr Duration TickPeriod = std::chrono::milliseconds(100);
constexpr Duration FlushPeriod = std::chrono::milliseconds(300);

/// A backend server that reported to nobody for this time is forgotten. It
/// covers several reports.
constexpr Duration ForgetAfter = std::chrono::seconds(10);

/// A backend server that was heard lately is taken over at once. Another one
/// may be behind a partition, with its owner: it is probed for some time, in
/// which an owner that comes back shows up.
constexpr Duration FreshFor = std::chrono::milliseconds(1800);
constexpr Duration ProbePause = std::chrono::milliseconds(250);
constexpr Duration ProbedFor = std::chrono::milliseconds(300);

/// At the start the other control VMs are not known yet; nothing of another
/// data centre is taken before they had time to show up.
constexpr Duration StartGrace = std::chrono::seconds(2);

/// Time for which another owner has to be preferred before a handover, so that
/// a VM that comes and goes does not move backend servers.
constexpr Duration HandoverAfter = std::chrono::seconds(1);

/// Pause after another VM fenced this one.
constexpr Duration FencedPause = std::chrono::seconds(1);

/// Fencing terms count quarters of seconds of the time of day.
constexpr int64_t TermMs = 250;

} // namespace

BackendDirectory::BackendDirectory(EventLoop &Loop, ClusterBus &Bus,
                                   DispatchService &Dispatch)
    : Loop(Loop), Bus(Bus), Dispatch(Dispatch),
      TickTimer(Loop, [this] { tick(); }),
      FlushTimer(Loop, [this] { flush(); }) {}

void BackendDirectory::start() {
  Started = Loop.now();
  TickTimer.startPeriodic(TickPeriod);
  FlushTimer.startPeriodic(FlushPeriod);
}

void BackendDirectory::drain() { Draining = true; }

bool BackendDirectory::take(const BackendReport &Report) {
  const auto [Found, New] = Known.try_emplace(Report.Id);
  Entry &Of = Found->second;
  if (!New && !isOlder(Of.Report, Report)) {
    return false;
  }
  Of.Report = Report;
  Of.Heard = Loop.now();
  const bool Changed = Dispatch.dispatcher().handleReport(Report, Loop.now());
  if (Changed)
    logEvent(Report.Draining ? events::BackendLeaving : events::BackendJoined,
             {{"backend", Report.Id},
              {"address", describe(Report.Address)},
              {"born", std::to_string(Report.StartTimeMs)},
              {"sequence", std::to_string(Report.Sequence)}});
  Dispatch.run();
  return Changed;
}

void BackendDirectory::reported(const BackendReport &Report) {
  const bool Changed = take(Report);
  Outgoing.Reports.push_back(Report);
  if (Changed)
    flush();
}

void BackendDirectory::left(const std::string &Id) {
  remove(Id);
  Outgoing.Left.push_back(Id);
  flush();
}

void BackendDirectory::remove(const std::string &Id) {
  Known.erase(Id);
  Dispatch.dispatcher().removeBackend(Id, Loop.now());
  Dispatch.run();
}

void BackendDirectory::received(const VmId &, const BackendReports &News) {
  for (const BackendReport &Each : News.Reports)
    take(Each);
  for (const std::string &Id : News.Left)
    remove(Id);
}

void BackendDirectory::received(const VmId &From, const OwnershipNews &News) {
  for (const std::string &Id : News.Taken)
    Known[Id].Owner = From.Name;
  for (const std::string &Id : News.GivenUp) {
    const auto Found = Known.find(Id);
    if (Found != Known.end() && Found->second.Owner == From.Name)
      Found->second.Owner.clear();
  }
}

void BackendDirectory::ownershipChanged(const OwnershipChanged &Change) {
  OwnershipNews News;
  (Change.Owned ? News.Taken : News.GivenUp).push_back(Change.BackendId);
  Bus.sendToRole(MemberRole::Control, News);
  const auto Found = Known.find(Change.BackendId);
  if (Found == Known.end())
    return;
  if (Change.Owned)
    Found->second.Owner.clear();
  else
    Found->second.NextAttempt = Loop.now() + FencedPause;
}

void BackendDirectory::peerUp(const VmId &Peer) {
  BackendReports All;
  for (const auto &[Id, Of] : Known)
    if (!Of.Report.Id.empty())
      All.Reports.push_back(Of.Report);
  if (!All.Reports.empty())
    Bus.send(Peer.Name, All);
  const OwnershipNews Own{Dispatch.dispatcher().ownedBackends(), {}};
  if (!Own.Taken.empty())
    Bus.send(Peer.Name, Own);
}

void BackendDirectory::flush() {
  if (Outgoing.Reports.empty() && Outgoing.Left.empty())
    return;
  const BackendReports News = std::exchange(Outgoing, {});
  Bus.sendToRole(MemberRole::Control, News);
}

bool BackendDirectory::entryReachable() const {
  const Instant Now = Loop.now();
  return std::ranges::any_of(
      Bus.members().members(MemberRole::Entry), [&](const MemberInfo &Each) {
        return Bus.members().reachable(Each.Id.Name, Now);
      });
}

uint64_t BackendDirectory::termNow() const {
  const auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  const auto Ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(SinceEpoch);
  return static_cast<uint64_t>(Ms.count() / TermMs);
}

void BackendDirectory::tick() {
  const Instant Now = Loop.now();
  std::vector<std::string> Silent;
  for (const auto &[Id, Of] : Known)
    if (Now - Of.Heard > ForgetAfter && !Dispatch.dispatcher().owns(Id))
      Silent.push_back(Id);
  for (const std::string &Id : Silent) {
    logEvent(events::BackendExpired, {{"backend", Id}});
    remove(Id);
  }
  const std::vector<MemberInfo> Controls = Bus.liveControls();
  const bool MayTake = !Draining && entryReachable();
  for (auto &[Id, Of] : Known) {
    if (Of.Report.Id.empty())
      continue;
    const auto Preferred = preferredOwner(Id, Of.Report.DataCentre, Controls);
    consider(Id, Of, Preferred.value_or(""), MayTake);
  }
  Dispatch.run();
}

void BackendDirectory::consider(const std::string &Id, Entry &Of,
                                const std::string &Preferred, bool MayTake) {
  const Instant Now = Loop.now();
  Dispatcher &Decisions = Dispatch.dispatcher();
  const bool Own = Preferred == Bus.self().Name;
  if (Decisions.mayHoldRuns(Id)) {
    if (Own) {
      Of.OtherPreferred = false;
      return;
    }
    if (!std::exchange(Of.OtherPreferred, true))
      Of.OtherSince = Now;
    if (Draining || Now - Of.OtherSince > HandoverAfter)
      Decisions.release(Id, Now);
    return;
  }
  const bool Claimed = !Of.Owner.empty() && Bus.members().live(Of.Owner, Now);
  const bool Fresh = Now - Of.Heard <= FreshFor;
  const bool SameDataCentre = Of.Report.DataCentre == Bus.dataCentre();
  const bool Settled = SameDataCentre || Now - Started > StartGrace;
  if (!Own || !MayTake || Claimed || !Settled || Now < Of.NextAttempt)
    return;
  if (Fresh || Decisions.reachableFor(Id, Now) >= ProbedFor) {
    Of.NextAttempt = Now + FencedPause;
    Decisions.acquire(Id, termNow(), Now);
    return;
  }
  Of.NextAttempt = Now + ProbePause;
  Decisions.probe(Id, Now);
}

} // namespace sapphiremoor
