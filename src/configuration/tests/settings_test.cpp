#include "configuration/settingsfile.h"

#include <doctest/doctest.h>

using namespace sapphiremoor;

namespace {

const std::string ValidSettings = R"(// The settings of one VM.
{
  "name": "vm1", "data_centre": "nitra", /* comments, : are skipped */
  "http": {"address": "127.0.0.1", "port": 8080},
  "peer": {"address": "127.0.0.1", "port": 9080},
  "cluster_key_file": "key", "tokens_folder": "tokens",
  "data_folder": "data",
  "peers": [
    {"name": "vm1", "data_centre": "nitra", "address": "127.0.0.1", "port": 9080},
    {"name": "vm2", "data_centre": "žilina", "address": "127.0.0.1", "port": 9081}
  ],
  "voters": ["vm1", "vm2"],
  "hops": {"zilina": 1.5},
  "limits": {"max_tasks": 100, /* é */ "answers_ms": 60000}
}
)";

std::string replaceInSettings(const std::string &OldText,
                              const std::string &NewText) {
  std::string Text = ValidSettings;
  const std::size_t AccentOffset = Text.find("\"žilina\"");
  Text.replace(AccentOffset, std::string("\"žilina\"").size(), "\"zilina\"");
  const std::size_t Offset = Text.find(OldText);
  REQUIRE(Offset != std::string::npos);
  return Text.replace(Offset, OldText.size(), NewText);
}

struct BadInput {
  std::string OldText;
  std::string NewText;
  ErrorKind Kind;
  std::string Message;
  std::string Remedy;
};

void checkRejected(const BadInput &Input) {
  CAPTURE(Input.OldText);
  CAPTURE(Input.NewText);
  const auto Result =
      parseSettings(replaceInSettings(Input.OldText, Input.NewText), "vm.json");
  REQUIRE(isError(Result));
  const Error &Failure = errorOf(Result);
  CHECK(Failure.Kind == Input.Kind);
  CHECK(Failure.Message.substr(0, Input.Message.size()) == Input.Message);
  CHECK(Failure.Remedy.substr(0, Input.Remedy.size()) == Input.Remedy);
}

} // namespace

TEST_CASE("valid settings are read and absent limits keep their defaults") {
  const auto Result = parseSettings(replaceInSettings("vm1", "vm1"), "vm.json");
  REQUIRE(!isError(Result));
  const Settings &ParsedSettings = valueOf(Result);
  CHECK(ParsedSettings.Name == "vm1");
  CHECK(ParsedSettings.Http == Endpoint{"127.0.0.1", 8080});
  CHECK(ParsedSettings.Peers ==
        std::vector<PeerSettings>{{"vm2", "zilina", {"127.0.0.1", 9081}, {}}});
  CHECK(ParsedSettings.Voters == std::vector<std::string>{"vm1", "vm2"});
  CHECK(ParsedSettings.DataFolder == "data");
  CHECK(ParsedSettings.Limits.MaxTasks == 100);
  CHECK(ParsedSettings.Limits.AnswerLifetime == std::chrono::minutes(1));
  CHECK(ParsedSettings.Limits.BodyBytes == 8'388'608);
  CHECK(hopDelay(ParsedSettings, "zilina") == std::chrono::microseconds(1500));
  CHECK(hopDelay(ParsedSettings, "nitra") == Duration::zero());
  CHECK(hopDelay(ParsedSettings, "trencin") == std::chrono::milliseconds(1));
}

// An error must point to the location of the fault.
TEST_CASE("broken JSON is reported with its line and column") {
  using enum ErrorKind;
  const std::string Remedy = "correct the JSON at this location";
  checkRejected({"8080},", "8080}", BadJson, "vm.json:5:3: syntax", ""});
  checkRejected({"8080", "", BadJson, "vm.json:4:44: syntax error", Remedy});
  checkRejected({"\"data\"", "dat", BadJson, "vm.json:7:18: ", Remedy});
  checkRejected({"60000}\n}", "60000}", BadJson, "vm.json:15:1: ", Remedy});
  checkRejected(
      {"60000", "6e999", BadJson, "vm.json:14:54: number overflow", Remedy});
  checkRejected({"\"vm2\"]", "\"vm2\xff\"]", BadJson, "vm.json:12:21", Remedy});
  checkRejected({"1.5", std::string(20, '['), BadJson,
                 "vm.json:13:36: nested more than 16 levels deep", "remove"});
}

TEST_CASE("a setting that is unknown, given twice or missing is reported") {
  using enum ErrorKind;
  checkRejected({"\"max_tasks\"", "\"max_task\"", UnknownSetting,
                 "vm.json:14:14: unknown setting \"limits.max_task\"",
                 "did you mean \"max_tasks\"?"});
  checkRejected({"\"answers_ms\"", "\"colour\"", UnknownSetting,
                 "vm.json:14:40: unknown setting \"limits.colour\"",
                 "remove it; known here are max_tasks, "});
  checkRejected({"\"tokens_folder\"", "\"name\"", Contradiction,
                 "vm.json:6:30: \"name\" is given twice", "remove one"});
  checkRejected({"\"name\": \"vm1\", \"data_c", "\"data_c", MissingKey,
                 "vm.json:2:1: required setting \"name\" is missing",
                 "add \"name\""});
  checkRejected({", \"port\": 9081", "", MissingKey,
                 "vm.json:10:5: required setting \"peers[1].port\" is missing",
                 "add \"port\" to peers[1]"});
  checkRejected({"  \"data_folder\": \"data\",\n", "", MissingKey,
                 "vm.json:11:3: this VM, \"vm1\", is a voter, but data_folder",
                 "add data_folder"});
}

// Guards against a settings file that ends the process: the empty name was
// taken for a known limit, which has no member to store it.
TEST_CASE("a limit without a name is unknown") {
  checkRejected({"\"max_tasks\"", "\"\"", ErrorKind::UnknownSetting,
                 "vm.json:14:14: unknown setting \"limits.\"", "remove it"});
}

TEST_CASE("a value of the wrong type or out of range is reported") {
  using enum ErrorKind;
  checkRejected({"8080", "\"8080\"", BadRequest,
                 "vm.json:4:36: http.port must be a number, but is a string",
                 "change http.port to a number"});
  checkRejected({"100,", "1.5,", BadRequest,
                 "vm.json:14:14: limits.max_tasks must be a whole number",
                 "write limits.max_tasks without a fraction"});
  checkRejected(
      {"60000", "5", OutOfRange,
       "vm.json:14:40: limits.answers_ms is 5 ms, but must be from 1000 "
       "to 86400000 ms",
       "choose a value from 1000 to 86400000 ms"});
  checkRejected({"8080", "0", OutOfRange, "vm.json:4:36: http.port is 0", ""});
  checkRejected({"1.5", "-1", OutOfRange, "vm.json:13:12: hops.zilina is -1 ms",
                 "choose a value from 0 to 10000 ms"});
  checkRejected({"\"max_tasks\": 100", "\"heartbeat_ms\": 2000", OutOfRange,
                 "vm.json:14:3: limits.peer_silent_ms is less than twice",
                 "raise peer_silent_ms"});
  checkRejected({"\"127.0.0.1\"", "\"localhost\"", OutOfRange,
                 "vm.json:4:12: http.address is \"localhost\"",
                 "write four numbers"});
  checkRejected({"\"vm1\"", "\"VM 1\"", OutOfRange,
                 "vm.json:3:3: \"VM 1\" is not a valid name for name",
                 "use 1 to 63 lower-case letters"});
}

TEST_CASE("contradictory peers and voters are reported") {
  using enum ErrorKind;
  checkRejected({"\"vm2\"", "\"vm1\"", Contradiction,
                 "vm.json:10:5: peers names this VM, \"vm1\", twice",
                 "remove one of the two entries"});
  checkRejected({"9081", "9080", Contradiction,
                 "vm.json:10:5: peers gives \"vm2\" the address and port of",
                 "correct the address or the port"});
  checkRejected({"\"vm1\", \"data_centre\": \"nitra\", \"a",
                 "\"vm1\", \"data_"
                 "centre\": \"zilina\", \"a",
                 Contradiction,
                 "vm.json:9:5: peers puts this VM, \"vm1\", into \"zilina\"",
                 "make the two equal"});
  checkRejected({"\"vm2\"]", "\"vm22\"]", Contradiction,
                 "vm.json:12:21: voter \"vm22\" is neither this VM nor one",
                 "did you mean \"vm2\"? Otherwise, add it to peers"});
  checkRejected({"\"vm2\"]", "\"vm1\"]", Contradiction,
                 "vm.json:12:21: voters names \"vm1\" twice", "remove one"});
  checkRejected({"{\"zilina\"", "{\"zilna\"", UnknownSetting,
                 "vm.json:13:12: hops.zilna names a data centre that no VM",
                 "did you mean \"zilina\"?"});
}
