#include "daemon/internal/answers.h"

#include "framework/codec/serial.h"

namespace sapphiremoor {

namespace {

Retry convertRetry(RetryAdvice Advice) {
  switch (Advice) {
  case RetryAdvice::SameKey:
    return Retry::SameKey;
  case RetryAdvice::NewKey:
    return Retry::NewKey;
  case RetryAdvice::None:
    return Retry::None;
  }
  return Retry::None;
}

} // namespace

Answer unknownAnswer(const std::string &Reason) {
  return {Outcome::Unknown,
          Retry::SameKey,
          Reason,
          "ask again with the same key, or check whether the work took effect",
          {}};
}

Answer refusedAnswer(const Error &Reason) {
  return {Outcome::NotRun,
          Retry::NewKey,
          std::string(errorKindName(Reason.Kind)),
          Reason.Message + "; " + Reason.Remedy,
          {}};
}

JobReplyBody makeClaimReply(const ReportOutcome &Effect) {
  if (Effect.Outcome == ClaimOutcome::Conflict)
    return Error{ErrorKind::Conflict,
                 "the key was used with another body; nothing was run for this "
                 "request",
                 "use a new key number for different work"};
  const bool NotRun = Effect.Outcome == ClaimOutcome::NotRun;
  return Answer{NotRun ? Outcome::NotRun : Outcome::Unknown,
                convertRetry(Effect.Retry),
                Effect.Reason,
                Effect.Detail,
                {}};
}

std::string encodeAnswer(const Answer &Result) { return encode(Result); }

Answer decodeAnswer(std::string_view Bytes) {
  Result<Answer> Decoded = decode<Answer>(Bytes);
  if (isError(Decoded))
    return unknownAnswer("corrupt_answer");
  return takeValue(std::move(Decoded));
}

} // namespace sapphiremoor
