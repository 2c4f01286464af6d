#include "gateway/answerformat.h"

#include <nlohmann/json.hpp>

namespace sapphiremoor {

namespace {

using Json = nlohmann::ordered_json;

int statusOf(Outcome Result) {
  switch (Result) {
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

int statusOf(ErrorKind Kind) {
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

std::string_view outcomeName(Outcome Result) {
  switch (Result) {
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

std::string_view retryName(Retry Next) {
  switch (Next) {
  case Retry::None:
    return "none";
  case Retry::SameKey:
    return "same_key";
  case Retry::NewKey:
    return "new_key";
  }
  return "none";
}

HttpResponse formatAnswer(std::string_view Key, const Answer &Result) {
  Json Head;
  Head["key"] = Key;
  Head["status"] = outcomeName(Result.Result);
  Head["retry"] = retryName(Result.Next);
  if (!Result.Reason.empty())
    Head["reason"] = Result.Reason;
  if (!Result.Remedy.empty())
    Head["remedy"] = Result.Remedy;
  std::string Body = dump(Head);
  // The results are JSON texts that were checked when they arrived; parsing
  // them again would double the cost of a large answer.
  if (Result.Result == Outcome::Complete) {
    Body.pop_back();
    Body += ",\"results\":[" + joinResults(Result.Results) + "]}";
  }
  return {statusOf(Result.Result), Body + "\n", "application/json"};
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
  return {statusOf(Err.Kind), dump(Body) + "\n", "application/json"};
}

} // namespace sapphiremoor
