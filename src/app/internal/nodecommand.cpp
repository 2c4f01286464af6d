#include "app/client.h"
#include "app/commands.h"
#include "framework/eventlog/eventlog.h"
#include "platform/platformnode.h"

#include <CLI/CLI.hpp>

namespace sapphiremoor {

namespace {

ExitCode runNode(const std::string &SettingsFile) {
  const Result<Done> RunResult = platform::runNode(SettingsFile);
  if (!isError(RunResult))
    return ExitCode::Done;
  logEvent(events::SettingsRejected, {{"error", describe(errorOf(RunResult))}});
  return ExitCode::BadInput;
}

} // namespace

void addNodeCommand(CLI::App &Root, Action &SelectedAction) {
  CLI::App *Command = Root.add_subcommand(
      "node", "Run an entry or control VM of a deployment that discovers its "
              "members itself.");
  auto File = std::make_shared<std::string>();
  Command->add_option("--settings", *File, "Settings file (JSON with comments)")
      ->envname(platform::SettingsVariable)
      ->required();
  Command->footer("Example:\n  sapphiremoor node --settings e1.json\n"
                  "SIGTERM stops it gracefully; SIGHUP reads the settings "
                  "again.");
  Command->callback([&SelectedAction, File] {
    SelectedAction = [File] { return runNode(*File); };
  });
}

} // namespace sapphiremoor
