#include "leases/backendtable.h"

#include "leases/internal/lifecycle.h"

#include <algorithm>

namespace sapphiremoor {

namespace {

using detail::lifeCycle;
using std::chrono::seconds;

// An announcement is about 180 bytes with its headers; all announcements at
// one dispatcher stay within 3,000 bytes/s of its 5 KB/s.
constexpr std::size_t AnnouncementBytes = 180;
constexpr std::size_t BytesPerSecond = 3000;

// A leaving server runs on for at most one task timeout (30 s). A process that
// is restarted under the same identifier and address waits no longer than this.
constexpr Duration LongestHold = seconds(30);

/// Performs one action of the chart.
void perform(ActionId Action, Backend &Server, Instant Now) {
  const Duration Lease = leaseLength(Server.Interval);
  if (Action == lifeCycle().StartLease)
    Server.LeaseEnd = Now + Lease;
  if (Action == lifeCycle().ExtendLease)
    Server.LeaseEnd = std::max(Server.LeaseEnd, Now + Lease);
  if (Action == lifeCycle().StartHold)
    Server.LeaseEnd = Now + std::min(Lease, LongestHold);
}

/// Runs one event on \p Server. Returns whether the chart has a transition.
bool apply(Backend &Server, EventId Event, Instant Now) {
  const auto Next = step(lifeCycle().Machine, Server.State, Event);
  if (isError(Next))
    return false;
  Server.State = valueOf(Next).Target;
  for (const ActionId Action : valueOf(Next).Actions)
    perform(Action, Server, Now);
  return true;
}

bool isGone(const Backend &Server) {
  return lifeCycle().Machine.isFinal(Server.State);
}

/// Runs an event that has no use of the time.
void applyTimeless(BackendTable &Table, const std::string &Id, EventId Event) {
  const auto Found = Table.Backends.find(Id);
  if (Found != Table.Backends.end())
    apply(Found->second, Event, Instant());
}

/// Adds the server, or takes its new data, and runs \p Event on it.
Backend &place(BackendTable &Table, const Announcement &Told, EventId Event,
               Instant Now) {
  const auto [Found, Added] = Table.Backends.try_emplace(Told.Id);
  Backend &Server = Found->second;
  if (Added)
    Server.State = lifeCycle().Machine.initial();
  Server.Last = Told;
  Server.Interval = announcementInterval(Table.Backends.size());
  apply(Server, Event, Now);
  if (Added && Table.Drained.contains(Told.Id))
    apply(Server, lifeCycle().Drain, Now);
  return Server;
}

bool sameEndpoint(const Announcement &A, const Announcement &B) {
  return A.Address == B.Address && A.Port == B.Port;
}

/// Returns whether only the number of running tasks differs.
bool sameServer(Announcement A, const Announcement &B) {
  A.Running = B.Running;
  return A == B;
}

/// A leaving process may be followed by a new one with the same identifier:
/// after the hold, or at once if it listens elsewhere.
bool succeeded(const Backend &Server, const Announcement &Told, Instant Now) {
  return Server.State == lifeCycle().Leaving &&
         (Now >= Server.LeaseEnd || !sameEndpoint(Server.Last, Told));
}

Error unknownBackend(const std::string &Id) {
  return {ErrorKind::NotFound, "no backend server '" + Id + "' is known",
          "see 'sapphiremoor status' for the identifiers"};
}

std::vector<std::string> sortedIds(const BackendTable &Table) {
  std::vector<std::string> Ids;
  Ids.reserve(Table.Backends.size());
  for (const auto &[Id, Server] : Table.Backends)
    Ids.push_back(Id);
  std::ranges::sort(Ids);
  return Ids;
}

/// Returns the change for a drain or its end; an absent server has no data.
BackendChange drainChange(const BackendTable &Table, const std::string &Id,
                          BackendChangeKind Kind) {
  const Backend *Server = find(Table, Id);
  if (Server != nullptr)
    return {Kind, Server->Last};
  Announcement OnlyId;
  OnlyId.Id = Id;
  return {Kind, OnlyId};
}

} // namespace

Duration announcementInterval(std::size_t Count) {
  const std::size_t Bytes = Count * AnnouncementBytes;
  const std::size_t Whole = (Bytes + BytesPerSecond - 1) / BytesPerSecond;
  return seconds(std::max<std::size_t>(Whole, 1));
}

Duration leaseLength(Duration Interval) { return Interval * 5 / 2; }

AnnounceResult announce(BackendTable &Table, const Announcement &Told,
                        Instant Now) {
  const auto Found = Table.Backends.find(Told.Id);
  if (Found != Table.Backends.end() && succeeded(Found->second, Told, Now))
    Table.Backends.erase(Found);
  const Backend *Earlier = find(Table, Told.Id);
  if (Earlier != nullptr && Earlier->State == lifeCycle().Leaving)
    return {announcementInterval(Table.Backends.size()),
            AnnounceOutcome::RefusedLeaving, std::nullopt};
  const bool New = Earlier == nullptr;
  const bool Same = !New && sameServer(Earlier->Last, Told);
  const Backend &Server = place(Table, Told, lifeCycle().Announced, Now);
  if (Same)
    return {Server.Interval, AnnounceOutcome::Renewed, std::nullopt};
  if (New)
    return {Server.Interval, AnnounceOutcome::Joined,
            BackendChange{BackendChangeKind::Joined, Told}};
  return {Server.Interval, AnnounceOutcome::Changed,
          BackendChange{BackendChangeKind::Changed, Told}};
}

std::optional<BackendChange> leave(BackendTable &Table, const std::string &Id,
                                   Instant Now) {
  const auto Found = Table.Backends.find(Id);
  if (Found == Table.Backends.end())
    return std::nullopt;
  const StateId Before = Found->second.State;
  apply(Found->second, lifeCycle().Leave, Now);
  if (Found->second.State == Before)
    return std::nullopt;
  return BackendChange{BackendChangeKind::Leaving, Found->second.Last};
}

Result<BackendChange> drain(BackendTable &Table, const std::string &Id) {
  if (find(Table, Id) == nullptr && !Table.Drained.contains(Id))
    return unknownBackend(Id);
  Table.Drained.insert(Id);
  applyTimeless(Table, Id, lifeCycle().Drain);
  return drainChange(Table, Id, BackendChangeKind::Drained);
}

Result<BackendChange> undrain(BackendTable &Table, const std::string &Id) {
  if (find(Table, Id) == nullptr && !Table.Drained.contains(Id))
    return unknownBackend(Id);
  Table.Drained.erase(Id);
  applyTimeless(Table, Id, lifeCycle().Undrain);
  return drainChange(Table, Id, BackendChangeKind::Undrained);
}

void contact(BackendTable &Table, const std::string &Id, Instant Now) {
  const auto Found = Table.Backends.find(Id);
  if (Found != Table.Backends.end())
    apply(Found->second, lifeCycle().Contacted, Now);
}

std::optional<BackendChange> connectFailed(BackendTable &Table,
                                           const std::string &Id, Instant Now) {
  const auto Found = Table.Backends.find(Id);
  if (Found == Table.Backends.end())
    return std::nullopt;
  apply(Found->second, lifeCycle().ConnectFailed, Now);
  if (!isGone(Found->second))
    return std::nullopt;
  BackendChange Change{BackendChangeKind::Unreachable, Found->second.Last};
  Table.Backends.erase(Found);
  return Change;
}

std::vector<BackendChange> expire(BackendTable &Table, Instant Now) {
  std::vector<BackendChange> Changes;
  for (auto &[Id, Server] : Table.Backends) {
    if (Now < Server.LeaseEnd)
      continue;
    const bool Left = Server.State == lifeCycle().Leaving;
    apply(Server, lifeCycle().Expire, Now);
    Changes.push_back(
        {Left ? BackendChangeKind::Left : BackendChangeKind::Expired,
         Server.Last});
  }
  std::erase_if(Table.Backends,
                [](const auto &Entry) { return isGone(Entry.second); });
  std::ranges::sort(Changes, {}, [](const BackendChange &Change) {
    return Change.Backend.Id;
  });
  return Changes;
}

void adopt(BackendTable &Table, const BackendChange &Change, Instant Now) {
  const std::string &Id = Change.Backend.Id;
  const Backend *Known = find(Table, Id);
  switch (Change.Kind) {
  case BackendChangeKind::Joined:
  case BackendChangeKind::Changed:
    // The dispatcher has taken the server back, so the hold here is obsolete.
    if (Known != nullptr && Known->State == lifeCycle().Leaving)
      Table.Backends.erase(Id);
    place(Table, Change.Backend, lifeCycle().Told, Now);
    return;
  case BackendChangeKind::Drained:
    Table.Drained.insert(Id);
    applyTimeless(Table, Id, lifeCycle().Drain);
    return;
  case BackendChangeKind::Undrained:
    Table.Drained.erase(Id);
    applyTimeless(Table, Id, lifeCycle().Undrain);
    return;
  case BackendChangeKind::Leaving:
    if (Known == nullptr)
      place(Table, Change.Backend, lifeCycle().Told, Now);
    leave(Table, Id, Now);
    return;
  case BackendChangeKind::Left:
  case BackendChangeKind::Expired:
  case BackendChangeKind::Unreachable:
    Table.Backends.erase(Id);
    return;
  }
}

void takeOver(BackendTable &Table, Instant Now) {
  const Duration Interval = announcementInterval(Table.Backends.size());
  for (auto &[Id, Server] : Table.Backends) {
    Server.Interval = std::max(Server.Interval, Interval);
    apply(Server, lifeCycle().TakenOver, Now);
  }
}

std::vector<BackendChange> snapshot(const BackendTable &Table) {
  std::vector<BackendChange> Changes;
  for (const std::string &Id : sortedIds(Table)) {
    const Backend &Server = Table.Backends.at(Id);
    const bool Leaving = Server.State == lifeCycle().Leaving;
    Changes.push_back(
        {Leaving ? BackendChangeKind::Leaving : BackendChangeKind::Joined,
         Server.Last});
  }
  for (const std::string &Id : Table.Drained)
    Changes.push_back(drainChange(Table, Id, BackendChangeKind::Drained));
  return Changes;
}

const Backend *find(const BackendTable &Table, const std::string &Id) {
  const auto Found = Table.Backends.find(Id);
  return Found == Table.Backends.end() ? nullptr : &Found->second;
}

bool takesWork(const BackendTable &Table, const std::string &Id) {
  const Backend *Server = find(Table, Id);
  return Server != nullptr && Server->State == lifeCycle().Serving;
}

const std::string &stateName(const Backend &Server) {
  return lifeCycle().Machine.stateName(Server.State);
}

} // namespace sapphiremoor
