#include "gateway/jobparser.h"

#include <doctest/doctest.h>

using namespace sapphiremoor;

namespace {
Error parseError(std::string_view Body, bool Single = false) {
  return errorOf(parseJobRequest(Body, Single, {}));
}
} // namespace

TEST_CASE("a job keeps its tasks in order") {
  const auto Parsed = parseJobRequest(
      R"({"service":"quote","tasks":[{"x":1},"b",3],"deadline_ms":50})", false,
      {});
  REQUIRE_FALSE(isError(Parsed));
  CHECK(valueOf(Parsed).Tasks ==
        std::vector<std::string>{R"({"x":1})", "\"b\"", "3"});
  CHECK(valueOf(Parsed).DeadlineMicros == 50000);
}

TEST_CASE("each malformed body gets an error kind and a remedy") {
  CHECK(parseError("{").Kind == ErrorKind::BadJson);
  CHECK(parseError("[]").Kind == ErrorKind::BadRequest);
  CHECK(parseError(R"({"service":"s","tasks":[]})").Kind ==
        ErrorKind::BadRequest);
  CHECK(parseError(R"({"service":"s","task":[1]})").Remedy ==
        "did you mean 'tasks'?");
  CHECK(parseError(R"({"service":"s","tasks":[1],"deadline_ms":0})").Kind ==
        ErrorKind::OutOfRange);
  CHECK(parseError(R"({"service":7,"task":1})", true).Kind ==
        ErrorKind::BadRequest);
  CHECK(parseError("{\"service\":\"s\",\"tasks\":[\"\xff\"]}").Kind ==
        ErrorKind::BadJson);
}

TEST_CASE("a job with too many tasks is rejected") {
  JobLimits Limits;
  Limits.MaxTasks = 2;
  const auto Parsed =
      parseJobRequest(R"({"service":"s","tasks":[1,2,3]})", false, Limits);
  CHECK(errorOf(Parsed).Kind == ErrorKind::TooLarge);
}

TEST_CASE("the digest depends on the tasks but not on the deadline") {
  const JobRequest A{"t", "s", {"1", "2"}, 5, false};
  JobRequest B = A;
  B.DeadlineMicros = 9;
  CHECK(bodyDigest(A) == bodyDigest(B));
  B.Tasks = {"12", ""};
  CHECK(bodyDigest(A) != bodyDigest(B));
}
