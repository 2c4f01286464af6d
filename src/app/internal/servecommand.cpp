#include "app/client.h"
#include "app/commands.h"
#include "configuration/settingsfile.h"
#include "daemon/daemon.h"
#include "framework/codec/crypto.h"
#include "framework/eventlog/eventlog.h"

#include <CLI/CLI.hpp>

#include <csignal>

namespace sapphiremoor {

namespace {

Result<Settings> loadSettings(const std::string &Path) {
  const Result<std::string> Text = readFile(Path);
  if (isError(Text))
    return errorOf(Text);
  return parseSettings(valueOf(Text), Path);
}

ExitCode rejectSettings(const Error &Reason) {
  const bool Disk = Reason.Kind == ErrorKind::CorruptData ||
                    Reason.Kind == ErrorKind::StorageFailure;
  logEvent(Disk ? events::StorageFailed : events::SettingsRejected,
           {{"error", describe(Reason)}});
  return ExitCode::BadInput;
}

ExitCode serve(const std::string &SettingsFile) {
  configureLog({});
  const Result<Settings> Loaded = loadSettings(SettingsFile);
  if (isError(Loaded))
    return rejectSettings(errorOf(Loaded));
  const Settings &Of = valueOf(Loaded);
  configureLog({Of.Name, Of.DataCentre});
  const Result<std::string> ClusterKey = readSecretFile(Of.ClusterKeyFile);
  if (isError(ClusterKey))
    return rejectSettings(errorOf(ClusterKey));
  Result<TokenTable> Tokens = loadTokens(Of.TokensFolder);
  if (isError(Tokens))
    return rejectSettings(errorOf(Tokens));
  EventLoop Loop;
  Daemon Served(Loop, Of, takeValue(std::move(Tokens)), valueOf(ClusterKey));
  const Result<Done> Started = Served.start();
  if (isError(Started))
    return rejectSettings(errorOf(Started));
  Loop.onSignal(SIGTERM, [&] { Served.drain(); });
  Loop.onSignal(SIGINT, [&] { Served.drain(); });
  Loop.run();
  return ExitCode::Done;
}

} // namespace

void addServeCommand(CLI::App &Root, Action &Chosen) {
  CLI::App *Command =
      Root.add_subcommand("serve", "Run the daemon of one entry VM.");
  auto File = std::make_shared<std::string>();
  Command->add_option("--settings", *File, "Settings file (JSON with comments)")
      ->required();
  Command->footer("Example:\n  sapphiremoor serve --settings a1.json\n"
                  "SIGTERM stops it gracefully: open requests are finished.");
  Command->callback(
      [&Chosen, File] { Chosen = [File] { return serve(*File); }; });
}

} // namespace sapphiremoor
