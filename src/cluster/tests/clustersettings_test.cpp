#include "cluster/clustersettingsfile.h"

#include <doctest/doctest.h>

using namespace sapphiremoor;

namespace {

const std::string Entry = R"({
  // An entry VM.
  "name": "e1", "data_centre": "nitra", "role": "entry", "peer": "127.0.0.1:7720",
  "seeds": ["127.0.0.2:7720"], "front": "127.0.0.1:80", "ready": "127.0.0.1:81",
  "trusted_network": true, "unknown": 7)";

ErrorKind kindOf(const std::string &Text) {
  const auto Read = parseClusterSettings(Text, "e1.json");
  REQUIRE(isError(Read));
  CHECK(errorOf(Read).Message.starts_with("e1.json"));
  CHECK_FALSE(errorOf(Read).Remedy.empty());
  return errorOf(Read).Kind;
}

} // namespace

// Guards against a newer settings file that an older program refuses.
TEST_CASE("settings with comments and unknown keys are read") {
  const auto Read = parseClusterSettings(Entry + "}", "e1.json");
  REQUIRE_FALSE(isError(Read));
  CHECK(valueOf(Read).Front == Endpoint{"127.0.0.1", 80});
  CHECK(valueOf(Read).Seeds == std::vector<Endpoint>{{"127.0.0.2", 7720}});
}

// Guards against settings that are wrong and come into force.
TEST_CASE("missing, mistyped and contradicting settings are refused") {
  CHECK(kindOf("{") == ErrorKind::BadJson);
  CHECK(kindOf("[]") == ErrorKind::BadJson);
  CHECK(kindOf("{}") == ErrorKind::MissingKey);
  CHECK(kindOf(Entry + R"(, "name": 7})") == ErrorKind::BadRequest);
  CHECK(kindOf(Entry + R"(, "peer": "127.0.0.1"})") == ErrorKind::OutOfRange);
  CHECK(kindOf(Entry + R"(, "role": "both"})") == ErrorKind::OutOfRange);
  CHECK(kindOf(Entry + R"(, "stop_limit_s": "soon"})") ==
        ErrorKind::BadRequest);
  CHECK(kindOf(Entry + R"(, "stop_limit_s": -1})") == ErrorKind::OutOfRange);
  CHECK(kindOf(Entry + R"(, "trusted_network": false})") ==
        ErrorKind::Contradiction);
  CHECK(kindOf(Entry + R"(, "seeds": ["x"]})") == ErrorKind::OutOfRange);
}

// Guards against a settings file that is not there.
TEST_CASE("an unreadable settings file is a typed error") {
  CHECK(errorOf(loadClusterSettings("/nonexistent")).Kind ==
        ErrorKind::NotFound);
}
