#ifndef SAPPHIREMOOR_PLACEMENT_PLACEMENTSTATE_H
#define SAPPHIREMOOR_PLACEMENT_PLACEMENTSTATE_H

#include "placement/types/backendrecord.h"
#include "placement/types/jobrecord.h"
#include "placement/types/placementlimits.h"
#include "placement/types/servicerecord.h"
#include "placement/types/timerqueue.h"

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace sapphiremoor {

/// State of one dispatcher: its backend servers, queues and teams. Only the
/// functions of placement.h change it.
struct PlacementState {
  PlacementLimits Limits;

  std::vector<ServiceRecord> Services;
  std::unordered_map<std::string, uint32_t> ServiceNumbers;
  std::vector<TeamRecord> Teams;
  std::unordered_map<std::string, uint32_t> TeamNumbers;
  std::vector<BackendRecord> Backends;
  std::unordered_map<std::string, uint32_t> BackendNumbers;
  std::vector<uint32_t> FreeBackends;
  std::vector<JobRecord> Jobs;
  std::unordered_map<JobNumber, uint32_t> JobNumbers;
  std::vector<uint32_t> FreeJobs;

  /// Rotation order: one column per rack, one row per backend server of the
  /// rack.
  std::unordered_map<std::string, uint32_t> RackColumns;
  std::vector<std::vector<uint32_t>> FreeRows;
  std::vector<uint32_t> NextRows;
  std::vector<uint32_t> BackendsByPosition;

  std::set<ReadyKey> ReadyServices;
  TimerQueue Probes;
  TimerQueue Backoffs;
  TimerQueue Hedges;
  TimerQueue Deadlines;
  /// Tasks dropped at their deadline that expireTasks() has not returned yet.
  std::vector<std::pair<JobNumber, uint32_t>> ExpiredTasks;

  /// Quota clock: the virtual time granted to each team so far, and when it was
  /// last advanced. OverQuotaTeams holds the teams over their quota, ordered by
  /// their use.
  double QuotaClock = 0;
  Instant QuotaClockUpdated{};
  std::set<std::pair<double, uint32_t>> OverQuotaTeams;
  /// Virtual time of the team that was served last.
  double VirtualTime = 0;
  uint64_t LastSequence = 0;
  uint32_t QueuedTasks = 0;
  uint64_t Slots = 0;
  /// Sum of the shares of all teams, and of the teams with queued or running
  /// tasks.
  double ShareSum = 0;
  double ActiveShares = 0;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_PLACEMENT_PLACEMENTSTATE_H
