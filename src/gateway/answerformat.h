#ifndef SAPPHIREMOOR_GATEWAY_ANSWERFORMAT_H
#define SAPPHIREMOOR_GATEWAY_ANSWERFORMAT_H

#include "framework/core/error.h"
#include "framework/net/types/httpmessage.h"
#include "gateway/types/answer.h"

#include <string_view>

namespace sapphiremoor {

/// Returns the name used in answers, for example "not run".
std::string_view outcomeName(Outcome JobOutcome);

/// Returns the name used in answers, for example "same_key".
std::string_view retryName(Retry RetryAdvice);

/// Formats the answer to the job \p Key. Status codes: complete 200, failed
/// 500, not run 503, outcome unknown 504.
HttpResponse formatAnswer(std::string_view Key, const Answer &FinalAnswer);

/// Formats the response to a caller whose wait ended before the job did.
HttpResponse formatPending(std::string_view Key);

/// Formats an error that does not state the outcome of a key.
HttpResponse formatError(const Error &Err);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_GATEWAY_ANSWERFORMAT_H
