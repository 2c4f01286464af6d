#include "claims/keytext.h"
#include "framework/codec/serial.h"
#include "framework/core/text.h"
#include "gateway/jobparser.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sapphiremoor {

namespace {

using Json = nlohmann::json;

Error badRequest(const std::string &Message, const std::string &Remedy) {
  return {ErrorKind::BadRequest, Message, Remedy};
}

Result<Done> checkFields(const Json &Body,
                         const std::vector<std::string> &KnownFields) {
  for (const auto &Item : Body.items()) {
    if (std::ranges::find(KnownFields, Item.key()) != KnownFields.end())
      continue;
    const auto Nearest = nearestName(Item.key(), KnownFields);
    return Error{ErrorKind::UnknownSetting,
                 "unknown field '" + Item.key() + "'",
                 Nearest ? "did you mean '" + *Nearest + "'?"
                         : "remove it; see docs/callers.md"};
  }
  return Done{};
}

Result<Duration> parseDeadline(const Json &Body, const JobLimits &Limits) {
  const auto DeadlineIt = Body.find("deadline_ms");
  if (DeadlineIt == Body.end())
    return Limits.DefaultDeadline;
  const auto MaxMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(Limits.MaxDeadline)
          .count();
  if (!DeadlineIt->is_number_integer() || DeadlineIt->get<int64_t>() < 1 ||
      DeadlineIt->get<int64_t>() > MaxMs)
    return Error{
        ErrorKind::OutOfRange,
        "deadline_ms must be a whole number of milliseconds from 1 to " +
            std::to_string(MaxMs),
        "set it to the time that the caller waits"};
  return Duration(std::chrono::milliseconds(DeadlineIt->get<int64_t>()));
}

Result<std::vector<std::string>> parseTasks(const Json &Body, bool Single,
                                            std::size_t MaxTasks) {
  if (Single) {
    const auto Task = Body.find("task");
    if (Task == Body.end())
      return badRequest("the field 'task' is missing", "add \"task\": {...}");
    return std::vector{Task->dump()};
  }
  const auto Tasks = Body.find("tasks");
  if (Tasks == Body.end() || !Tasks->is_array() || Tasks->empty())
    return badRequest("the field 'tasks' must be a list with at least one task",
                      "add \"tasks\": [...]");
  if (Tasks->size() > MaxTasks)
    return Error{ErrorKind::TooLarge,
                 "the job has " + std::to_string(Tasks->size()) +
                     " tasks; the limit is " + std::to_string(MaxTasks),
                 "split it into smaller jobs"};
  std::vector<std::string> Texts(Tasks->size());
  std::ranges::transform(*Tasks, Texts.begin(),
                         [](const Json &Task) { return Task.dump(); });
  return Texts;
}

Result<JobRequest> readFields(const Json &Body, bool Single,
                              const JobLimits &Limits) {
  if (!Body.is_object())
    return badRequest("the body must be a JSON object", "see docs/callers.md");
  const Result<Done> FieldCheck =
      checkFields(Body, {"service", "deadline_ms", Single ? "task" : "tasks"});
  if (isError(FieldCheck))
    return errorOf(FieldCheck);
  const auto Service = Body.find("service");
  if (Service == Body.end() || !Service->is_string())
    return badRequest("the field 'service' must name a service",
                      "add \"service\": \"NAME\"");
  const Result<Duration> Deadline = parseDeadline(Body, Limits);
  if (isError(Deadline))
    return errorOf(Deadline);
  Result<std::vector<std::string>> Tasks =
      parseTasks(Body, Single, Limits.MaxTasks);
  if (isError(Tasks))
    return errorOf(Tasks);
  return JobRequest{"", Service->get<std::string>(),
                    takeValue(std::move(Tasks)), valueOf(Deadline).count(),
                    Single};
}

} // namespace

Result<JobRequest> parseJobRequest(std::string_view Body, bool Single,
                                   const JobLimits &Limits) {
  try {
    return readFields(Json::parse(Body), Single, Limits);
  } catch (const Json::parse_error &Failure) {
    return Error{ErrorKind::BadJson,
                 "the body is not valid JSON at byte " +
                     std::to_string(Failure.byte),
                 "send one JSON object; see docs/callers.md"};
  } catch (const Json::exception &) {
    return badRequest("the body contains text that is not valid UTF-8",
                      "encode all strings in UTF-8");
  }
}

BodyDigest bodyDigest(const JobRequest &Job) {
  // A resubmission may have another deadline than the original submission.
  JobRequest DigestInput = Job;
  DigestInput.DeadlineMicros = 0;
  return bodyDigest(encode(DigestInput));
}

} // namespace sapphiremoor
