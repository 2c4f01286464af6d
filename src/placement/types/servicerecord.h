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

/// Orders the queues of a service: by the rank of the team, then by the age of
/// the first job.
using WaitingKey = std::tuple<double, uint64_t, uint32_t>;

/// Orders the services that can start a task now by the key of their first
/// queue.
using ReadyKey = std::tuple<double, uint64_t, uint32_t>;

/// The queue of one team within one service.
struct TeamQueue {
  /// Entries of dropped jobs stay until they reach the front.
  std::deque<QueueEntry> Entries;
  /// Number of queued tasks, not counting those of dropped jobs.
  uint32_t LiveTasks = 0;
  /// Key of this queue in the WaitingQueues of its service.
  std::optional<WaitingKey> CurrentKey;
  /// Learned ratio of actual to predicted wait.
  double WaitFactor = 1.0;
};

/// State of one service.
struct ServiceRecord {
  ServiceSpec Spec;
  bool Configured = false;
  RunTimes LearnedTimes;
  double RetryTokens = 0;
  /// Exponentially weighted share of failed tasks on all backend servers.
  double FailureShare = 0;
  SlotIndex Preferred;
  SlotIndex Fallback;
  SlotIndex Probe;
  /// Queues, indexed by team.
  std::vector<TeamQueue> Queues;
  /// Keys of the queues that have queued tasks.
  std::set<WaitingKey> WaitingQueues;
  std::optional<ReadyKey> CurrentKey;
  uint32_t QueuedTasks = 0;
  /// Number of backend servers that offer the service, and of those that are
  /// not healthy.
  uint32_t BackendCount = 0;
  uint32_t DemotedCount = 0;
  /// Number of backend servers that take at most one task, as a probe.
  uint32_t EjectedCount = 0;
  /// Slots of the healthy backend servers, and free slots in the Preferred
  /// index.
  uint64_t Slots = 0;
  uint64_t FreeSlots = 0;
};

/// State of one team.
struct TeamRecord {
  TeamSpec Spec;
  /// Slot seconds used, divided by the share of the team.
  double VirtualTime = 0;
  /// The same measure on the quota clock. The team is within its quota while
  /// this is at most the clock. The distance to the clock is limited in both
  /// directions.
  double QuotaUsed = std::numeric_limits<double>::lowest();
  bool WithinQuota = true;
  /// Time, in seconds, until which the use of this team would have kept its
  /// part of all slots busy. Orders the teams within their quota.
  double BusyUntil = 0;
  uint32_t QueuedTasks = 0;
  uint32_t RunningTasks = 0;
  /// Services for which this team has queued tasks.
  std::vector<uint32_t> QueuedServices;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_PLACEMENT_TYPES_SERVICERECORD_H
