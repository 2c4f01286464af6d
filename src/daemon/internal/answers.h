#ifndef SAPPHIREMOOR_DAEMON_INTERNAL_ANSWERS_H
#define SAPPHIREMOOR_DAEMON_INTERNAL_ANSWERS_H

#include "claims/types/claimeffect.h"
#include "daemon/types/peermessage.h"
#include "framework/core/error.h"
#include "gateway/types/answer.h"

#include <string>
#include <string_view>

namespace sapphiremoor {

/// Returns the answer for a key whose outcome this VM cannot determine.
Answer unknownAnswer(const std::string &Reason);

/// Returns the answer for a request that was refused before it started.
Answer refusedAnswer(const Error &Reason);

/// Converts the outcome of a claim to the reply for the waiting requests.
JobReplyBody makeClaimReply(const ReportOutcome &Effect);

/// Encodes an answer for storage.
std::string encodeAnswer(const Answer &Result);

/// Decodes a stored answer. Returns an answer with an unknown outcome if the
/// bytes are corrupt.
Answer decodeAnswer(std::string_view Bytes);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_DAEMON_INTERNAL_ANSWERS_H
