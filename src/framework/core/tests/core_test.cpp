#include "framework/core/error.h"
#include "framework/core/random.h"
#include "framework/core/result.h"
#include "framework/core/text.h"

#include <doctest/doctest.h>

using namespace sapphiremoor;

TEST_CASE("an error names its kind, message and remedy") {
  const Error Err{ErrorKind::BadJson, "line 3", "add a comma"};
  CHECK(describe(Err) == "bad_json: line 3 (add a comma)");
}

TEST_CASE("each kind of error is found by its name") {
  CHECK(parseErrorKind("bad_request") == ErrorKind::BadRequest);
  CHECK(parseErrorKind("not_leader") == ErrorKind::NotLeader);
  CHECK(parseErrorKind("no such kind") == ErrorKind::Internal);
}

TEST_CASE("a misspelt name is matched, an unrelated one is not") {
  const std::vector<std::string> Known{"idempotent", "weight", "declared_ms"};
  CHECK(nearestName("idempotant", Known) == "idempotent");
  CHECK(nearestName("wieght", Known) == "weight");
  CHECK_FALSE(nearestName("colour", Known).has_value());
  CHECK_FALSE(nearestName("x", {}).has_value());
}

TEST_CASE("secure random values differ") {
  CHECK(secureRandom64() != secureRandom64());
}
