#include "options.h"

#include <CLI/CLI.hpp>

#include <charconv>
#include <fstream>
#include <iostream>
#include <map>

namespace sapphiremoor::standin {

namespace {

constexpr int UsageExit = 2;

/// Option values that need a further step after CLI11 has read them.
struct Raw {
  std::vector<std::string> Announce;
  std::string TokenFile;
  unsigned RunMs = 100;
  unsigned SlowMs = 2000;
};

void declareIdentity(CLI::App &App, Options &Into) {
  App.add_option("--address", Into.Address, "address to listen on");
  App.add_option("--port", Into.Port, "port to listen on, 0 for any");
  App.add_option("--advertise-port", Into.AdvertisedPort,
                 "port to announce, for a relay in front");
  App.add_option("--id", Into.Id, "identifier of the backend server");
  App.add_option("--worker", Into.Worker, "worker that it runs on");
  App.add_option("--rack", Into.Rack, "rack of the worker");
  App.add_option("--services", Into.Services, "services that it carries")
      ->delimiter(',');
  App.add_option("--slots", Into.Slots, "tasks at a time");
}

void declareBehaviour(CLI::App &App, Options &Into, Raw &Later) {
  const std::map<std::string, Mode> Modes{{"fixed", Mode::Fixed},
                                          {"slow", Mode::Slow},
                                          {"failing", Mode::Failing},
                                          {"silent", Mode::Silent},
                                          {"leaving", Mode::Leaving}};
  App.add_option("--announce", Later.Announce,
                 "HOST:PORT of an entry VM; repeatable");
  App.add_option("--token-file", Later.TokenFile,
                 "file with the token for announcements");
  App.add_option("--mode", Into.Behaviour, "how tasks are treated")
      ->transform(CLI::CheckedTransformer(Modes));
  App.add_option("--run-ms", Later.RunMs, "run time of a task");
  App.add_option("--slow-ms", Later.SlowMs, "run time in the mode slow");
  App.add_option("--leave-after", Into.LeaveAfter,
                 "tasks before it leaves in the mode leaving");
  App.add_option("--counts", Into.CountsFile,
                 "file that gets one line for each started task");
}

int usageError(const std::string &Message) {
  std::cerr << Message << "\n";
  return UsageExit;
}

/// Returns the first line of a file, or nothing if there is none.
std::string firstLine(const std::string &Path) {
  std::ifstream File(Path);
  std::string Line;
  std::getline(File, Line);
  return Line;
}

} // namespace

Result<Endpoint> parseEndpoint(const std::string &Text) {
  const Error Malformed{ErrorKind::BadRequest,
                        "'" + Text + "' is not HOST:PORT",
                        "write for example 127.0.0.1:8080"};
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos || Colon == 0)
    return Malformed;
  Endpoint Parsed{Text.substr(0, Colon), 0};
  const char *End = Text.data() + Text.size();
  const auto Read = std::from_chars(Text.data() + Colon + 1, End, Parsed.Port);
  if (Read.ec != std::errc() || Read.ptr != End || Parsed.Port == 0)
    return Malformed;
  return Parsed;
}

std::variant<Options, int> parseOptions(int Count, const char *const *Values) {
  CLI::App App{"Stand-in for a backend server"};
  Options Parsed;
  Raw Later;
  declareIdentity(App, Parsed);
  declareBehaviour(App, Parsed, Later);
  try {
    App.parse(Count, Values);
  } catch (const CLI::ParseError &Fault) {
    return App.exit(Fault) == 0 ? 0 : UsageExit;
  }
  for (const std::string &Text : Later.Announce) {
    const auto Target = parseEndpoint(Text);
    if (isError(Target))
      return usageError(describe(errorOf(Target)));
    Parsed.Announce.push_back(valueOf(Target));
  }
  if (!Later.TokenFile.empty()) {
    Parsed.Token = firstLine(Later.TokenFile);
    if (Parsed.Token.empty())
      return usageError("--token-file holds no token");
  }
  Parsed.Run = std::chrono::milliseconds(Later.RunMs);
  Parsed.Slow = std::chrono::milliseconds(Later.SlowMs);
  return Parsed;
}

} // namespace sapphiremoor::standin
