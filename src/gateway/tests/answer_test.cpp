#include "gateway/answerformat.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace sapphiremoor;

TEST_CASE("only a complete answer carries results") {
  Answer FinalAnswer{
      Outcome::Complete, Retry::None, "", "", {"{\"a\":1}", "2"}};
  const auto Complete =
      nlohmann::json::parse(formatAnswer("k", FinalAnswer).Body);
  CHECK(Complete["results"] == nlohmann::json::parse("[{\"a\":1},2]"));
  FinalAnswer.JobOutcome = Outcome::Failed;
  const HttpResponse Failed = formatAnswer("k", FinalAnswer);
  CHECK_FALSE(nlohmann::json::parse(Failed.Body).contains("results"));
  CHECK(Failed.Status == 500);
}

TEST_CASE("each outcome has its status code and retry advice") {
  Answer Refused{Outcome::NotRun, Retry::NewKey, "queue_full", "wait", {}};
  const HttpResponse Response = formatAnswer("k", Refused);
  CHECK(Response.Status == 503);
  const auto Body = nlohmann::json::parse(Response.Body);
  CHECK(Body["status"] == "not run");
  CHECK(Body["retry"] == "new_key");
  CHECK(Body["remedy"] == "wait");
  CHECK(formatError({ErrorKind::Conflict, "m", "r"}).Status == 409);
}
