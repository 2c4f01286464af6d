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

ExitCode logStartError(const Error &Reason) {
  const bool IsDiskError = Reason.Kind == ErrorKind::CorruptData ||
                           Reason.Kind == ErrorKind::StorageFailure;
  logEvent(IsDiskError ? events::StorageFailed : events::SettingsRejected,
           {{"error", describe(Reason)}});
  return ExitCode::BadInput;
}

ExitCode runDaemon(const std::string &SettingsFile) {
  configureLog({});
  const Result<Settings> Loaded = loadSettings(SettingsFile);
  if (isError(Loaded))
    return logStartError(errorOf(Loaded));
  const Settings &VmSettings = valueOf(Loaded);
  configureLog({VmSettings.Name, VmSettings.DataCentre});
  const Result<std::string> ClusterKey =
      readSecretFile(VmSettings.ClusterKeyFile);
  if (isError(ClusterKey))
    return logStartError(errorOf(ClusterKey));
  Result<TokenTable> Tokens = loadTokens(VmSettings.TokensFolder);
  if (isError(Tokens))
    return logStartError(errorOf(Tokens));
  EventLoop Loop;
  Daemon VmDaemon(Loop, VmSettings, takeValue(std::move(Tokens)),
                  valueOf(ClusterKey));
  const Result<Done> Started = VmDaemon.start();
  if (isError(Started))
    return logStartError(errorOf(Started));
  Loop.onSignal(SIGTERM, [&] { VmDaemon.drain(); });
  Loop.onSignal(SIGINT, [&] { VmDaemon.drain(); });
  Loop.run();
  return ExitCode::Done;
}

} // namespace

void addServeCommand(CLI::App &Root, Action &SelectedAction) {
  CLI::App *Command =
      Root.add_subcommand("serve", "Run the daemon of one entry VM.");
  auto File = std::make_shared<std::string>();
  Command->add_option("--settings", *File, "Settings file (JSON with comments)")
      ->required();
  Command->footer("Example:\n  sapphiremoor serve --settings a1.json\n"
                  "SIGTERM stops it gracefully: open requests are finished.");
  Command->callback([&SelectedAction, File] {
    SelectedAction = [File] { return runDaemon(*File); };
  });
}

} // namespace sapphiremoor
