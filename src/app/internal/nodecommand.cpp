#include "app/client.h"
#include "app/commands.h"
#include "framework/eventlog/eventlog.h"
#include "platform/platformnode.h"

#include <CLI/CLI.hpp>

namespace sapphiremoor {

namespace {

ExitCode runNode(const std::string &SettingsFile) {
  const Result<Done> Ended = platform::runNode(SettingsFile);
  if (!isError(Ended))
    return ExitCode::Done;
  logEvent(events::SettingsRejected, {{"error", describe(errorOf(Ended))}});
  return ExitCode::BadInput;
}

} // namespace

void addNodeCommand(CLI::App &Root, Action &Chosen) {
  CLI::App *Command = Root.add_subcommand(
      "node", "Run an entry or control VM of a deployment that finds its "
              "members itself.");
  auto File = std::make_shared<std::string>();
  Command->add_option("--settings", *File, "Settings file (JSON with comments)")
      ->envname(platform::SettingsVariable)
      ->required();
  Command->footer("Example:\n  sapphiremoor node --settings e1.json\n"
                  "SIGTERM stops it gracefully; SIGHUP reads the settings "
                  "again.");
  Command->callback(
      [&Chosen, File] { Chosen = [File] { return runNode(*File); }; });
}

} // namespace sapphiremoor
