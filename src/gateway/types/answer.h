#ifndef SAPPHIREMOOR_GATEWAY_TYPES_ANSWER_H
#define SAPPHIREMOOR_GATEWAY_TYPES_ANSWER_H

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace sapphiremoor {

/// How a job ended.
enum class Outcome : uint8_t {
  /// All tasks succeeded.
  Complete,
  /// The job will not complete. Some tasks may have run; no more will start.
  Failed,
  /// No task of the key has started or will start.
  NotRun,
  /// The system cannot determine whether tasks ran.
  Unknown,
};

/// What a caller may do after an answer.
enum class Retry : uint8_t {
  None,
  /// Sending the same key again is safe and may give a better answer.
  SameKey,
  /// The key cannot be used again. Sending the job under a new key is safe.
  NewKey,
};

/// The complete answer to one job.
struct Answer {
  Outcome JobOutcome = Outcome::Unknown;
  Retry RetryAdvice = Retry::None;
  /// Why the job did not complete, for example "queue_full".
  std::string Reason;
  std::string Remedy;
  /// One JSON text per task, in the order of the tasks. Empty unless complete.
  std::vector<std::string> Results;

  auto operator<=>(const Answer &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(JobOutcome, RetryAdvice, Reason, Remedy, Results);
  }
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_GATEWAY_TYPES_ANSWER_H
