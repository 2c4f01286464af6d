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

/// Options that all commands of callers and operators share.
struct ClientOptions {
  std::vector<std::string> To;
  std::string TokenFile;
  bool Json = false;
};

/// The command that the arguments chose.
using Action = std::function<ExitCode()>;

/// Each function adds commands to \p Root; parsing sets \p Chosen.
void addServeCommand(CLI::App &Root, Action &Chosen);
void addNodeCommand(CLI::App &Root, Action &Chosen);
void addJobCommands(CLI::App &Root, Action &Chosen);
void addConfigCommands(CLI::App &Root, Action &Chosen);
void addOperatorCommands(CLI::App &Root, Action &Chosen);

/// Adds --to, --token-file and --json to \p Command.
std::shared_ptr<ClientOptions> addClientOptions(CLI::App &Command);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_APP_COMMANDS_H
