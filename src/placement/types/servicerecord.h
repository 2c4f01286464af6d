#ifndef SAPPHIREMOOR_PLACEMENT_TYPES_SERVICERECORD_H
#define SAPPHIREMOOR_PLACEMENT_TYPES_SERVICERECORD_H

#include "placement/types/jobrecord.h"
#include "placement/types/runtimes.h"
#include "placement/types/servicespec.h"
#include "placement/types/slotindex.h"
#include "placement/types/teamspec.h"

#include <cstdint>
#include <deque>
#include <limits>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

namespace sapphiremoor {

/// Order of the queues of a service: by the rank of the team, then by the age
/// of the first job.
using WaitingKey = std::tuple<double, uint64_t, uint32_t>;

/// Order of the services that can start a task now: that of their first queue.
using ReadyKey = std::tuple<double, uint64_t, uint32_t>;

/// The queue of one team within one service.
struct TeamQueue {
  /// Entries of dropped jobs stay until they reach the front.
  std::deque<QueueEntry> Entries;
  /// Queued tasks, without those of dropped jobs.
  uint32_t LiveTasks = 0;
  /// Its key among the waiting queues of the service.
  std::optional<WaitingKey> CurrentKey;
  /// Learned ratio of actual to predicted wait.
  double WaitFactor = 1.0;
};

/// One service in the placement state.
struct ServiceRecord {
  ServiceSpec Spec;
  bool Configured = false;
  RunTimes LearnedTimes;
  double RetryTokens = 0;
  /// Weighted share of failed tasks of all workers.
  double FailureShare = 0;
  SlotIndex Preferred;
  SlotIndex Fallback;
  SlotIndex Probe;
  /// Queues by team number.
  std::vector<TeamQueue> Queues;
  /// Queues with queued tasks.
  std::set<WaitingKey> WaitingQueues;
  std::optional<ReadyKey> CurrentKey;
  uint32_t QueuedTasks = 0;
  /// Backend servers that carry it, and those of them not in good standing.
  uint32_t BackendCount = 0;
  uint32_t DemotedCount = 0;
  /// Those of them that take at most a probe.
  uint32_t EjectedCount = 0;
  /// Slots of the carriers in good standing, and the listed free slots.
  uint64_t Slots = 0;
  uint64_t FreeSlots = 0;
};

/// One team in the placement state.
struct TeamRecord {
  TeamSpec Spec;
  /// Slot seconds used, divided by the share.
  double VirtualTime = 0;
  /// The same on the quota clock: the team is within its quota while this is
  /// less than the clock. Its distance is limited in both directions.
  double QuotaUsed = std::numeric_limits<double>::lowest();
  bool WithinQuota = true;
  /// Instant, in seconds, up to which the team's use would have kept its
  /// part of all slots busy. Orders the teams within their quota.
  double BusyUntil = 0;
  uint32_t QueuedTasks = 0;
  uint32_t RunningTasks = 0;
  /// Services with queued tasks of this team.
  std::vector<uint32_t> QueuedServices;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_PLACEMENT_TYPES_SERVICERECORD_H
