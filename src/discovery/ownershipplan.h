#ifndef SAPPHIREMOOR_DISCOVERY_OWNERSHIPPLAN_H
#define SAPPHIREMOOR_DISCOVERY_OWNERSHIPPLAN_H

#include "framework/core/time.h"

#include <optional>

namespace sapphiremoor {

/// What a control VM knows when it decides on one backend server.
struct OwnershipSituation {
  /// This VM owns it, is acquiring it, or has runs left there.
  bool MayHoldRuns = false;
  /// This VM is the one that should own it.
  bool SelfPreferred = false;
  /// The VM that should own it is heard directly.
  bool PreferredReachable = false;
  /// This VM stops soon.
  bool Draining = false;
  /// This VM takes backend servers, and had time to learn of their owners.
  bool MayAcquire = false;
  /// Another live control VM owns it.
  bool OwnedByLivePeer = false;
  /// It has sent a report, or answered probes, lately enough.
  bool Responsive = false;
};

enum class OwnershipAction {
  None,
  /// End a release that is not complete.
  Keep,
  /// Place no further tasks, and give it up with its last run.
  Release,
  /// As Release, but tasks that can run elsewhere are moved.
  ReleaseAndMoveRuns,
  Acquire,
  /// Find out whether it answers.
  Probe,
};

/// Decides what a control VM does about one backend server. Is asked at short
/// intervals, and depends on what is so then, not on what was announced once.
class OwnershipPlan {
public:
  OwnershipAction decide(const OwnershipSituation &Situation, Instant Now);
  /// Delays the next attempt to acquire, after this VM has lost the backend
  /// server.
  void recordLoss(Instant Now);

private:
  OwnershipAction decideAsOwner(const OwnershipSituation &Situation,
                                Instant Now);

  /// No attempt to acquire or probe before this time.
  Instant NextAttempt;
  /// Time since which another VM is preferred and reachable.
  std::optional<Instant> HandoverSince;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_DISCOVERY_OWNERSHIPPLAN_H
