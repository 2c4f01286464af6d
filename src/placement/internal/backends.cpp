#include "placement/internal/backends.h"
#include "placement/internal/queues.h"
#include "placement/placement.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sapphiremoor {

namespace detail {

namespace {

// Number of columns in the rotation order. Further racks share columns.
constexpr uint32_t RackColumnCount = 256;

void assignPosition(PlacementState &State, uint32_t Index) {
  BackendRecord &Backend = State.Backends[Index];
  const auto NextColumn = static_cast<uint32_t>(State.RackColumns.size());
  const uint32_t Column =
      State.RackColumns
          .try_emplace(Backend.Spec.Rack, NextColumn % RackColumnCount)
          .first->second;
  State.FreeRows.resize(RackColumnCount);
  State.NextRows.resize(RackColumnCount, 0);
  uint32_t Row = 0;
  if (State.FreeRows[Column].empty()) {
    Row = State.NextRows[Column]++;
  } else {
    Row = State.FreeRows[Column].back();
    State.FreeRows[Column].pop_back();
  }
  Backend.Position = Row * RackColumnCount + Column;
  if (Backend.Position >= State.BackendsByPosition.size())
    State.BackendsByPosition.resize(Backend.Position + 1, NoIndex);
  State.BackendsByPosition[Backend.Position] = Index;
}

void releasePosition(PlacementState &State, const BackendRecord &Backend) {
  State.FreeRows[Backend.Position % RackColumnCount].push_back(
      Backend.Position / RackColumnCount);
  State.BackendsByPosition[Backend.Position] = NoIndex;
}

void updateBackendCounts(PlacementState &State, const BackendRecord &Backend,
                         const OfferedService &Offer, bool Add) {
  ServiceRecord &Service = State.Services[Offer.Service];
  const bool IsHealthy = Offer.State == HealthState::Healthy;
  const uint32_t DemotedChange = IsHealthy ? 0 : 1;
  const uint32_t EjectedChange =
      IsHealthy || Offer.State == HealthState::Degraded ? 0 : 1;
  const uint64_t SlotChange = IsHealthy ? Backend.Spec.Slots : 0;
  Service.BackendCount =
      Add ? Service.BackendCount + 1 : Service.BackendCount - 1;
  Service.DemotedCount = Add ? Service.DemotedCount + DemotedChange
                             : Service.DemotedCount - DemotedChange;
  Service.EjectedCount = Add ? Service.EjectedCount + EjectedChange
                             : Service.EjectedCount - EjectedChange;
  Service.Slots = Add ? Service.Slots + SlotChange : Service.Slots - SlotChange;
}

SlotIndexKind chooseIndex(const BackendRecord &Backend,
                          const OfferedService &Offer) {
  if (Backend.Removed || Backend.freeSlots() == 0 || Offer.BackingOff ||
      Offer.State == HealthState::Ejected ||
      Offer.State == HealthState::Probing)
    return SlotIndexKind::None;
  if (Offer.State == HealthState::Degraded)
    return SlotIndexKind::Fallback;
  return Offer.State == HealthState::ProbeDue && !Offer.AnyTaskMayProbe
             ? SlotIndexKind::Probe
             : SlotIndexKind::Preferred;
}

/// Removes an offered service from all indexes, sums and timers.
void detachService(PlacementState &State, uint32_t Index,
                   OfferedService &Offer) {
  BackendRecord &Backend = State.Backends[Index];
  const bool WasRemoved = std::exchange(Backend.Removed, true);
  updateIndex(State, Backend, Offer);
  Backend.Removed = WasRemoved;
  updateBackendCounts(State, Backend, Offer, false);
  const uint64_t Owner = timerOwner(Index, Offer.Service);
  if (Offer.BackingOff)
    State.Backoffs.cancel(Offer.BackoffUntil, Owner);
  State.Probes.cancel(Offer.NextProbe, Owner);
  Offer.BackingOff = false;
}

/// Creates the offered services of a backend server from its announcement. A
/// service that the server offered before keeps its learned statistics and its
/// health state.
void attachServices(PlacementState &State, uint32_t Index,
                    std::vector<OfferedService> PreviousServices) {
  BackendRecord &Backend = State.Backends[Index];
  for (const std::string &Name : Backend.Spec.Services) {
    const uint32_t ServiceNumber = findOrAddService(State, Name);
    if (findOfferedService(Backend, ServiceNumber) != nullptr)
      continue;
    const auto PreviousIt = std::ranges::find(PreviousServices, ServiceNumber,
                                              &OfferedService::Service);
    OfferedService Offer;
    if (PreviousIt != PreviousServices.end())
      Offer = *PreviousIt;
    Offer.Service = ServiceNumber;
    Backend.OfferedServices.push_back(Offer);
    updateBackendCounts(State, Backend, Offer, true);
    if (Offer.NextProbe != Instant::max())
      State.Probes.schedule(Offer.NextProbe, timerOwner(Index, ServiceNumber));
  }
  updateIndexes(State, Backend);
}

std::vector<OfferedService> detachServices(PlacementState &State,
                                           uint32_t Index) {
  for (OfferedService &Offer : State.Backends[Index].OfferedServices)
    detachService(State, Index, Offer);
  return std::exchange(State.Backends[Index].OfferedServices, {});
}

uint32_t addBackend(PlacementState &State, const BackendSpec &Spec) {
  auto Index = static_cast<uint32_t>(State.Backends.size());
  if (State.FreeBackends.empty()) {
    State.Backends.emplace_back();
  } else {
    Index = State.FreeBackends.back();
    State.FreeBackends.pop_back();
  }
  State.Backends[Index].Spec = Spec;
  State.BackendNumbers.emplace(Spec.Id, Index);
  assignPosition(State, Index);
  return Index;
}

} // namespace

OfferedService *findOfferedService(BackendRecord &Backend, uint32_t Service) {
  const auto It = std::ranges::find(Backend.OfferedServices, Service,
                                    &OfferedService::Service);
  return It == Backend.OfferedServices.end() ? nullptr : std::to_address(It);
}

void updateIndex(PlacementState &State, BackendRecord &Backend,
                 OfferedService &Offer) {
  const SlotIndexKind Target = chooseIndex(Backend, Offer);
  const uint32_t Level = std::min(Backend.freeSlots(), SlotIndex::MaxLevel);
  if (Target == Offer.IndexedIn &&
      (Target == SlotIndexKind::None || Level == Offer.IndexedLevel))
    return;
  ServiceRecord &Service = State.Services[Offer.Service];
  if (Offer.IndexedIn == SlotIndexKind::Preferred) {
    Service.Preferred.erase(Backend.Position, Offer.IndexedLevel);
    Service.FreeSlots -= Offer.IndexedLevel;
  }
  if (Offer.IndexedIn == SlotIndexKind::Fallback)
    Service.Fallback.erase(Backend.Position, Offer.IndexedLevel);
  if (Offer.IndexedIn == SlotIndexKind::Probe)
    Service.Probe.erase(Backend.Position, Offer.IndexedLevel);
  Offer.IndexedIn = Target;
  Offer.IndexedLevel = Level;
  if (Target == SlotIndexKind::Preferred) {
    Service.Preferred.insert(Backend.Position, Level);
    Service.FreeSlots += Level;
  }
  if (Target == SlotIndexKind::Fallback)
    Service.Fallback.insert(Backend.Position, Level);
  if (Target == SlotIndexKind::Probe)
    Service.Probe.insert(Backend.Position, Level);
  if (Service.QueuedTasks > 0)
    refreshReadyKey(State, Offer.Service);
}

void updateIndexes(PlacementState &State, BackendRecord &Backend) {
  for (OfferedService &Offer : Backend.OfferedServices)
    updateIndex(State, Backend, Offer);
}

void setHealthState(PlacementState &State, BackendRecord &Backend,
                    OfferedService &Offer, HealthState NewState) {
  updateBackendCounts(State, Backend, Offer, false);
  Offer.State = NewState;
  updateBackendCounts(State, Backend, Offer, true);
  updateIndex(State, Backend, Offer);
}

bool mayEject(const PlacementState &State, uint32_t Service) {
  const ServiceRecord &ServiceEntry = State.Services[Service];
  return ServiceEntry.EjectedCount + 1 <=
         State.Limits.MaxEjectedShare * ServiceEntry.BackendCount;
}

bool mayDemote(const PlacementState &State, uint32_t Service) {
  const ServiceRecord &ServiceEntry = State.Services[Service];
  return ServiceEntry.DemotedCount + 1 <=
         State.Limits.MaxEjectedShare * ServiceEntry.BackendCount;
}

void backOffUntil(PlacementState &State, uint32_t Backend,
                  OfferedService &Offer, Instant Until) {
  const uint64_t Owner = timerOwner(Backend, Offer.Service);
  if (Offer.BackingOff)
    State.Backoffs.cancel(Offer.BackoffUntil, Owner);
  Offer.BackoffUntil = Until;
  Offer.BackingOff = true;
  State.Backoffs.schedule(Until, Owner);
  updateIndex(State, State.Backends[Backend], Offer);
}

void scheduleProbe(PlacementState &State, uint32_t Backend,
                   OfferedService &Offer, Instant Time) {
  const uint64_t Owner = timerOwner(Backend, Offer.Service);
  State.Probes.cancel(Offer.NextProbe, Owner);
  Offer.NextProbe = Time;
  if (Time != Instant::max())
    State.Probes.schedule(Time, Owner);
}

void handleTimers(PlacementState &State, Instant Now) {
  while (const auto Owner = State.Backoffs.takeDue(Now)) {
    BackendRecord &Backend = State.Backends[*Owner >> 32];
    OfferedService *Offer =
        findOfferedService(Backend, static_cast<uint32_t>(*Owner));
    Offer->BackingOff = false;
    updateIndex(State, Backend, *Offer);
  }
  while (const auto Owner = State.Probes.takeDue(Now)) {
    BackendRecord &Backend = State.Backends[*Owner >> 32];
    OfferedService *Offer =
        findOfferedService(Backend, static_cast<uint32_t>(*Owner));
    Offer->NextProbe = Instant::max();
    Offer->AnyTaskMayProbe =
        Offer->Slow || Offer->State == HealthState::ProbeDue;
    setHealthState(State, Backend, *Offer, HealthState::ProbeDue);
    if (!Offer->AnyTaskMayProbe)
      scheduleProbe(State, static_cast<uint32_t>(*Owner >> 32), *Offer,
                    Now + State.Limits.ProbeRequestWait);
  }
}

void eraseIfIdle(PlacementState &State, uint32_t Index) {
  BackendRecord &Backend = State.Backends[Index];
  if (!Backend.Removed || Backend.RunningTasks > 0)
    return;
  releasePosition(State, Backend);
  State.BackendNumbers.erase(Backend.Spec.Id);
  Backend = BackendRecord{};
  State.FreeBackends.push_back(Index);
}

} // namespace detail

void upsertBackend(PlacementState &State, const BackendSpec &Spec, Instant) {
  const auto It = State.BackendNumbers.find(Spec.Id);
  const bool IsKnown = It != State.BackendNumbers.end();
  const uint32_t Index = IsKnown ? It->second : detail::addBackend(State, Spec);
  BackendRecord &Backend = State.Backends[Index];
  if (IsKnown && !Backend.Removed && Backend.Spec == Spec)
    return;
  std::vector<OfferedService> PreviousServices =
      detail::detachServices(State, Index);
  if (IsKnown && !Backend.Removed)
    State.Slots -= Backend.Spec.Slots;
  if (Backend.Spec.Rack != Spec.Rack) {
    detail::releasePosition(State, Backend);
    Backend.Spec.Rack = Spec.Rack;
    detail::assignPosition(State, Index);
  }
  Backend.Spec = Spec;
  Backend.Removed = false;
  State.Slots += Spec.Slots;
  detail::attachServices(State, Index, std::move(PreviousServices));
}

void assumeBusySlots(PlacementState &State, Instant Now) {
  for (BackendRecord &Backend : State.Backends)
    Backend.PacedUntil = Now + State.Limits.PacingPeriod;
}

void removeBackend(PlacementState &State, const std::string &Id) {
  const auto It = State.BackendNumbers.find(Id);
  if (It == State.BackendNumbers.end() || State.Backends[It->second].Removed)
    return;
  const uint32_t Index = It->second;
  detail::detachServices(State, Index);
  State.Slots -= State.Backends[Index].Spec.Slots;
  State.Backends[Index].Removed = true;
  State.Backends[Index].ConsecutiveRefusals = 0;
  State.Backends[Index].RefusedUntil = Instant{};
  detail::eraseIfIdle(State, Index);
}

std::vector<std::string> ejectedServices(const PlacementState &State,
                                         const std::string &Id) {
  std::vector<std::string> Names;
  const auto It = State.BackendNumbers.find(Id);
  if (It == State.BackendNumbers.end())
    return Names;
  for (const OfferedService &Offer : State.Backends[It->second].OfferedServices)
    if (Offer.State == HealthState::Ejected)
      Names.push_back(State.Services[Offer.Service].Spec.Name);
  return Names;
}

} // namespace sapphiremoor
