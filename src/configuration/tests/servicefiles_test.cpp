#include "configuration/servicefiles.h"

#include <doctest/doctest.h>

using namespace sapphiremoor;

namespace {

using Files = std::map<std::string, std::string>;

const std::string Quote = R"({"services": {"quote":
  {"idempotent": true, "weight": "messages", "declared_ms": 200}}})";

ServiceConfig merged(const Files &Input) {
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

std::string replaced(const std::string &From, const std::string &To) {
  std::string Text = Quote;
  return Text.replace(Text.find(From), From.size(), To);
}

} // namespace

TEST_CASE("a declared service gets its fields and default objectives") {
  const ServiceConfig Config =
      merged({{"10.json", Quote},
              {"20.json", R"({"teams": {"sales": {"share": 2.5}}})"}});
  const ServiceSettings Expected{true, Weight::Messages,
                                 std::chrono::milliseconds(200), Objectives{}};
  CHECK(Config.Services.at("quote") == Expected);
  CHECK(Config.Teams.at("sales").Share == 2.5);
}

// Guards against a merge in another order than that of the names.
TEST_CASE("later files adjust single fields") {
  const std::string Adjust = R"({"services": {"quote": {"declared_ms": 300,
      "objectives": {"availability": 0.99, "latency_ms": 250}}}})";
  const ServiceConfig Config =
      merged({{"10.json", Quote}, {"20.json", Adjust}});
  CHECK(Config.Services.at("quote").DeclaredRunTime ==
        std::chrono::milliseconds(300));
  CHECK(Config.Services.at("quote").Idempotent);
  const Objectives Expected{0.99, std::chrono::milliseconds(250), 0.99};
  CHECK(Config.Services.at("quote").Objectives == Expected);
  const ServiceConfig Before =
      merged({{"10.json", Quote}, {"05.json", Adjust}});
  CHECK(Before.Services.at("quote").DeclaredRunTime ==
        std::chrono::milliseconds(200));
}

TEST_CASE("two declarations contradict unless the later one overrides") {
  const std::string Other = replaced("200", "400");
  const std::string Message =
      "20.json:1:15: service \"quote\" sets \"declared_ms\" to another value "
      "than 10.json:1:15 does";
  const std::string Remedy = "make the two equal, or add \"override\": true";
  checkRejected({{"10.json", Quote}, {"20.json", Other}},
                ErrorKind::Contradiction, Message, Remedy);
  CHECK(merged({{"10.json", Quote}, {"20.json", Quote}}).Services.size() == 1);

  const std::string Override = replaced("200", "400, \"override\": true");
  const ServiceConfig Config =
      merged({{"10.json", Quote}, {"20.json", Override}, {"30.json", Other}});
  CHECK(Config.Services.at("quote").DeclaredRunTime ==
        std::chrono::milliseconds(400));
  checkRejected({{"10.json", Quote}, {"20.json", Override}, {"30.json", Quote}},
                ErrorKind::Contradiction,
                "30.json:1:15: service \"quote\" sets \"declared_ms\" to "
                "another value than 20.json:1:15 does",
                Remedy);
  const std::string Objective = "200, \"objectives\": {\"latency_ms\": 1}";
  const std::string Tighter = "200, \"objectives\": {\"latency_ms\": 2}";
  checkRejected({{"10.json", replaced("200", Objective)},
                 {"20.json", Quote},
                 {"30.json", replaced("200", Tighter)}},
                ErrorKind::Contradiction,
                "30.json:1:15: service \"quote\" sets "
                "\"objectives.latency_ms\" to another value than 10.json:1:15",
                Remedy);
  checkRejected({{"10.json", R"({"teams": {"a": {"share": 1}}})"},
                 {"20.json", R"({"teams": {"a": {"share": 2}}})"},
                 {"30.json", Quote}},
                ErrorKind::Contradiction,
                "20.json:1:12: team \"a\" sets \"share\"", Remedy);
}

TEST_CASE("files that leave no service or half a service are rejected") {
  checkRejected({}, ErrorKind::NoService,
                "the configuration files leave no service", "keep or add");
  checkRejected({{"10.json", R"({"teams": {"a": {"share": 1}}})"}},
                ErrorKind::NoService, "the configuration files", "keep or add");
  checkRejected(
      {{"10.json", R"({"services": {"quote": {"weight": "messages"}}})"}},
      ErrorKind::MissingKey,
      "10.json:1:15: service \"quote\" has no \"idempotent\"",
      "add \"idempotent\" to the service");
}

TEST_CASE("bad fields are rejected with their place") {
  using enum ErrorKind;
  const auto Check = [](const std::string &From, const std::string &To,
                        ErrorKind Kind, const std::string &Message,
                        const std::string &Remedy) {
    checkRejected({{"a.json", replaced(From, To)}}, Kind, Message, Remedy);
  };
  Check("idempotent", "idempotant", UnknownSetting,
        "a.json:2:4: unknown setting \"services.quote.idempotant\"",
        "did you mean \"idempotent\"?");
  Check("messages", "message", OutOfRange,
        "a.json:2:24: services.quote.weight is \"message\"", "choose one");
  Check("200", "0", OutOfRange,
        "a.json:2:46: services.quote.declared_ms is 0 ms, allowed are 1 to "
        "60000 ms",
        "choose a value from 1 to 60000 ms");
  Check("true", "1", BadRequest,
        "a.json:2:4: services.quote.idempotent must be true or false, but is "
        "a number",
        "give services.quote.idempotent as true or false");
  Check("200", "200, \"objectives\": {\"availability\": 1}", OutOfRange,
        "a.json:2:81: services.quote.objectives.availability is 1", "choose");
  Check("\"quote\"", "\"Quote\"", OutOfRange,
        "a.json:1:15: \"Quote\" is not a valid name for services", "use 1 to");
  Check("}}}", "}}", BadJson, "a.json:2:66: ", "correct the JSON");
}

TEST_CASE("file names and sizes are bounded") {
  for (const std::string Name :
       {"", ".json", "A.json", "a/b.json", "a.jsn", "a b.json", "\xff.json"})
    checkRejected({{Name, Quote}}, ErrorKind::BadRequest, "\"",
                  "use lower-case letters");
  CHECK(!isError(checkFileName(std::string(95, 'a') + ".json")));
  CHECK(isError(checkFileName(std::string(96, 'a') + ".json")));
  CHECK(!isError(checkFileName("10-base_file.json")));

  const std::string Large(MaxFileBytes - Quote.size(), ' ');
  CHECK(!isError(mergeConfiguration({{"a.json", Quote + Large}})));
  checkRejected({{"a.json", Quote + Large + " "}}, ErrorKind::TooLarge,
                "a.json has 262145 bytes", "split it");
  Files Many{{"a.json", Quote}};
  for (std::size_t I = 0; I <= MaxTotalBytes / MaxFileBytes; ++I)
    Many["b" + std::to_string(I) + ".json"] = "{}" + Large;
  checkRejected(Many, ErrorKind::TooLarge, "the configuration files have",
                "remove or shorten");
  Many = {{"a.json", Quote}};
  for (std::size_t I = 0; I < MaxFiles; ++I)
    Many["b" + std::to_string(I) + ".json"] = "{}";
  checkRejected(Many, ErrorKind::TooLarge, "10001 configuration files",
                "remove files");
}
