#ifndef SAPPHIREMOOR_CLAIMS_TYPES_CLAIMEFFECT_H
#define SAPPHIREMOOR_CLAIMS_TYPES_CLAIMEFFECT_H

#include "claims/types/claimmessage.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sapphiremoor {

/// Send \c Message to exactly the incarnation \c Receiver.
struct SendClaimMessage {
  VmId Receiver;
  ClaimMessage Message;
};

/// The grant is held by a majority of the members: queue the tasks of the job
/// on this VM.
struct StartJob {
  JobKey Key;
  BodyDigest Digest{};
};

/// Another VM executes the key: pass the request on to it.
struct PassToExecutor {
  JobKey Key;
  std::optional<BodyDigest> Digest;
  VmId Executor;
};

/// The job runs on this VM or its answer is stored here (see
/// findStoredAnswer()).
struct JoinJob {
  JobKey Key;
  std::optional<BodyDigest> Digest;
};

/// The outcome of a key that this VM does not run.
enum class ClaimOutcome : uint8_t {
  /// No task of the key has started or will start.
  NotRun,
  Unknown,
  /// The key was already used for a job with a different body.
  Conflict,
};

/// The value of the field `retry` of an answer.
enum class RetryAdvice : uint8_t { SameKey, NewKey, None };

/// The claim ends with an outcome; there is no executor to wait for.
struct ReportOutcome {
  JobKey Key;
  std::optional<BodyDigest> Digest;
  ClaimOutcome Outcome = ClaimOutcome::Unknown;
  /// A single word for programs, for example "home_unreachable".
  std::string Reason;
  /// A sentence for people.
  std::string Detail;
  RetryAdvice Retry = RetryAdvice::None;
};

/// An action that the caller must perform. An effect with a digest applies to
/// the requests on this VM with that key and body, an effect without one to all
/// requests of the key.
using ClaimEffect = std::variant<SendClaimMessage, StartJob, PassToExecutor,
                                 JoinJob, ReportOutcome>;
using ClaimEffects = std::vector<ClaimEffect>;

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CLAIMS_TYPES_CLAIMEFFECT_H
