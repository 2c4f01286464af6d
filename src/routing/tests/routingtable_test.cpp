#include "routing/routingtable.h"

#include <doctest/doctest.h>

using namespace sapphiremoor;

namespace {

QueueRoute makeRoute(const std::string &Host, const std::string &Prefix) {
  QueueRoute Route;
  Route.Name = Host + Prefix;
  Route.Host = Host;
  Route.PathPrefix = Prefix;
  Route.TimeoutMs = 1000;
  Route.Policy.Service = "stamp";
  return Route;
}

Result<RoutingTable> build(std::vector<QueueRoute> Routes) {
  return RoutingTable::build(3, std::move(Routes), {"stamp"});
}

} // namespace

// Guards against requests that are routed to the queue of a shorter prefix.
TEST_CASE("the longest prefix of the path wins") {
  const auto BuildResult =
      build({makeRoute("a.example", "/x/"), makeRoute("a.example", "/"),
             makeRoute("a.example", "/x/y/"), makeRoute("b.example", "/x/z/")});
  REQUIRE_FALSE(isError(BuildResult));
  const RoutingTable &Table = valueOf(BuildResult);
  CHECK(Table.find("a.example", "/x/y/12")->PathPrefix == "/x/y/");
  CHECK(Table.find("a.example", "/x/z/12")->PathPrefix == "/x/");
  CHECK(Table.find("a.example", "/q")->PathPrefix == "/");
  CHECK(Table.find("b.example", "/x/y/12") == nullptr);
  CHECK(Table.find("c.example", "/") == nullptr);
}

// Guards against an invalid configuration that is put in force.
TEST_CASE("unknown services, repeated prefixes and zero timeouts are refused") {
  QueueRoute UnknownService = makeRoute("a.example", "/x/");
  UnknownService.Policy.Service = "none";
  CHECK(errorOf(build({UnknownService})).Kind == ErrorKind::UnknownService);
  CHECK(
      errorOf(build({makeRoute("a.example", "/"), makeRoute("a.example", "/")}))
          .Kind == ErrorKind::Conflict);
  QueueRoute ZeroTimeout = makeRoute("a.example", "/x/");
  ZeroTimeout.TimeoutMs = 0;
  CHECK(errorOf(build({ZeroTimeout})).Kind == ErrorKind::OutOfRange);
}
