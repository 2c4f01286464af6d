#include "gateway/answerformat.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace sapphiremoor;

TEST_CASE("only a complete answer carries results") {
  Answer Result{Outcome::Complete, Retry::None, "", "", {"{\"a\":1}", "2"}};
  const auto Complete = nlohmann::json::parse(formatAnswer("k", Result).Body);
  CHECK(Complete["results"] == nlohmann::json::parse("[{\"a\":1},2]"));
  Result.Result = Outcome::Failed;
  const HttpResponse Failed = formatAnswer("k", Result);
  CHECK_FALSE(nlohmann::json::parse(Failed.Body).contains("results"));
  CHECK(Failed.Status == 500);
}

TEST_CASE("each outcome has its status code and names what to retry") {
  Answer Refused{Outcome::NotRun, Retry::NewKey, "queue_full", "wait", {}};
  const HttpResponse R = formatAnswer("k", Refused);
  CHECK(R.Status == 503);
  const auto Body = nlohmann::json::parse(R.Body);
  CHECK(Body["status"] == "not run");
  CHECK(Body["retry"] == "new_key");
  CHECK(Body["remedy"] == "wait");
  CHECK(formatError({ErrorKind::Conflict, "m", "r"}).Status == 409);
}
