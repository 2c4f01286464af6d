#ifndef SAPPHIREMOOR_TESTS_ENDTOEND_RELAYPROCESS_H
#define SAPPHIREMOOR_TESTS_ENDTOEND_RELAYPROCESS_H

#include "framework/core/types/endpoint.h"
#include "process.h"

#include <cstdint>
#include <string>

namespace sapphiremoor::endtoend {

/// A relay between two processes that disturbs their connections on command.
class RelayProcess {
public:
  /// Relays to \p Target; \p LogFile must not exist yet.
  RelayProcess(const Endpoint &Target, const std::string &LogFile);

  /// Sends a command such as "swallow both" and waits until it is in force.
  void command(const std::string &Line) const;

  /// Where the relay accepts connections.
  Endpoint listenEndpoint() const { return {"127.0.0.1", ListenPort}; }

private:
  Process Child;
  uint16_t ListenPort = 0;
  uint16_t ControlPort = 0;
};

} // namespace sapphiremoor::endtoend

#endif // SAPPHIREMOOR_TESTS_ENDTOEND_RELAYPROCESS_H
