#include "placement/internal/backends.h"
#include "placement/internal/queues.h"
#include "placement/placement.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sapphiremoor {

namespace detail {

namespace {

// Racks beyond this number share a column of the rotation.
constexpr uint32_t RackColumnCount = 256;

void assignPosition(PlacementState &State, uint32_t Index) {
  BackendRecord &Backend = State.Backends[Index];
  const auto Next = static_cast<uint32_t>(State.RackColumns.size());
  const uint32_t Column =
      State.RackColumns.try_emplace(Backend.Spec.Rack, Next % RackColumnCount)
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
  if (Backend.Position >= State.PositionOwners.size())
    State.PositionOwners.resize(Backend.Position + 1, NoIndex);
  State.PositionOwners[Backend.Position] = Index;
}

void releasePosition(PlacementState &State, const BackendRecord &Backend) {
  State.FreeRows[Backend.Position % RackColumnCount].push_back(
      Backend.Position / RackColumnCount);
  State.PositionOwners[Backend.Position] = NoIndex;
}

void countCarrier(PlacementState &State, const BackendRecord &Backend,
                  const OfferedService &Carried, bool Add) {
  ServiceRecord &Service = State.Services[Carried.Service];
  const bool Good = Carried.Standing == Health::Good;
  const uint32_t Demoted = Good ? 0 : 1;
  const uint32_t Ejected = Good || Carried.Standing == Health::Reserve ? 0 : 1;
  const uint64_t Slots = Good ? Backend.Spec.Slots : 0;
  Service.Carriers = Add ? Service.Carriers + 1 : Service.Carriers - 1;
  Service.Demoted = Add ? Service.Demoted + Demoted : Service.Demoted - Demoted;
  Service.Ejected = Add ? Service.Ejected + Ejected : Service.Ejected - Ejected;
  Service.Slots = Add ? Service.Slots + Slots : Service.Slots - Slots;
}

Listing wantedListing(const BackendRecord &Backend,
                      const OfferedService &Carried) {
  if (Backend.Removed || Backend.freeSlots() == 0 || Carried.BackingOff ||
      Carried.Standing == Health::Ejected ||
      Carried.Standing == Health::Probing)
    return Listing::None;
  if (Carried.Standing == Health::Reserve)
    return Listing::Reserve;
  return Carried.Standing == Health::ProbeDue && !Carried.ProbeByAny
             ? Listing::Probe
             : Listing::Preferred;
}

/// Takes a offered service out of all indexes, sums and timers.
void detach(PlacementState &State, uint32_t Index, OfferedService &Carried) {
  BackendRecord &Backend = State.Backends[Index];
  const bool Removed = std::exchange(Backend.Removed, true);
  relist(State, Backend, Carried);
  Backend.Removed = Removed;
  countCarrier(State, Backend, Carried, false);
  const uint64_t Owner = offeredOwner(Index, Carried.Service);
  if (Carried.BackingOff)
    State.Backoffs.cancel(Carried.BackoffUntil, Owner);
  State.Probes.cancel(Carried.ProbeAt, Owner);
  Carried.BackingOff = false;
}

/// Replaces the offered services of a backend server and keeps what was learned
/// about the services that it still carries.
void attachServices(PlacementState &State, uint32_t Index,
                    std::vector<OfferedService> Before) {
  BackendRecord &Backend = State.Backends[Index];
  for (const std::string &Name : Backend.Spec.Services) {
    const uint32_t Number = serviceNumber(State, Name);
    if (findOffered(Backend, Number) != nullptr)
      continue;
    const auto Known =
        std::ranges::find(Before, Number, &OfferedService::Service);
    OfferedService Carried;
    if (Known != Before.end())
      Carried = *Known;
    Carried.Service = Number;
    Backend.OfferedServices.push_back(Carried);
    countCarrier(State, Backend, Carried, true);
    if (Carried.ProbeAt != Instant::max())
      State.Probes.schedule(Carried.ProbeAt, offeredOwner(Index, Number));
  }
  relistAll(State, Backend);
}

std::vector<OfferedService> detachServices(PlacementState &State,
                                           uint32_t Index) {
  for (OfferedService &Carried : State.Backends[Index].OfferedServices)
    detach(State, Index, Carried);
  return std::exchange(State.Backends[Index].OfferedServices, {});
}

uint32_t newBackend(PlacementState &State, const BackendSpec &Spec) {
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

OfferedService *findOffered(BackendRecord &Backend, uint32_t Service) {
  const auto Found = std::ranges::find(Backend.OfferedServices, Service,
                                       &OfferedService::Service);
  return Found == Backend.OfferedServices.end() ? nullptr
                                                : std::to_address(Found);
}

void relist(PlacementState &State, BackendRecord &Backend,
            OfferedService &Carried) {
  const Listing Wanted = wantedListing(Backend, Carried);
  const uint32_t Level = std::min(Backend.freeSlots(), SlotIndex::MaxLevel);
  if (Wanted == Carried.Listed &&
      (Wanted == Listing::None || Level == Carried.Level))
    return;
  ServiceRecord &Service = State.Services[Carried.Service];
  if (Carried.Listed == Listing::Preferred) {
    Service.Preferred.erase(Backend.Position, Carried.Level);
    Service.FreeSlots -= Carried.Level;
  }
  if (Carried.Listed == Listing::Reserve)
    Service.Reserve.erase(Backend.Position, Carried.Level);
  if (Carried.Listed == Listing::Probe)
    Service.Probe.erase(Backend.Position, Carried.Level);
  Carried.Listed = Wanted;
  Carried.Level = Level;
  if (Wanted == Listing::Preferred) {
    Service.Preferred.insert(Backend.Position, Level);
    Service.FreeSlots += Level;
  }
  if (Wanted == Listing::Reserve)
    Service.Reserve.insert(Backend.Position, Level);
  if (Wanted == Listing::Probe)
    Service.Probe.insert(Backend.Position, Level);
  if (Service.Queued > 0)
    refreshReady(State, Carried.Service);
}

void relistAll(PlacementState &State, BackendRecord &Backend) {
  for (OfferedService &Carried : Backend.OfferedServices)
    relist(State, Backend, Carried);
}

void setStanding(PlacementState &State, BackendRecord &Backend,
                 OfferedService &Carried, Health Standing) {
  countCarrier(State, Backend, Carried, false);
  Carried.Standing = Standing;
  countCarrier(State, Backend, Carried, true);
  relist(State, Backend, Carried);
}

bool mayEject(const PlacementState &State, uint32_t Service) {
  const ServiceRecord &Record = State.Services[Service];
  return Record.Ejected + 1 <= State.Limits.EjectedShare * Record.Carriers;
}

bool mayDemote(const PlacementState &State, uint32_t Service) {
  const ServiceRecord &Record = State.Services[Service];
  return Record.Demoted + 1 <= State.Limits.EjectedShare * Record.Carriers;
}

void backOffUntil(PlacementState &State, uint32_t Backend,
                  OfferedService &Carried, Instant Until) {
  const uint64_t Owner = offeredOwner(Backend, Carried.Service);
  if (Carried.BackingOff)
    State.Backoffs.cancel(Carried.BackoffUntil, Owner);
  Carried.BackoffUntil = Until;
  Carried.BackingOff = true;
  State.Backoffs.schedule(Until, Owner);
  relist(State, State.Backends[Backend], Carried);
}

void probeAt(PlacementState &State, uint32_t Backend, OfferedService &Carried,
             Instant At) {
  const uint64_t Owner = offeredOwner(Backend, Carried.Service);
  State.Probes.cancel(Carried.ProbeAt, Owner);
  Carried.ProbeAt = At;
  if (At != Instant::max())
    State.Probes.schedule(At, Owner);
}

void handleTimers(PlacementState &State, Instant Now) {
  while (const auto Owner = State.Backoffs.takeDue(Now)) {
    BackendRecord &Backend = State.Backends[*Owner >> 32];
    OfferedService *Carried =
        findOffered(Backend, static_cast<uint32_t>(*Owner));
    Carried->BackingOff = false;
    relist(State, Backend, *Carried);
  }
  while (const auto Owner = State.Probes.takeDue(Now)) {
    BackendRecord &Backend = State.Backends[*Owner >> 32];
    OfferedService *Carried =
        findOffered(Backend, static_cast<uint32_t>(*Owner));
    Carried->ProbeAt = Instant::max();
    Carried->ProbeByAny =
        Carried->Slow || Carried->Standing == Health::ProbeDue;
    setStanding(State, Backend, *Carried, Health::ProbeDue);
    if (!Carried->ProbeByAny)
      probeAt(State, static_cast<uint32_t>(*Owner >> 32), *Carried,
              Now + State.Limits.ProbePatience);
  }
}

void forgetIfIdle(PlacementState &State, uint32_t Index) {
  BackendRecord &Backend = State.Backends[Index];
  if (!Backend.Removed || Backend.Running > 0)
    return;
  releasePosition(State, Backend);
  State.BackendNumbers.erase(Backend.Spec.Id);
  Backend = BackendRecord{};
  State.FreeBackends.push_back(Index);
}

} // namespace detail

void upsertBackend(PlacementState &State, const BackendSpec &Spec, Instant) {
  const auto Found = State.BackendNumbers.find(Spec.Id);
  const bool Known = Found != State.BackendNumbers.end();
  const uint32_t Index =
      Known ? Found->second : detail::newBackend(State, Spec);
  BackendRecord &Backend = State.Backends[Index];
  if (Known && !Backend.Removed && Backend.Spec == Spec)
    return;
  std::vector<OfferedService> Before = detail::detachServices(State, Index);
  if (Known && !Backend.Removed)
    State.Slots -= Backend.Spec.Slots;
  if (Backend.Spec.Rack != Spec.Rack) {
    detail::releasePosition(State, Backend);
    Backend.Spec.Rack = Spec.Rack;
    detail::assignPosition(State, Index);
  }
  Backend.Spec = Spec;
  Backend.Removed = false;
  State.Slots += Spec.Slots;
  detail::attachServices(State, Index, std::move(Before));
}

void assumeBusySlots(PlacementState &State, Instant Now) {
  for (BackendRecord &Backend : State.Backends)
    Backend.CautiousUntil = Now + State.Limits.Caution;
}

void removeBackend(PlacementState &State, const std::string &Id) {
  const auto Found = State.BackendNumbers.find(Id);
  if (Found == State.BackendNumbers.end() ||
      State.Backends[Found->second].Removed)
    return;
  const uint32_t Index = Found->second;
  detail::detachServices(State, Index);
  State.Slots -= State.Backends[Index].Spec.Slots;
  State.Backends[Index].Removed = true;
  State.Backends[Index].RefusalsInRow = 0;
  State.Backends[Index].RefusedUntil = Instant{};
  detail::forgetIfIdle(State, Index);
}

std::vector<std::string> ejectedServices(const PlacementState &State,
                                         const std::string &Id) {
  std::vector<std::string> Names;
  const auto Found = State.BackendNumbers.find(Id);
  if (Found == State.BackendNumbers.end())
    return Names;
  for (const OfferedService &Carried :
       State.Backends[Found->second].OfferedServices)
    if (Carried.Standing == Health::Ejected)
      Names.push_back(State.Services[Carried.Service].Spec.Name);
  return Names;
}

} // namespace sapphiremoor
