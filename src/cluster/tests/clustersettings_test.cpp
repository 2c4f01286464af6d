#include "cluster/clustersettingsfile.h"

#include <doctest/doctest.h>

using namespace sapphiremoor;

namespace {

const std::string EntrySettings = R"({
  // An entry VM.
  "name": "e1", "data_centre": "nitra", "role": "entry", "peer": "127.0.0.1:7720",
  "seeds": ["127.0.0.2:7720"], "front": "127.0.0.1:80", "ready": "127.0.0.1:81",
  "trusted_network": true, "unknown": 7)";

ErrorKind settingsErrorKind(const std::string &Text) {
  const auto Parsed = parseClusterSettings(Text, "e1.json");
  REQUIRE(isError(Parsed));
  CHECK(errorOf(Parsed).Message.starts_with("e1.json"));
  CHECK_FALSE(errorOf(Parsed).Remedy.empty());
  return errorOf(Parsed).Kind;
}

} // namespace

// Guards against an older program that refuses a newer settings file.
TEST_CASE("settings with comments and unknown keys are read") {
  const auto Parsed = parseClusterSettings(EntrySettings + "}", "e1.json");
  REQUIRE_FALSE(isError(Parsed));
  CHECK(valueOf(Parsed).Front == Endpoint{"127.0.0.1", 80});
  CHECK(valueOf(Parsed).Seeds == std::vector<Endpoint>{{"127.0.0.2", 7720}});
}

// Guards against invalid settings that take effect.
TEST_CASE("missing, mistyped and contradictory settings are refused") {
  CHECK(settingsErrorKind("{") == ErrorKind::BadJson);
  CHECK(settingsErrorKind("[]") == ErrorKind::BadJson);
  CHECK(settingsErrorKind("{}") == ErrorKind::MissingKey);
  CHECK(settingsErrorKind(EntrySettings + R"(, "name": 7})") ==
        ErrorKind::BadRequest);
  CHECK(settingsErrorKind(EntrySettings + R"(, "peer": "127.0.0.1"})") ==
        ErrorKind::OutOfRange);
  CHECK(settingsErrorKind(EntrySettings + R"(, "role": "both"})") ==
        ErrorKind::OutOfRange);
  CHECK(settingsErrorKind(EntrySettings + R"(, "stop_limit_s": "soon"})") ==
        ErrorKind::BadRequest);
  CHECK(settingsErrorKind(EntrySettings + R"(, "stop_limit_s": -1})") ==
        ErrorKind::OutOfRange);
  CHECK(settingsErrorKind(EntrySettings + R"(, "trusted_network": false})") ==
        ErrorKind::Contradiction);
  CHECK(settingsErrorKind(EntrySettings + R"(, "seeds": ["x"]})") ==
        ErrorKind::OutOfRange);
}

// Guards against a missing settings file that is not reported as an error.
TEST_CASE("loading a missing settings file gives NotFound") {
  CHECK(errorOf(loadClusterSettings("/nonexistent")).Kind ==
        ErrorKind::NotFound);
}
