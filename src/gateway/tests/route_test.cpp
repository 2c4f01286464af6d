#include "gateway/route.h"

#include <doctest/doctest.h>

using namespace sapphiremoor;

namespace {
Result<Command> route(HttpMethod Method, const std::string &Path,
                      const std::map<std::string, std::string> &Query = {}) {
  return routeRequest({Method, Path, Query, "", ""});
}
} // namespace

TEST_CASE("a submission has a key and an optional wait limit") {
  const auto Routed =
      route(HttpMethod::Post, "/v1/jobs/abc.7", {{"wait_ms", "250"}});
  const auto &Submit = std::get<SubmitCommand>(valueOf(Routed));
  CHECK(Submit.Key == "abc.7");
  CHECK(Submit.Wait == Duration(250000));
  CHECK(requiredRole(valueOf(Routed)) == Role::Caller);
}

TEST_CASE("a missing key, path or value gets a typed error") {
  CHECK(errorOf(route(HttpMethod::Post, "/v1/jobs")).Kind ==
        ErrorKind::MissingKey);
  CHECK(errorOf(route(HttpMethod::Post, "/v1/jobs/")).Kind ==
        ErrorKind::MissingKey);
  CHECK(errorOf(route(HttpMethod::Get, "/")).Kind == ErrorKind::NotFound);
  CHECK(
      errorOf(route(HttpMethod::Get, "/v1/jobs/k", {{"wait_ms", "-1"}})).Kind ==
      ErrorKind::OutOfRange);
  CHECK(errorOf(route(HttpMethod::Post, "/v1/config/files/a.json",
                      {{"expected_revision", "1"}}))
            .Kind == ErrorKind::BadRequest);
}

TEST_CASE("only operators change the configuration or drain") {
  const auto Change = route(HttpMethod::Delete, "/v1/config/files/a.json",
                            {{"expected_revision", "3"}, {"request_id", "r"}});
  CHECK(std::get<ChangeConfigCommand>(valueOf(Change)).Remove);
  CHECK(requiredRole(valueOf(Change)) == Role::Operator);
  CHECK(requiredRole(valueOf(route(HttpMethod::Post, "/v1/drain/b1"))) ==
        Role::Operator);
  CHECK(requiredRole(valueOf(route(HttpMethod::Post, "/v1/backends/b1"))) ==
        Role::Backend);
}
