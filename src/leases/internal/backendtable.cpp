#include "leases/backendtable.h"

#include "leases/internal/lifecycle.h"

#include <algorithm>

namespace sapphiremoor {

namespace {

using detail::lifeCycle;
using std::chrono::seconds;

// An announcement takes about 180 bytes with its headers. All announcements to
// one dispatcher use at most 3,000 bytes/s of its 5 KB/s.
constexpr std::size_t AnnouncementBytes = 180;
constexpr std::size_t MaxBytesPerSecond = 3000;

// A leaving server keeps running for at most one task timeout (30 s). A process
// that is restarted with the same identifier and address waits no longer than
// this.
constexpr Duration MaxHold = seconds(30);

/// Performs an action of the state chart.
void perform(ActionId Action, Backend &Server, Instant Now) {
  const Duration Lease = leaseLength(Server.Interval);
  if (Action == lifeCycle().StartLease)
    Server.LeaseEnd = Now + Lease;
  if (Action == lifeCycle().ExtendLease)
    Server.LeaseEnd = std::max(Server.LeaseEnd, Now + Lease);
  if (Action == lifeCycle().StartHold)
    Server.LeaseEnd = Now + std::min(Lease, MaxHold);
}

/// Applies an event to \p Server. Returns whether the state chart has a
/// transition for it.
bool apply(Backend &Server, EventId Event, Instant Now) {
  const auto StepResult = step(lifeCycle().Machine, Server.State, Event);
  if (isError(StepResult))
    return false;
  Server.State = valueOf(StepResult).Target;
  for (const ActionId Action : valueOf(StepResult).Actions)
    perform(Action, Server, Now);
  return true;
}

bool isGone(const Backend &Server) {
  return lifeCycle().Machine.isFinal(Server.State);
}

/// Applies an event whose actions do not use the current time.
void applyWithoutTime(BackendTable &Table, const std::string &Id,
                      EventId Event) {
  const auto It = Table.Backends.find(Id);
  if (It != Table.Backends.end())
    apply(It->second, Event, Instant());
}

/// Adds the server or replaces its announcement, and applies \p Event to it.
Backend &upsertServer(BackendTable &Table, const Announcement &Message,
                      EventId Event, Instant Now) {
  const auto [It, Inserted] = Table.Backends.try_emplace(Message.Id);
  Backend &Server = It->second;
  if (Inserted)
    Server.State = lifeCycle().Machine.initial();
  Server.LastAnnouncement = Message;
  Server.Interval = announcementInterval(Table.Backends.size());
  apply(Server, Event, Now);
  if (Inserted && Table.Drained.contains(Message.Id))
    apply(Server, lifeCycle().Drain, Now);
  return Server;
}

bool hasSameEndpoint(const Announcement &A, const Announcement &B) {
  return A.Address == B.Address && A.Port == B.Port;
}

/// Returns whether the announcements are equal apart from the number of running
/// tasks.
bool isSameServer(Announcement A, const Announcement &B) {
  A.Running = B.Running;
  return A == B;
}

/// Returns whether a new process may replace a leaving one that has the same
/// identifier: after the hold, or at once if its address or port differs.
bool canReplace(const Backend &Server, const Announcement &Message,
                Instant Now) {
  return Server.State == lifeCycle().Leaving &&
         (Now >= Server.LeaseEnd ||
          !hasSameEndpoint(Server.LastAnnouncement, Message));
}

Error unknownBackend(const std::string &Id) {
  return {ErrorKind::NotFound,
          "no backend server has the identifier '" + Id + "'",
          "list the identifiers with 'sapphiremoor status'"};
}

std::vector<std::string> sortedIds(const BackendTable &Table) {
  std::vector<std::string> Ids;
  Ids.reserve(Table.Backends.size());
  for (const auto &[Id, Server] : Table.Backends)
    Ids.push_back(Id);
  std::ranges::sort(Ids);
  return Ids;
}

/// Returns the change for a drain or its end. For an absent server it contains
/// only the identifier.
BackendChange drainChange(const BackendTable &Table, const std::string &Id,
                          BackendChangeKind Kind) {
  const Backend *Server = find(Table, Id);
  if (Server != nullptr)
    return {Kind, Server->LastAnnouncement};
  Announcement AbsentServer;
  AbsentServer.Id = Id;
  return {Kind, AbsentServer};
}

} // namespace

Duration announcementInterval(std::size_t Count) {
  const std::size_t Bytes = Count * AnnouncementBytes;
  const std::size_t IntervalSeconds =
      (Bytes + MaxBytesPerSecond - 1) / MaxBytesPerSecond;
  return seconds(std::max<std::size_t>(IntervalSeconds, 1));
}

Duration leaseLength(Duration Interval) { return Interval * 5 / 2; }

AnnounceResult announce(BackendTable &Table, const Announcement &Message,
                        Instant Now) {
  const auto It = Table.Backends.find(Message.Id);
  if (It != Table.Backends.end() && canReplace(It->second, Message, Now))
    Table.Backends.erase(It);
  const Backend *Previous = find(Table, Message.Id);
  if (Previous != nullptr && Previous->State == lifeCycle().Leaving)
    return {announcementInterval(Table.Backends.size()),
            AnnounceOutcome::RefusedLeaving, std::nullopt};
  const bool IsNew = Previous == nullptr;
  const bool IsSame =
      !IsNew && isSameServer(Previous->LastAnnouncement, Message);
  const Backend &Server =
      upsertServer(Table, Message, lifeCycle().Announce, Now);
  if (IsSame)
    return {Server.Interval, AnnounceOutcome::Renewed, std::nullopt};
  if (IsNew)
    return {Server.Interval, AnnounceOutcome::Joined,
            BackendChange{BackendChangeKind::Joined, Message}};
  return {Server.Interval, AnnounceOutcome::Changed,
          BackendChange{BackendChangeKind::Changed, Message}};
}

std::optional<BackendChange> leave(BackendTable &Table, const std::string &Id,
                                   Instant Now) {
  const auto It = Table.Backends.find(Id);
  if (It == Table.Backends.end())
    return std::nullopt;
  const StateId OldState = It->second.State;
  apply(It->second, lifeCycle().Leave, Now);
  if (It->second.State == OldState)
    return std::nullopt;
  return BackendChange{BackendChangeKind::Leaving, It->second.LastAnnouncement};
}

Result<BackendChange> drain(BackendTable &Table, const std::string &Id) {
  if (find(Table, Id) == nullptr && !Table.Drained.contains(Id))
    return unknownBackend(Id);
  Table.Drained.insert(Id);
  applyWithoutTime(Table, Id, lifeCycle().Drain);
  return drainChange(Table, Id, BackendChangeKind::Drained);
}

Result<BackendChange> undrain(BackendTable &Table, const std::string &Id) {
  if (find(Table, Id) == nullptr && !Table.Drained.contains(Id))
    return unknownBackend(Id);
  Table.Drained.erase(Id);
  applyWithoutTime(Table, Id, lifeCycle().Undrain);
  return drainChange(Table, Id, BackendChangeKind::Undrained);
}

void recordContact(BackendTable &Table, const std::string &Id, Instant Now) {
  const auto It = Table.Backends.find(Id);
  if (It != Table.Backends.end())
    apply(It->second, lifeCycle().Contact, Now);
}

std::optional<BackendChange> connectFailed(BackendTable &Table,
                                           const std::string &Id, Instant Now) {
  const auto It = Table.Backends.find(Id);
  if (It == Table.Backends.end())
    return std::nullopt;
  apply(It->second, lifeCycle().ConnectFailed, Now);
  if (!isGone(It->second))
    return std::nullopt;
  BackendChange Change{BackendChangeKind::Unreachable,
                       It->second.LastAnnouncement};
  Table.Backends.erase(It);
  return Change;
}

std::vector<BackendChange> expire(BackendTable &Table, Instant Now) {
  std::vector<BackendChange> Changes;
  for (auto &[Id, Server] : Table.Backends) {
    if (Now < Server.LeaseEnd)
      continue;
    const bool WasLeaving = Server.State == lifeCycle().Leaving;
    apply(Server, lifeCycle().Expire, Now);
    Changes.push_back(
        {WasLeaving ? BackendChangeKind::Left : BackendChangeKind::Expired,
         Server.LastAnnouncement});
  }
  std::erase_if(Table.Backends,
                [](const auto &Entry) { return isGone(Entry.second); });
  std::ranges::sort(Changes, {}, [](const BackendChange &Change) {
    return Change.Backend.Id;
  });
  return Changes;
}

void applyChange(BackendTable &Table, const BackendChange &Change,
                 Instant Now) {
  const std::string &Id = Change.Backend.Id;
  const Backend *Existing = find(Table, Id);
  switch (Change.Kind) {
  case BackendChangeKind::Joined:
  case BackendChangeKind::Changed:
    // The dispatcher has accepted the server again, so the hold no longer
    // applies.
    if (Existing != nullptr && Existing->State == lifeCycle().Leaving)
      Table.Backends.erase(Id);
    upsertServer(Table, Change.Backend, lifeCycle().ChangeReceived, Now);
    return;
  case BackendChangeKind::Drained:
    Table.Drained.insert(Id);
    applyWithoutTime(Table, Id, lifeCycle().Drain);
    return;
  case BackendChangeKind::Undrained:
    Table.Drained.erase(Id);
    applyWithoutTime(Table, Id, lifeCycle().Undrain);
    return;
  case BackendChangeKind::Leaving:
    if (Existing == nullptr)
      upsertServer(Table, Change.Backend, lifeCycle().ChangeReceived, Now);
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
    apply(Server, lifeCycle().TakeOver, Now);
  }
}

std::vector<BackendChange> snapshot(const BackendTable &Table) {
  std::vector<BackendChange> Changes;
  for (const std::string &Id : sortedIds(Table)) {
    const Backend &Server = Table.Backends.at(Id);
    const bool IsLeaving = Server.State == lifeCycle().Leaving;
    Changes.push_back(
        {IsLeaving ? BackendChangeKind::Leaving : BackendChangeKind::Joined,
         Server.LastAnnouncement});
  }
  for (const std::string &Id : Table.Drained)
    Changes.push_back(drainChange(Table, Id, BackendChangeKind::Drained));
  return Changes;
}

const Backend *find(const BackendTable &Table, const std::string &Id) {
  const auto It = Table.Backends.find(Id);
  return It == Table.Backends.end() ? nullptr : &It->second;
}

bool acceptsTasks(const BackendTable &Table, const std::string &Id) {
  const Backend *Server = find(Table, Id);
  return Server != nullptr && Server->State == lifeCycle().Serving;
}

const std::string &stateName(const Backend &Server) {
  return lifeCycle().Machine.stateName(Server.State);
}

} // namespace sapphiremoor
