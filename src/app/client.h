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

  /// Sends \p Request to the given VMs in turn and returns the first answer.
  /// Sending a request twice is safe: every request of the command line carries
  /// a key or a request id, or changes nothing. Returns Unreachable if no VM
  /// answers.
  Result<HttpCallResult> call(HttpCallRequest Request) const;

private:
  std::vector<Endpoint> Endpoints;
  std::string Token;
};

/// Reads a whole file, or standard input for "-".
Result<std::string> readFile(const std::string &Path);

/// Prints an error and returns the exit code for it.
ExitCode printError(const Error &Failure);

/// Prints the error in the answer of a VM and returns the exit code for it.
ExitCode printErrorAnswer(const HttpCallResult &Answer);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_APP_CLIENT_H
