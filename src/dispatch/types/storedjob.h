#ifndef SAPPHIREMOOR_DISPATCH_TYPES_STOREDJOB_H
#define SAPPHIREMOOR_DISPATCH_TYPES_STOREDJOB_H

#include <compare>
#include <cstdint>
#include <vector>

namespace sapphiremoor {

/// Outcome of a stored job; Open until it has ended.
enum class StoredOutcome : uint8_t { Open, Done, Failed, Cancelled };

/// Durable state of one task of a stored job.
struct TaskProgress {
  /// Number of the run that succeeded; 0 if there is none yet.
  uint64_t DoneRun = 0;
  uint32_t Failures = 0;
  /// Highest run number that has been assigned.
  uint64_t LastRun = 0;

  auto operator<=>(const TaskProgress &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(DoneRun, Failures, LastRun);
  }
};

/// Durable state of a stored job; the only part of it that changes.
struct JobProgress {
  StoredOutcome Outcome = StoredOutcome::Open;
  bool Started = false;
  /// Indexed by step, then by task.
  std::vector<std::vector<TaskProgress>> Steps;

  auto operator<=>(const JobProgress &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Outcome, Started, Steps);
  }
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_DISPATCH_TYPES_STOREDJOB_H
