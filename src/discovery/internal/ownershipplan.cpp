#include "discovery/ownershipplan.h"

#include <utility>

namespace sapphiremoor {

namespace {

/// Another owner has to be preferred and reachable for this time before a
/// handover, so that a VM that comes and goes does not move backend servers.
constexpr Duration HandoverDelay = std::chrono::seconds(1);

/// Time that a handover waits for runs of stored jobs to end. Their tasks are
/// then started on other backend servers, because the new owner may have jobs
/// that only this one can run. The runs of other jobs end when their callers no
/// longer wait.
constexpr Duration HandoverRunTimeout = std::chrono::milliseconds(1500);

/// Delay before the next attempt to acquire a backend server, after an attempt
/// or after this VM was fenced by another one.
constexpr Duration AcquireRetryDelay = std::chrono::seconds(1);

constexpr Duration ProbeInterval = std::chrono::milliseconds(250);

} // namespace

OwnershipAction OwnershipPlan::decide(const OwnershipSituation &Situation,
                                      Instant Now) {
  if (Situation.MayHoldRuns)
    return decideAsOwner(Situation, Now);
  HandoverSince.reset();
  if (!Situation.SelfPreferred || !Situation.MayAcquire ||
      Situation.OwnedByLivePeer || Now < NextAttempt)
    return OwnershipAction::None;
  NextAttempt =
      Now + (Situation.Responsive ? AcquireRetryDelay : ProbeInterval);
  return Situation.Responsive ? OwnershipAction::Acquire
                              : OwnershipAction::Probe;
}

OwnershipAction
OwnershipPlan::decideAsOwner(const OwnershipSituation &Situation, Instant Now) {
  if (Situation.Draining)
    return OwnershipAction::Release;
  // A VM that only others hear would not learn of the handover.
  if (Situation.SelfPreferred || !Situation.PreferredReachable)
    return std::exchange(HandoverSince, std::nullopt) ? OwnershipAction::Keep
                                                      : OwnershipAction::None;
  if (!HandoverSince)
    HandoverSince = Now;
  const Duration PreferredFor = Now - *HandoverSince;
  if (PreferredFor > HandoverDelay + HandoverRunTimeout)
    return OwnershipAction::ReleaseAndMoveRuns;
  return PreferredFor > HandoverDelay ? OwnershipAction::Release
                                      : OwnershipAction::None;
}

void OwnershipPlan::recordLoss(Instant Now) {
  NextAttempt = Now + AcquireRetryDelay;
}

} // namespace sapphiremoor
