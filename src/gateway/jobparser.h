#ifndef SAPPHIREMOOR_GATEWAY_JOBPARSER_H
#define SAPPHIREMOOR_GATEWAY_JOBPARSER_H

#include "claims/types/jobkey.h"
#include "framework/core/result.h"
#include "framework/core/time.h"
#include "gateway/types/jobrequest.h"

#include <cstddef>
#include <string_view>

namespace sapphiremoor {

/// Limits on a submission.
struct JobLimits {
  std::size_t MaxTasks = 1600;
  Duration DefaultDeadline = std::chrono::seconds(30);
  Duration MaxDeadline = std::chrono::minutes(10);
};

/// Parses the body of a job: {"service", "tasks": [...], "deadline_ms"}, or of
/// a single request: {"service", "task", "deadline_ms"}. Errors: BadJson,
/// UnknownSetting, BadRequest, OutOfRange, TooLarge. The team stays empty.
Result<JobRequest> parseJobRequest(std::string_view Body, bool Single,
                                   const JobLimits &Limits);

/// Returns the digest by which two bodies sent with the same key are compared.
BodyDigest bodyDigest(const JobRequest &Job);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_GATEWAY_JOBPARSER_H
