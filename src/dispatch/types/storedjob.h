#ifndef SAPPHIREMOOR_DISPATCH_TYPES_STOREDJOB_H
#define SAPPHIREMOOR_DISPATCH_TYPES_STOREDJOB_H

#include <compare>
#include <cstdint>
#include <vector>

namespace sapphiremoor {

/// How a stored job ended, if it did.
enum class StoredOutcome : uint8_t { Open, Done, Failed, Cancelled };

/// What is kept of one task of a stored job.
struct TaskProgress {
  /// The run that ended as done; 0 while there is none.
  uint64_t DoneRun = 0;
  uint32_t Failures = 0;
  /// Highest run number that was given out.
  uint64_t LastRun = 0;

  auto operator<=>(const TaskProgress &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(DoneRun, Failures, LastRun);
  }
};

/// The part of a stored job that changes.
struct JobProgress {
  StoredOutcome Outcome = StoredOutcome::Open;
  bool Started = false;
  /// By step, then by index.
  std::vector<std::vector<TaskProgress>> Steps;

  auto operator<=>(const JobProgress &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Outcome, Started, Steps);
  }
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_DISPATCH_TYPES_STOREDJOB_H
