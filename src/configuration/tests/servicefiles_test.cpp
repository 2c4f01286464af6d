#include "configuration/servicefiles.h"

#include <doctest/doctest.h>

using namespace sapphiremoor;

namespace {

using Files = std::map<std::string, std::string>;

const std::string QuoteFile = R"({"services": {"quote":
  {"idempotent": true, "weight": "messages", "declared_ms": 200}}})";

ServiceConfig mergeFiles(const Files &Input) {
  const auto Result = mergeConfiguration(Input);
  REQUIRE_MESSAGE(!isError(Result), describe(errorOf(Result)));
  return valueOf(Result);
}

void checkRejected(const Files &Input, ErrorKind Kind,
                   const std::string &Message, const std::string &Remedy) {
  CAPTURE(Message);
  const auto Result = mergeConfiguration(Input);
  REQUIRE(isError(Result));
  CHECK(errorOf(Result).Kind == Kind);
  CHECK(errorOf(Result).Message.substr(0, Message.size()) == Message);
  CHECK(errorOf(Result).Remedy.substr(0, Remedy.size()) == Remedy);
}

std::string replaceInQuote(const std::string &OldText,
                           const std::string &NewText) {
  std::string Text = QuoteFile;
  return Text.replace(Text.find(OldText), OldText.size(), NewText);
}

} // namespace

TEST_CASE("a declared service gets its fields and default objectives") {
  const ServiceConfig Config =
      mergeFiles({{"10.json", QuoteFile},
                  {"20.json", R"({"teams": {"sales": {"share": 2.5}}})"}});
  const ServiceSettings Expected{true, Weight::Messages,
                                 std::chrono::milliseconds(200), Objectives{}};
  CHECK(Config.Services.at("quote") == Expected);
  CHECK(Config.Teams.at("sales").Share == 2.5);
}

// Files must be merged in the order of their names.
TEST_CASE("later files adjust single fields") {
  const std::string Adjustment = R"({"services": {"quote": {"declared_ms": 300,
      "objectives": {"availability": 0.99, "latency_ms": 250}}}})";
  const ServiceConfig Config =
      mergeFiles({{"10.json", QuoteFile}, {"20.json", Adjustment}});
  CHECK(Config.Services.at("quote").DeclaredRunTime ==
        std::chrono::milliseconds(300));
  CHECK(Config.Services.at("quote").Idempotent);
  const Objectives Expected{0.99, std::chrono::milliseconds(250), 0.99};
  CHECK(Config.Services.at("quote").Objectives == Expected);
  const ServiceConfig ConfigWithEarlierFile =
      mergeFiles({{"10.json", QuoteFile}, {"05.json", Adjustment}});
  CHECK(ConfigWithEarlierFile.Services.at("quote").DeclaredRunTime ==
        std::chrono::milliseconds(200));
}

TEST_CASE("two declarations contradict unless the later one overrides") {
  const std::string OtherDeclaration = replaceInQuote("200", "400");
  const std::string Message =
      "20.json:1:15: service \"quote\" sets \"declared_ms\" to another value "
      "than 10.json:1:15 does";
  const std::string Remedy = "make the two equal, or add \"override\": true";
  checkRejected({{"10.json", QuoteFile}, {"20.json", OtherDeclaration}},
                ErrorKind::Contradiction, Message, Remedy);
  CHECK(mergeFiles({{"10.json", QuoteFile}, {"20.json", QuoteFile}})
            .Services.size() == 1);

  const std::string OverridingDeclaration =
      replaceInQuote("200", "400, \"override\": true");
  const ServiceConfig Config = mergeFiles({{"10.json", QuoteFile},
                                           {"20.json", OverridingDeclaration},
                                           {"30.json", OtherDeclaration}});
  CHECK(Config.Services.at("quote").DeclaredRunTime ==
        std::chrono::milliseconds(400));
  checkRejected({{"10.json", QuoteFile},
                 {"20.json", OverridingDeclaration},
                 {"30.json", QuoteFile}},
                ErrorKind::Contradiction,
                "30.json:1:15: service \"quote\" sets \"declared_ms\" to "
                "another value than 20.json:1:15 does",
                Remedy);
  const std::string ShorterLatency = "200, \"objectives\": {\"latency_ms\": 1}";
  const std::string LongerLatency = "200, \"objectives\": {\"latency_ms\": 2}";
  checkRejected({{"10.json", replaceInQuote("200", ShorterLatency)},
                 {"20.json", QuoteFile},
                 {"30.json", replaceInQuote("200", LongerLatency)}},
                ErrorKind::Contradiction,
                "30.json:1:15: service \"quote\" sets "
                "\"objectives.latency_ms\" to another value than 10.json:1:15",
                Remedy);
  checkRejected({{"10.json", R"({"teams": {"a": {"share": 1}}})"},
                 {"20.json", R"({"teams": {"a": {"share": 2}}})"},
                 {"30.json", QuoteFile}},
                ErrorKind::Contradiction,
                "20.json:1:12: team \"a\" sets \"share\"", Remedy);
}

TEST_CASE(
    "files without a service or with an incomplete service are rejected") {
  checkRejected({}, ErrorKind::NoService,
                "the configuration files contain no service", "keep or add");
  checkRejected({{"10.json", R"({"teams": {"a": {"share": 1}}})"}},
                ErrorKind::NoService, "the configuration files", "keep or add");
  checkRejected(
      {{"10.json", R"({"services": {"quote": {"weight": "messages"}}})"}},
      ErrorKind::MissingKey,
      "10.json:1:15: service \"quote\" has no \"idempotent\"",
      "add \"idempotent\" to the service");
}

TEST_CASE("invalid fields are rejected with their location") {
  using enum ErrorKind;
  const auto CheckField =
      [](const std::string &OldText, const std::string &NewText, ErrorKind Kind,
         const std::string &Message, const std::string &Remedy) {
        checkRejected({{"a.json", replaceInQuote(OldText, NewText)}}, Kind,
                      Message, Remedy);
      };
  CheckField("idempotent", "idempotant", UnknownSetting,
             "a.json:2:4: unknown setting \"services.quote.idempotant\"",
             "did you mean \"idempotent\"?");
  CheckField("messages", "message", OutOfRange,
             "a.json:2:24: services.quote.weight is \"message\"", "choose one");
  CheckField(
      "200", "0", OutOfRange,
      "a.json:2:46: services.quote.declared_ms is 0 ms, but must be from 1 to "
      "60000 ms",
      "choose a value from 1 to 60000 ms");
  CheckField(
      "true", "1", BadRequest,
      "a.json:2:4: services.quote.idempotent must be true or false, but is "
      "a number",
      "change services.quote.idempotent to true or false");
  CheckField("200", "200, \"objectives\": {\"availability\": 1}", OutOfRange,
             "a.json:2:81: services.quote.objectives.availability is 1",
             "choose");
  CheckField("\"quote\"", "\"Quote\"", OutOfRange,
             "a.json:1:15: \"Quote\" is not a valid name for services",
             "use 1 to");
  CheckField("}}}", "}}", BadJson, "a.json:2:66: ", "correct the JSON");
}

TEST_CASE("file names and sizes are bounded") {
  for (const std::string Name :
       {"", ".json", "A.json", "a/b.json", "a.jsn", "a b.json", "\xff.json"})
    checkRejected({{Name, QuoteFile}}, ErrorKind::BadRequest, "\"",
                  "use lower-case letters");
  CHECK(!isError(checkFileName(std::string(95, 'a') + ".json")));
  CHECK(isError(checkFileName(std::string(96, 'a') + ".json")));
  CHECK(!isError(checkFileName("10-base_file.json")));

  const std::string Padding(MaxFileBytes - QuoteFile.size(), ' ');
  CHECK(!isError(mergeConfiguration({{"a.json", QuoteFile + Padding}})));
  checkRejected({{"a.json", QuoteFile + Padding + " "}}, ErrorKind::TooLarge,
                "a.json has 262145 bytes", "split it");
  Files ManyFiles{{"a.json", QuoteFile}};
  for (std::size_t I = 0; I <= MaxTotalBytes / MaxFileBytes; ++I)
    ManyFiles["b" + std::to_string(I) + ".json"] = "{}" + Padding;
  checkRejected(ManyFiles, ErrorKind::TooLarge, "the configuration files have",
                "remove or shorten");
  ManyFiles = {{"a.json", QuoteFile}};
  for (std::size_t I = 0; I < MaxFiles; ++I)
    ManyFiles["b" + std::to_string(I) + ".json"] = "{}";
  checkRejected(ManyFiles, ErrorKind::TooLarge, "10001 configuration files",
                "remove files");
}
