#include "routing/routingtable.h"

#include <doctest/doctest.h>

using namespace sapphiremoor;

namespace {

QueueRoute route(const std::string &Host, const std::string &Prefix) {
  QueueRoute Made;
  Made.Name = Host + Prefix;
  Made.Host = Host;
  Made.PathPrefix = Prefix;
  Made.TimeoutMs = 1000;
  Made.Policy.Service = "stamp";
  return Made;
}

Result<RoutingTable> build(std::vector<QueueRoute> Routes) {
  return RoutingTable::build(3, std::move(Routes), {"stamp"});
}

} // namespace

// Guards against requests that reach the queue of a shorter prefix.
TEST_CASE("the longest prefix of the path wins") {
  const auto Built =
      build({route("a.example", "/x/"), route("a.example", "/"),
             route("a.example", "/x/y/"), route("b.example", "/x/z/")});
  REQUIRE_FALSE(isError(Built));
  const RoutingTable &Table = valueOf(Built);
  CHECK(Table.find("a.example", "/x/y/12")->PathPrefix == "/x/y/");
  CHECK(Table.find("a.example", "/x/z/12")->PathPrefix == "/x/");
  CHECK(Table.find("a.example", "/q")->PathPrefix == "/");
  CHECK(Table.find("b.example", "/x/y/12") == nullptr);
  CHECK(Table.find("c.example", "/") == nullptr);
}

// Guards against an invalid configuration that comes into force.
TEST_CASE("unknown services, repeated prefixes and zero timeouts are refused") {
  QueueRoute Unknown = route("a.example", "/x/");
  Unknown.Policy.Service = "none";
  CHECK(errorOf(build({Unknown})).Kind == ErrorKind::UnknownService);
  CHECK(
      errorOf(build({route("a.example", "/"), route("a.example", "/")})).Kind ==
      ErrorKind::Conflict);
  QueueRoute NoTime = route("a.example", "/x/");
  NoTime.TimeoutMs = 0;
  CHECK(errorOf(build({NoTime})).Kind == ErrorKind::OutOfRange);
}
