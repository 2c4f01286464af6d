#include "daemon/internal/configjson.h"

#include "gateway/answerformat.h"

#include <nlohmann/json.hpp>

namespace sapphiremoor {

namespace {
using Json = nlohmann::ordered_json;
} // namespace

std::string filesJson(const ConfigState &State) {
  Json Body;
  Body["revision"] = State.Revision;
  Body["files"] = Json::object();
  for (const auto &[Name, Text] : State.Files)
    Body["files"][Name] = Text;
  return Body.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

std::string historyJson(const ConfigState &State) {
  Json Body;
  Body["revision"] = State.Revision;
  Body["changes"] = Json::array();
  for (const ChangeRecord &Change : State.History) {
    Json Row;
    Row["revision"] = Change.Revision;
    Row["file"] = Change.Name;
    Row["operator"] = Change.Operator;
    Row["removed"] = Change.Removed;
    Row["bytes"] = Change.Bytes;
    Row["proposed_ms"] = Change.ProposedMs;
    Row["request_id"] = Change.RequestId;
    Body["changes"].push_back(std::move(Row));
  }
  return Body.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

HttpResponse changeResponse(const ChangeResult &Result) {
  if (Result.Outcome != ChangeOutcome::Accepted)
    return formatError(Result.Reason);
  Json Body;
  Body["status"] = "accepted";
  Body["revision"] = Result.Revision;
  return {200, Body.dump() + "\n", "application/json"};
}

} // namespace sapphiremoor
