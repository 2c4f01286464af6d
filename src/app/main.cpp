#include "app/commands.h"
#include "framework/core/crashreport.h"

#include <CLI/CLI.hpp>

int main(int Argc, char **Argv) {
  using namespace sapphiremoor;
  installCrashReport();
  CLI::App Root{"Dispatcher for sub-second tasks.", "sapphiremoor"};
  Root.set_version_flag("--version", SAPPHIREMOOR_VERSION);
  Root.require_subcommand(1);
  Root.footer("Run a command with --help for its options. Exit codes: 0 done, "
              "1 failed,\n2 bad input, 3 not run, 4 outcome unknown, 5 no VM "
              "answers.");
  Action SelectedAction;
  addServeCommand(Root, SelectedAction);
  addNodeCommand(Root, SelectedAction);
  addJobCommands(Root, SelectedAction);
  addConfigCommands(Root, SelectedAction);
  addOperatorCommands(Root, SelectedAction);
  try {
    Root.parse(Argc, Argv);
  } catch (const CLI::ParseError &Failure) {
    const bool InfoRequested = Failure.get_exit_code() == 0;
    Root.exit(Failure);
    return static_cast<int>(InfoRequested ? ExitCode::Done
                                          : ExitCode::BadInput);
  }
  return static_cast<int>(SelectedAction());
}
