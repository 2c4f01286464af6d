#include "placement/internal/health.h"
#include "placement/internal/backends.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace sapphiremoor::detail {

namespace {

constexpr uint32_t OutcomeWindow = 10;
constexpr uint16_t OutcomeMask = (1U << OutcomeWindow) - 1;
constexpr double FailureWeight = 0.02;
// Above this share of failures the service itself is faulty, so no backend
// server is ejected.
constexpr double MaxServiceFailureShare = 0.5;
// Below this share of the retry budget a refusal leads to the longest backoff.
constexpr double LowBudgetShare = 0.75;
constexpr double SpeedWeight = 0.2;
constexpr double ProbeWeight = 0.5;
// With fewer samples the mean run time is too uncertain to judge the speed of a
// backend server.
constexpr uint64_t MinSpeedSamples = 32;

bool isFailing(const PlacementState &State, const OfferedService &Offer) {
  if (Offer.ConsecutiveFailures >= State.Limits.EjectionFailures)
    return true;
  const auto Failures = static_cast<uint32_t>(std::popcount(Offer.FailureBits));
  return Offer.OutcomeCount == OutcomeWindow && Failures * 2 > OutcomeWindow;
}

void recordOutcome(ServiceRecord &Service, OfferedService &Offer,
                   bool IsFailure) {
  Offer.ConsecutiveFailures = IsFailure ? Offer.ConsecutiveFailures + 1 : 0;
  Offer.FailureBits = static_cast<uint16_t>(
      ((Offer.FailureBits << 1) | (IsFailure ? 1 : 0)) & OutcomeMask);
  if (Offer.OutcomeCount < OutcomeWindow)
    ++Offer.OutcomeCount;
  Service.FailureShare +=
      FailureWeight * ((IsFailure ? 1 : 0) - Service.FailureShare);
}

void clearOutcomes(OfferedService &Offer) {
  Offer.ConsecutiveFailures = 0;
  Offer.FailureBits = 0;
  Offer.OutcomeCount = 0;
}

void eject(PlacementState &State, uint32_t Backend, OfferedService &Offer,
           Instant Now) {
  Offer.EjectionTime =
      Offer.EjectionTime == Duration{0}
          ? State.Limits.InitialEjection
          : std::min(2 * Offer.EjectionTime, State.Limits.MaxEjection);
  Offer.Slow = false;
  setHealthState(State, State.Backends[Backend], Offer, HealthState::Ejected);
  scheduleProbe(State, Backend, Offer, Now + Offer.EjectionTime);
}

/// After a failure that was faster than the mean run time, backs off for the
/// rest of the time that a success would have taken. Without this, a backend
/// server that fails quickly would free its slots early and attract more than
/// its share of the tasks.
void backOffAfterQuickFailure(PlacementState &State, uint32_t Backend,
                              OfferedService &Offer, Duration RunTime,
                              Instant Now) {
  const Duration MeanRunTime =
      State.Services[Offer.Service].LearnedTimes.mean();
  const int64_t Slots = std::max(State.Backends[Backend].Spec.Slots, 1U);
  if (RunTime >= MeanRunTime || Offer.State == HealthState::Ejected)
    return;
  const Instant BackoffStart = std::max(Offer.BackoffUntil, Now);
  backOffUntil(State, Backend, Offer,
               BackoffStart + (MeanRunTime - RunTime) / Slots);
}

void handleFailure(PlacementState &State, uint32_t Backend,
                   OfferedService &Offer, Duration RunTime, Instant Now) {
  ServiceRecord &Service = State.Services[Offer.Service];
  recordOutcome(Service, Offer, true);
  State.Backends[Backend].ConsecutiveRefusals = 0;
  if (Offer.State == HealthState::Probing) {
    eject(State, Backend, Offer, Now);
    return;
  }
  backOffAfterQuickFailure(State, Backend, Offer, RunTime, Now);
  const bool IsInUse = Offer.State == HealthState::Healthy ||
                       Offer.State == HealthState::Degraded;
  if (!IsInUse || !isFailing(State, Offer) ||
      Service.FailureShare > MaxServiceFailureShare)
    return;
  if (mayEject(State, Offer.Service))
    eject(State, Backend, Offer, Now);
  else
    setHealthState(State, State.Backends[Backend], Offer,
                   HealthState::Degraded);
}

void demoteSlow(PlacementState &State, uint32_t Backend, OfferedService &Offer,
                Instant Now) {
  Offer.Slow = true;
  setHealthState(State, State.Backends[Backend], Offer, HealthState::Degraded);
  scheduleProbe(State, Backend, Offer, Now + State.Limits.SlowProbeDelay);
}

void restore(PlacementState &State, uint32_t Backend, OfferedService &Offer) {
  Offer.Slow = false;
  Offer.EjectionTime = Duration{0};
  scheduleProbe(State, Backend, Offer, Instant::max());
  setHealthState(State, State.Backends[Backend], Offer, HealthState::Healthy);
}

void updateSpeed(PlacementState &State, uint32_t Backend, OfferedService &Offer,
                 Duration RunTime, Instant Now) {
  ServiceRecord &Service = State.Services[Offer.Service];
  const double MeanUs =
      static_cast<double>(Service.LearnedTimes.mean().count());
  const double RunTimeUs =
      static_cast<double>(std::max<int64_t>(RunTime.count(), 1));
  const bool IsProbing = Offer.State == HealthState::Probing;
  const double Weight = IsProbing ? ProbeWeight : SpeedWeight;
  Offer.LogRatio += Weight * (std::log(RunTimeUs / MeanUs) - Offer.LogRatio);
  if (Offer.State == HealthState::Healthy)
    Service.LearnedTimes.addSample(RunTime);
  const bool IsSlow = Offer.LogRatio > std::log(State.Limits.SlowFactor) &&
                      Service.LearnedTimes.sampleCount() >= MinSpeedSamples;
  const bool IsHealthy = Offer.State == HealthState::Healthy;
  if (IsSlow && (IsProbing || (IsHealthy && mayDemote(State, Offer.Service))))
    demoteSlow(State, Backend, Offer, Now);
  else if (!IsSlow && !IsHealthy &&
           (IsProbing || Offer.State == HealthState::Degraded) &&
           !isFailing(State, Offer))
    restore(State, Backend, Offer);
}

void handleRefusal(PlacementState &State, uint32_t Backend,
                   OfferedService &Offer, Instant Now) {
  BackendRecord &BackendEntry = State.Backends[Backend];
  const ServiceRecord &Service = State.Services[Offer.Service];
  // Refusals of starts sent before the first refusal arrived carry no new
  // information.
  if (Now < BackendEntry.RefusedUntil)
    return;
  // Mean time between two freed slots when all slots are busy.
  const Duration SlotInterval =
      Service.LearnedTimes.mean() / std::max(BackendEntry.Spec.Slots, 1U);
  const uint32_t Doublings = std::min(BackendEntry.ConsecutiveRefusals++, 16U);
  const bool IsBudgetLow =
      Service.RetryTokens < LowBudgetShare * State.Limits.MaxRetryTokens;
  const Duration NextBackoff =
      std::max(State.Limits.InitialBackoff, SlotInterval) * (1 << Doublings);
  const Duration Backoff = IsBudgetLow
                               ? State.Limits.MaxBackoff
                               : std::min(NextBackoff, State.Limits.MaxBackoff);
  BackendEntry.RefusedUntil = Now + Backoff;
  BackendEntry.PacedUntil =
      BackendEntry.RefusedUntil + State.Limits.PacingPeriod;
  for (OfferedService &BackendOffer : BackendEntry.OfferedServices)
    backOffUntil(State, Backend, BackendOffer,
                 std::max(BackendOffer.BackoffUntil, Now + Backoff));
}

} // namespace

void updateHealth(PlacementState &State, uint32_t Backend,
                  OfferedService &Offer, TaskOutcome Outcome, Duration RunTime,
                  Instant Now) {
  BackendRecord &BackendEntry = State.Backends[Backend];
  switch (Outcome) {
  case TaskOutcome::Succeeded:
    BackendEntry.ConsecutiveRefusals = 0;
    if (Offer.State == HealthState::Probing)
      clearOutcomes(Offer);
    recordOutcome(State.Services[Offer.Service], Offer, false);
    updateSpeed(State, Backend, Offer, RunTime, Now);
    return;
  case TaskOutcome::Failed:
  case TaskOutcome::Lost:
    handleFailure(State, Backend, Offer, RunTime, Now);
    return;
  case TaskOutcome::NotStarted:
    handleRefusal(State, Backend, Offer, Now);
    [[fallthrough]];
  case TaskOutcome::Cancelled:
    if (Offer.State == HealthState::Probing) {
      Offer.AnyTaskMayProbe = true;
      setHealthState(State, BackendEntry, Offer, HealthState::ProbeDue);
    }
    return;
  }
}

} // namespace sapphiremoor::detail
