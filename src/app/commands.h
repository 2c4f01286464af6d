#ifndef SAPPHIREMOOR_APP_COMMANDS_H
#define SAPPHIREMOOR_APP_COMMANDS_H

#include "app/exitcode.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace CLI {
class App;
} // namespace CLI

namespace sapphiremoor {

/// Options shared by all commands for callers and operators.
struct ClientOptions {
  std::vector<std::string> Addresses;
  std::string TokenFile;
  bool JsonOutput = false;
};

/// Runs the command that the arguments select.
using Action = std::function<ExitCode()>;

/// Each function adds commands to \p Root; parsing sets \p SelectedAction.
void addServeCommand(CLI::App &Root, Action &SelectedAction);
void addNodeCommand(CLI::App &Root, Action &SelectedAction);
void addJobCommands(CLI::App &Root, Action &SelectedAction);
void addConfigCommands(CLI::App &Root, Action &SelectedAction);
void addOperatorCommands(CLI::App &Root, Action &SelectedAction);

/// Adds --to, --token-file and --json to \p Command.
std::shared_ptr<ClientOptions> addClientOptions(CLI::App &Command);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_APP_COMMANDS_H
