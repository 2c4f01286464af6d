#include "gateway/answerformat.h"

#include <nlohmann/json.hpp>

namespace sapphiremoor {

namespace {

using Json = nlohmann::ordered_json;

int httpStatus(Outcome JobOutcome) {
  switch (JobOutcome) {
  case Outcome::Complete:
    return 200;
  case Outcome::Failed:
    return 500;
  case Outcome::NotRun:
    return 503;
  case Outcome::Unknown:
    return 504;
  }
  return 500;
}

int httpStatus(ErrorKind Kind) {
  switch (Kind) {
  case ErrorKind::Unauthorized:
    return 401;
  case ErrorKind::Forbidden:
    return 403;
  case ErrorKind::NotFound:
  case ErrorKind::UnknownService:
    return 404;
  case ErrorKind::Conflict:
    return 409;
  case ErrorKind::TooLarge:
    return 413;
  case ErrorKind::Overloaded:
  case ErrorKind::Draining:
  case ErrorKind::NotLeader:
  case ErrorKind::Unreachable:
    return 503;
  case ErrorKind::Timeout:
    return 504;
  case ErrorKind::Internal:
  case ErrorKind::StorageFailure:
  case ErrorKind::CorruptData:
    return 500;
  default:
    return 400;
  }
}

std::string dump(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string joinResults(const std::vector<std::string> &Results) {
  std::string Joined;
  for (const std::string &Item : Results) {
    if (!Joined.empty())
      Joined += ',';
    Joined += Item;
  }
  return Joined;
}

} // namespace

std::string_view outcomeName(Outcome JobOutcome) {
  switch (JobOutcome) {
  case Outcome::Complete:
    return "complete";
  case Outcome::Failed:
    return "failed";
  case Outcome::NotRun:
    return "not run";
  case Outcome::Unknown:
    return "outcome unknown";
  }
  return "outcome unknown";
}

std::string_view retryName(Retry RetryAdvice) {
  switch (RetryAdvice) {
  case Retry::None:
    return "none";
  case Retry::SameKey:
    return "same_key";
  case Retry::NewKey:
    return "new_key";
  }
  return "none";
}

HttpResponse formatAnswer(std::string_view Key, const Answer &FinalAnswer) {
  Json Fields;
  Fields["key"] = Key;
  Fields["status"] = outcomeName(FinalAnswer.JobOutcome);
  Fields["retry"] = retryName(FinalAnswer.RetryAdvice);
  if (!FinalAnswer.Reason.empty())
    Fields["reason"] = FinalAnswer.Reason;
  if (!FinalAnswer.Remedy.empty())
    Fields["remedy"] = FinalAnswer.Remedy;
  std::string Body = dump(Fields);
  // The results are JSON texts that were validated when they arrived. Parsing
  // them again would double the cost of a large answer.
  if (FinalAnswer.JobOutcome == Outcome::Complete) {
    Body.pop_back();
    Body += ",\"results\":[" + joinResults(FinalAnswer.Results) + "]}";
  }
  return {httpStatus(FinalAnswer.JobOutcome), Body + "\n", "application/json"};
}

HttpResponse formatPending(std::string_view Key) {
  Json Body;
  Body["key"] = Key;
  Body["status"] = "pending";
  Body["retry"] = "same_key";
  Body["remedy"] = "ask again with GET and the same key";
  return {202, dump(Body) + "\n", "application/json"};
}

HttpResponse formatError(const Error &Err) {
  Json Body;
  Body["error"]["kind"] = errorKindName(Err.Kind);
  Body["error"]["message"] = Err.Message;
  Body["error"]["remedy"] = Err.Remedy;
  return {httpStatus(Err.Kind), dump(Body) + "\n", "application/json"};
}

} // namespace sapphiremoor
