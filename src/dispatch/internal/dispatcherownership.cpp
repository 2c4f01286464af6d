#include "dispatch/dispatcher.h"

#include <algorithm>

namespace sapphiremoor {

using detail::OwnerMode;
using detail::RunPhase;

namespace {

/// Bits of a fencing token below the term.
constexpr int OwnerTagBits = 16;

/// Terms by which a fenced owner raises its token. A former owner's term may be
/// ahead by as much as the clocks of two VMs differ.
constexpr uint64_t TermRaise = 20;
constexpr int MostTokenRaises = 6;

/// An attempt to take a backend server that does not answer ends after this
/// time. A late one could fence an owner that works behind a healed partition.
constexpr Duration AcquireLimit = std::chrono::milliseconds(800);

/// A start that was not resolved in an earlier life is kept for this time while
/// the new life does not answer.
constexpr Duration UnresolvedLimit = std::chrono::seconds(3);

/// Probes that were answered longer ago tell nothing about now.
constexpr Duration ProbeValidity = std::chrono::milliseconds(1200);

} // namespace

uint64_t Dispatcher::tokenOf(uint64_t Term) const {
  return (Term << OwnerTagBits) | OwnerTag;
}

bool Dispatcher::backendReported(const BackendReport &Report, Instant Now) {
  const auto Found = Backends.find(Report.Id);
  if (Found == Backends.end()) {
    Backend Added;
    Added.Report = Report;
    Added.Life = NextLife++;
    Backends.emplace(Report.Id, std::move(Added));
    return true;
  }
  Backend &Of = Found->second;
  if (!olderThan(Of.Report, Report))
    return false;
  const bool Reborn = Of.Report.Born != Report.Born;
  const bool Changed = Reborn || Of.Report.Draining != Report.Draining ||
                       Of.Report.Address != Report.Address;
  Of.Report = Report;
  if (Reborn)
    newLife(Of, Now);
  return Changed;
}

void Dispatcher::backendRemoved(const std::string &Id, Instant Now) {
  const auto Found = Backends.find(Id);
  if (Found == Backends.end())
    return;
  Backend &Of = Found->second;
  // What runs there may go on until its lease ends.
  if (!Of.Runs.empty() && !Of.Clock.expired(Now)) {
    Of.Report.Draining = true;
    return;
  }
  allRunsGone(Of, LateOrders::Possible);
  Backends.erase(Found);
  schedule(Now);
}

void Dispatcher::acquire(const std::string &Id, uint64_t Term, Instant Now) {
  const auto Found = Backends.find(Id);
  if (Found == Backends.end())
    return;
  Backend &Of = Found->second;
  Of.Releasing = false;
  if (Of.Mode != OwnerMode::Foreign && Of.Mode != OwnerMode::Probing)
    return;
  Of.Mode = OwnerMode::Acquiring;
  Of.AcquireSince = Now;
  Of.Token = std::max(Of.Token, tokenOf(Term));
  Of.TokenRaises = 0;
  Of.Suspect = false;
  Of.Life = NextLife++;
  Of.HoldOpen = false;
  sendHold(Of, Now);
}

void Dispatcher::probe(const std::string &Id, Instant Now) {
  const auto Found = Backends.find(Id);
  if (Found == Backends.end() || Found->second.Mode != OwnerMode::Foreign)
    return;
  Backend &Of = Found->second;
  Of.Mode = OwnerMode::Probing;
  Of.Life = NextLife++;
  Of.HoldOpen = false;
  sendHold(Of, Now);
}

Duration Dispatcher::reachableFor(const std::string &Id, Instant Now) const {
  const auto Found = Backends.find(Id);
  if (Found == Backends.end() || !Found->second.ReachableSince ||
      Now - Found->second.ReachedAt > ProbeValidity)
    return Duration::zero();
  return Now - *Found->second.ReachableSince;
}

void Dispatcher::probeAnswered(Backend &Of, Instant Now) {
  Of.Mode = OwnerMode::Foreign;
  if (!Of.ReachableSince || Now - Of.ReachedAt > ProbeValidity)
    Of.ReachableSince = Now;
  Of.ReachedAt = Now;
}

void Dispatcher::release(const std::string &Id, Instant) {
  const auto Found = Backends.find(Id);
  if (!involved(Id))
    return;
  Found->second.Releasing = true;
  if (Found->second.Runs.empty())
    giveUpBackend(Found->second, "released");
}

bool Dispatcher::owns(const std::string &Id) const {
  const auto Found = Backends.find(Id);
  return Found != Backends.end() && Found->second.Mode == OwnerMode::Owned;
}

std::vector<std::string> Dispatcher::owned() const {
  std::vector<std::string> Ids;
  for (const auto &[Id, Of] : Backends)
    if (Of.Mode == OwnerMode::Owned)
      Ids.push_back(Id);
  return Ids;
}

bool Dispatcher::involved(const std::string &Id) const {
  const auto Found = Backends.find(Id);
  return Found != Backends.end() && Found->second.Mode != OwnerMode::Foreign &&
         Found->second.Mode != OwnerMode::Probing;
}

void Dispatcher::becomeOwned(Backend &Of) {
  // Orders of the former token are refused from here on, so runs that were not
  // resolved will never come to be.
  allRunsGone(Of, LateOrders::Excluded);
  std::erase_if(UnresolvedStarts, [&Of](const auto &Each) {
    return Each.second.Backend == Of.Report.Id;
  });
  Of.Mode = OwnerMode::Owned;
  Effects.emplace_back(OwnershipChanged{Of.Report.Id, true, "acquired"});
}

void Dispatcher::fenced(Backend &Of, Instant Now) {
  if (Of.Mode == OwnerMode::Acquiring && Of.TokenRaises < MostTokenRaises) {
    ++Of.TokenRaises;
    Of.Token = tokenOf((Of.Token >> OwnerTagBits) + TermRaise);
    sendHold(Of, Now);
    return;
  }
  if (Of.Mode != OwnerMode::Acquiring && Of.Mode != OwnerMode::Owned)
    return;
  Of.Mode = Of.Runs.empty() ? OwnerMode::Foreign : OwnerMode::Lost;
  Effects.emplace_back(OwnershipChanged{Of.Report.Id, false, "fenced"});
}

void Dispatcher::takeAgain(Backend &Of, Instant Now) {
  Of.Mode = OwnerMode::Acquiring;
  Of.AcquireSince = Now;
  Of.Token = tokenOf((Of.Token >> OwnerTagBits) + 1);
  Of.TokenRaises = 0;
  Of.Life = NextLife++;
  Of.SeenEnds = 0;
  Of.UnstoredEnds.clear();
  Of.SupersededEnds.clear();
  Of.HoldOpen = false;
  sendHold(Of, Now);
}

void Dispatcher::newLife(Backend &Of, Instant Now) {
  // A start that was not answered may still be carried out in the new life. It
  // is kept until a higher token rules that out.
  std::vector<TaskId> Ended;
  for (const auto &[Task, Each] : Of.Runs)
    if (Each.Phase != RunPhase::Starting && !Each.MaybeSent)
      Ended.push_back(Task);
  for (const TaskId &Task : Ended)
    runGone(Of, Task, LateOrders::Excluded);
  Of.Clock = {};
  Of.Health = {};
  Of.Slowness = 1;
  Of.Life = NextLife++;
  Of.SeenEnds = 0;
  Of.UnstoredEnds.clear();
  Of.SupersededEnds.clear();
  Of.HoldOpen = false;
  if (Of.Mode == OwnerMode::Owned || Of.Mode == OwnerMode::Acquiring)
    takeAgain(Of, Now);
  schedule(Now);
}

void Dispatcher::giveUpBackend(Backend &Of, const std::string &Why) {
  Of.Releasing = false;
  if (Of.Mode == OwnerMode::Foreign || Of.Mode == OwnerMode::Probing)
    return;
  Of.Mode = Of.Runs.empty() ? OwnerMode::Foreign : OwnerMode::Lost;
  Effects.emplace_back(OwnershipChanged{Of.Report.Id, false, Why});
}

void Dispatcher::repeatStops(Backend &Of, Instant Now) {
  for (auto &[Task, Each] : Of.Runs)
    if (Each.Phase == RunPhase::Stopping &&
        Now - Each.StopSent >= Limits.StopRetry)
      sendStop(Of, Task, Each, Now);
}

void Dispatcher::tickBackend(Backend &Of, Instant Now) {
  switch (Of.Mode) {
  case OwnerMode::Foreign:
  case OwnerMode::Probing:
    return;
  case OwnerMode::Lost:
    if (!Of.Clock.expired(Now))
      return;
    allRunsGone(Of, LateOrders::Possible);
    Of.Mode = OwnerMode::Foreign;
    return;
  case OwnerMode::Acquiring:
    if (!Of.Suspect || Now - Of.AcquireSince <
                           (Of.Runs.empty() ? AcquireLimit : UnresolvedLimit))
      break;
    allRunsGone(Of, LateOrders::Possible);
    giveUpBackend(Of, "unreachable");
    return;
  case OwnerMode::Owned:
    if (Of.Suspect && !Of.Runs.empty() && Of.Clock.expired(Now)) {
      allRunsGone(Of, LateOrders::Possible);
      takeAgain(Of, Now);
      return;
    }
    repeatStops(Of, Now);
    confirmSuperseded(Of, Now);
    break;
  }
  if (!Of.HoldOpen && Now >= Of.NextHold)
    sendHold(Of, Now);
}

} // namespace sapphiremoor
