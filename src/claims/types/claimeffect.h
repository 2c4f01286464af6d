#ifndef SAPPHIREMOOR_CLAIMS_TYPES_CLAIMEFFECT_H
#define SAPPHIREMOOR_CLAIMS_TYPES_CLAIMEFFECT_H

#include "claims/types/claimmessage.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sapphiremoor {

/// Send \c Message to exactly this incarnation of a VM.
struct SendClaimMessage {
  VmId Receiver;
  ClaimMessage Message;
};

/// The grant counts: queue the job's tasks on this VM.
struct StartJob {
  JobKey Key;
  BodyDigest Digest{};
};

/// The key belongs to another executor: pass the request on to it.
struct PassToExecutor {
  JobKey Key;
  std::optional<BodyDigest> Digest;
  VmId Executor;
};

/// The job runs on this VM or its answer is kept here (see findStoredAnswer()).
struct JoinJob {
  JobKey Key;
  std::optional<BodyDigest> Digest;
};

/// What is known of a key that this VM does not run.
enum class ClaimOutcome : uint8_t {
  /// No task of the key has started or will start.
  NotRun,
  Unknown,
  /// The key was used with another body.
  Conflict,
};

/// The value of the field `retry` of an answer.
enum class RetryAdvice : uint8_t { SameKey, NewKey, None };

/// The claim ends without an executor to wait for.
struct ReportOutcome {
  JobKey Key;
  std::optional<BodyDigest> Digest;
  ClaimOutcome Outcome = ClaimOutcome::Unknown;
  /// A word for programs, for example "home_unreachable".
  std::string Reason;
  /// A sentence for people.
  std::string Detail;
  RetryAdvice Retry = RetryAdvice::None;
};

/// What the event loop must do. An effect with a digest applies to the requests
/// at this VM with that key and body, one without to all requests of the key.
using ClaimEffect = std::variant<SendClaimMessage, StartJob, PassToExecutor,
                                 JoinJob, ReportOutcome>;
using ClaimEffects = std::vector<ClaimEffect>;

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CLAIMS_TYPES_CLAIMEFFECT_H
