#ifndef SAPPHIREMOOR_APP_CLIENT_H
#define SAPPHIREMOOR_APP_CLIENT_H

#include "app/commands.h"
#include "app/exitcode.h"
#include "framework/core/result.h"
#include "framework/net/httpcall.h"

#include <string>
#include <vector>

namespace sapphiremoor {

/// Sends requests to the VMs of a deployment and waits for the answers.
class Client {
public:
  /// Reads the token file and parses the addresses. Errors: BadRequest and
  /// those of readSecretFile().
  static Result<Client> open(const ClientOptions &Options);

  /// Sends \p Request to the first VM that answers. Every request of the
  /// command line may be sent twice: it carries a key or a request id, or
  /// changes nothing. Unreachable if no VM answers.
  Result<HttpCallResult> call(HttpCallRequest Request) const;

private:
  std::vector<Endpoint> Endpoints;
  std::string Token;
};

/// Reads a whole file, or standard input for "-".
Result<std::string> readFile(const std::string &Path);

/// Prints an error and returns the exit code for it.
ExitCode printError(const Error &Failure);

/// Prints the error that a VM answered with.
ExitCode printErrorAnswer(const HttpCallResult &Answer);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_APP_CLIENT_H
