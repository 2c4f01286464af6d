#include "options.h"

#include <CLI/CLI.hpp>

#include <charconv>
#include <fstream>
#include <iostream>
#include <map>

namespace sapphiremoor::standin {

namespace {

constexpr int UsageExitCode = 2;

/// Option values that are converted after CLI11 has parsed them.
struct RawOptions {
  std::vector<std::string> AnnounceTargets;
  std::string TokenFile;
  unsigned RunMs = 100;
  unsigned SlowMs = 2000;
};

void addIdentityOptions(CLI::App &App, Options &Settings) {
  App.add_option("--address", Settings.Address, "address to listen on");
  App.add_option("--port", Settings.Port, "port to listen on, 0 for any");
  App.add_option("--advertise-port", Settings.AdvertisedPort,
                 "port to announce if a relay is in front; 0 for the port "
                 "listened on");
  App.add_option("--id", Settings.Id, "identifier of the backend server");
  App.add_option("--worker", Settings.Worker, "worker that it runs on");
  App.add_option("--rack", Settings.Rack, "rack of the worker");
  App.add_option("--services", Settings.Services,
                 "services that it offers, separated by commas")
      ->delimiter(',');
  App.add_option("--slots", Settings.Slots,
                 "number of tasks that it runs at the same time");
}

void addBehaviourOptions(CLI::App &App, Options &Settings,
                         RawOptions &RawValues) {
  const std::map<std::string, Mode> Modes{{"fixed", Mode::Fixed},
                                          {"slow", Mode::Slow},
                                          {"failing", Mode::Failing},
                                          {"silent", Mode::Silent},
                                          {"leaving", Mode::Leaving}};
  App.add_option("--announce", RawValues.AnnounceTargets,
                 "HOST:PORT of an entry VM; repeatable");
  App.add_option("--token-file", RawValues.TokenFile,
                 "file with the token for announcements");
  App.add_option("--mode", Settings.TaskMode, "how it answers tasks")
      ->transform(CLI::CheckedTransformer(Modes));
  App.add_option("--run-ms", RawValues.RunMs, "run time of a task");
  App.add_option("--slow-ms", RawValues.SlowMs, "run time in the mode slow");
  App.add_option("--leave-after", Settings.LeaveAfterTasks,
                 "number of tasks after which it leaves in the mode leaving");
  App.add_option("--counts", Settings.CountsFile,
                 "file that gets one line for each started task");
}

int reportUsageError(const std::string &Message) {
  std::cerr << Message << "\n";
  return UsageExitCode;
}

/// Returns the first line of a file, or an empty string if there is none.
std::string readFirstLine(const std::string &Path) {
  std::ifstream File(Path);
  std::string Line;
  std::getline(File, Line);
  return Line;
}

} // namespace

Result<Endpoint> parseEndpoint(const std::string &Text) {
  const Error FormatError{ErrorKind::BadRequest,
                          "'" + Text + "' is not HOST:PORT",
                          "write for example 127.0.0.1:8080"};
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos || Colon == 0)
    return FormatError;
  Endpoint Target{Text.substr(0, Colon), 0};
  const char *End = Text.data() + Text.size();
  const auto Conversion =
      std::from_chars(Text.data() + Colon + 1, End, Target.Port);
  if (Conversion.ec != std::errc() || Conversion.ptr != End || Target.Port == 0)
    return FormatError;
  return Target;
}

std::variant<Options, int> parseOptions(int ArgumentCount,
                                        const char *const *Arguments) {
  CLI::App App{"Stand-in for a backend server"};
  Options Settings;
  RawOptions RawValues;
  addIdentityOptions(App, Settings);
  addBehaviourOptions(App, Settings, RawValues);
  try {
    App.parse(ArgumentCount, Arguments);
  } catch (const CLI::ParseError &ParseFailure) {
    return App.exit(ParseFailure) == 0 ? 0 : UsageExitCode;
  }
  for (const std::string &Text : RawValues.AnnounceTargets) {
    const auto Target = parseEndpoint(Text);
    if (isError(Target))
      return reportUsageError(describe(errorOf(Target)));
    Settings.AnnounceTargets.push_back(valueOf(Target));
  }
  if (!RawValues.TokenFile.empty()) {
    Settings.Token = readFirstLine(RawValues.TokenFile);
    if (Settings.Token.empty())
      return reportUsageError("--token-file: '" + RawValues.TokenFile +
                              "' has no token in its first line");
  }
  Settings.RunTime = std::chrono::milliseconds(RawValues.RunMs);
  Settings.SlowRunTime = std::chrono::milliseconds(RawValues.SlowMs);
  return Settings;
}

} // namespace sapphiremoor::standin
