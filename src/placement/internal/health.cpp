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
// With more failures than this the service is at fault, not its workers.
constexpr double BadService = 0.5;
// Below this part of the retry budget a refusal leads to the longest backoff.
constexpr double LowBudget = 0.75;
constexpr double SpeedWeight = 0.2;
constexpr double ProbeWeight = 0.5;
// A mean learned from fewer tasks is no measure for a worker's speed.
constexpr uint64_t SamplesForSpeed = 32;

bool looksFailing(const PlacementState &State, const OfferedService &Carried) {
  if (Carried.FailuresInRow >= State.Limits.FailuresInRow)
    return true;
  const auto Failures = static_cast<uint32_t>(std::popcount(Carried.Outcomes));
  return Carried.OutcomeCount == OutcomeWindow && Failures * 2 > OutcomeWindow;
}

void recordOutcome(ServiceRecord &Service, OfferedService &Carried,
                   bool Failure) {
  Carried.FailuresInRow = Failure ? Carried.FailuresInRow + 1 : 0;
  Carried.Outcomes = static_cast<uint16_t>(
      ((Carried.Outcomes << 1) | (Failure ? 1 : 0)) & OutcomeMask);
  if (Carried.OutcomeCount < OutcomeWindow)
    ++Carried.OutcomeCount;
  Service.FailureShare +=
      FailureWeight * ((Failure ? 1 : 0) - Service.FailureShare);
}

void forgetOutcomes(OfferedService &Carried) {
  Carried.FailuresInRow = 0;
  Carried.Outcomes = 0;
  Carried.OutcomeCount = 0;
}

void eject(PlacementState &State, uint32_t Backend, OfferedService &Carried,
           Instant Now) {
  Carried.Ejection =
      Carried.Ejection == Duration{0}
          ? State.Limits.FirstEjection
          : std::min(2 * Carried.Ejection, State.Limits.LongestEjection);
  Carried.Slow = false;
  setStanding(State, State.Backends[Backend], Carried, Health::Ejected);
  probeAt(State, Backend, Carried, Now + Carried.Ejection);
}

/// Keeps a worker that fails quickly from taking more than its part of the
/// work: its slots stay closed for the time that a success would have taken.
void restAfterQuickFailure(PlacementState &State, uint32_t Backend,
                           OfferedService &Carried, Duration RunTime,
                           Instant Now) {
  const Duration Mean = State.Services[Carried.Service].Times.mean();
  const int64_t Slots = std::max(State.Backends[Backend].Spec.Slots, 1U);
  if (RunTime >= Mean || Carried.Standing == Health::Ejected)
    return;
  const Instant From = std::max(Carried.BackoffUntil, Now);
  backOffUntil(State, Backend, Carried, From + (Mean - RunTime) / Slots);
}

void judgeFailure(PlacementState &State, uint32_t Backend,
                  OfferedService &Carried, Duration RunTime, Instant Now) {
  ServiceRecord &Service = State.Services[Carried.Service];
  recordOutcome(Service, Carried, true);
  State.Backends[Backend].RefusalsInRow = 0;
  if (Carried.Standing == Health::Probing) {
    eject(State, Backend, Carried, Now);
    return;
  }
  restAfterQuickFailure(State, Backend, Carried, RunTime, Now);
  const bool Listed =
      Carried.Standing == Health::Good || Carried.Standing == Health::Reserve;
  if (!Listed || !looksFailing(State, Carried) ||
      Service.FailureShare > BadService)
    return;
  if (mayEject(State, Carried.Service))
    eject(State, Backend, Carried, Now);
  else
    setStanding(State, State.Backends[Backend], Carried, Health::Reserve);
}

void demoteSlow(PlacementState &State, uint32_t Backend,
                OfferedService &Carried, Instant Now) {
  Carried.Slow = true;
  setStanding(State, State.Backends[Backend], Carried, Health::Reserve);
  probeAt(State, Backend, Carried, Now + State.Limits.SlowProbe);
}

void restore(PlacementState &State, uint32_t Backend, OfferedService &Carried) {
  Carried.Slow = false;
  Carried.Ejection = Duration{0};
  probeAt(State, Backend, Carried, Instant::max());
  setStanding(State, State.Backends[Backend], Carried, Health::Good);
}

void judgeSpeed(PlacementState &State, uint32_t Backend,
                OfferedService &Carried, Duration RunTime, Instant Now) {
  ServiceRecord &Service = State.Services[Carried.Service];
  const double Mean = static_cast<double>(Service.Times.mean().count());
  const double Us = static_cast<double>(std::max<int64_t>(RunTime.count(), 1));
  const bool Probing = Carried.Standing == Health::Probing;
  const double Weight = Probing ? ProbeWeight : SpeedWeight;
  Carried.LogRatio += Weight * (std::log(Us / Mean) - Carried.LogRatio);
  if (Carried.Standing == Health::Good)
    Service.Times.learn(RunTime);
  const bool Slow = Carried.LogRatio > std::log(State.Limits.SlowFactor) &&
                    Service.Times.samples() >= SamplesForSpeed;
  const bool Good = Carried.Standing == Health::Good;
  if (Slow && (Probing || (Good && mayDemote(State, Carried.Service))))
    demoteSlow(State, Backend, Carried, Now);
  else if (!Slow && !Good && (Probing || Carried.Standing == Health::Reserve) &&
           !looksFailing(State, Carried))
    restore(State, Backend, Carried);
}

void judgeRefusal(PlacementState &State, uint32_t Backend,
                  OfferedService &Carried, Instant Now) {
  BackendRecord &Record = State.Backends[Backend];
  const ServiceRecord &Service = State.Services[Carried.Service];
  // Starts sent before the first refusal arrived say nothing new.
  if (Now < Record.RefusedUntil)
    return;
  // A slot is free about once in this time if all are busy.
  const Duration PerSlot =
      Service.Times.mean() / std::max(Record.Spec.Slots, 1U);
  const uint32_t Doublings = std::min(Record.RefusalsInRow++, 16U);
  const bool BudgetLow =
      Service.RetryTokens < LowBudget * State.Limits.RetryTokens;
  const Duration Wanted =
      std::max(State.Limits.FirstBackoff, PerSlot) * (1 << Doublings);
  const Duration Backoff = BudgetLow
                               ? State.Limits.LongestBackoff
                               : std::min(Wanted, State.Limits.LongestBackoff);
  Record.RefusedUntil = Now + Backoff;
  Record.CautiousUntil = Record.RefusedUntil + State.Limits.Caution;
  for (OfferedService &Each : Record.OfferedServices)
    backOffUntil(State, Backend, Each,
                 std::max(Each.BackoffUntil, Now + Backoff));
}

} // namespace

void judge(PlacementState &State, uint32_t Backend, OfferedService &Carried,
           TaskOutcome Outcome, Duration RunTime, Instant Now) {
  BackendRecord &Record = State.Backends[Backend];
  switch (Outcome) {
  case TaskOutcome::Succeeded:
    Record.RefusalsInRow = 0;
    if (Carried.Standing == Health::Probing)
      forgetOutcomes(Carried);
    recordOutcome(State.Services[Carried.Service], Carried, false);
    judgeSpeed(State, Backend, Carried, RunTime, Now);
    return;
  case TaskOutcome::Failed:
  case TaskOutcome::Lost:
    judgeFailure(State, Backend, Carried, RunTime, Now);
    return;
  case TaskOutcome::NotStarted:
    judgeRefusal(State, Backend, Carried, Now);
    [[fallthrough]];
  case TaskOutcome::Cancelled:
    if (Carried.Standing == Health::Probing) {
      Carried.ProbeByAny = true;
      setStanding(State, Record, Carried, Health::ProbeDue);
    }
    return;
  }
}

} // namespace sapphiremoor::detail
