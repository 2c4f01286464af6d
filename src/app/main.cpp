#include "app/commands.h"

#include <CLI/CLI.hpp>

int main(int Argc, char **Argv) {
  using namespace sapphiremoor;
  CLI::App Root{"Dispatcher for sub-second tasks.", "sapphiremoor"};
  Root.set_version_flag("--version", SAPPHIREMOOR_VERSION);
  Root.require_subcommand(1);
  Root.footer("Each command explains itself with --help. Exit codes: 0 done, "
              "1 failed,\n2 bad input, 3 not run, 4 outcome unknown, 5 no VM "
              "answers.");
  Action Chosen;
  addServeCommand(Root, Chosen);
  addNodeCommand(Root, Chosen);
  addJobCommands(Root, Chosen);
  addConfigCommands(Root, Chosen);
  addOperatorCommands(Root, Chosen);
  try {
    Root.parse(Argc, Argv);
  } catch (const CLI::ParseError &Failure) {
    const bool Asked = Failure.get_exit_code() == 0;
    Root.exit(Failure);
    return static_cast<int>(Asked ? ExitCode::Done : ExitCode::BadInput);
  }
  return static_cast<int>(Chosen());
}
