#ifndef SAPPHIREMOOR_DAEMON_INTERNAL_ANSWERS_H
#define SAPPHIREMOOR_DAEMON_INTERNAL_ANSWERS_H

#include "claims/types/claimeffect.h"
#include "daemon/types/peermessage.h"
#include "framework/core/error.h"
#include "gateway/types/answer.h"

#include <string>
#include <string_view>

namespace sapphiremoor {

/// The answer for a key whose outcome this VM cannot learn.
Answer unknownAnswer(const std::string &Reason);

/// The answer for a request that was refused before it started.
Answer refusedAnswer(const Error &Reason);

/// Translates the end of a claim into the reply to those who wait.
JobReplyBody makeClaimReply(const ReportOutcome &Effect);

/// Encodes an answer for keeping.
std::string encodeAnswer(const Answer &Result);

/// Decodes a kept answer.
Answer decodeAnswer(std::string_view Bytes);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_DAEMON_INTERNAL_ANSWERS_H
