#ifndef SAPPHIREMOOR_TESTS_ENDTOEND_RELAYPROCESS_H
#define SAPPHIREMOOR_TESTS_ENDTOEND_RELAYPROCESS_H

#include "framework/core/types/endpoint.h"
#include "process.h"

#include <cstdint>
#include <string>

namespace sapphiremoor::endtoend {

/// A relay process between two other processes. It disturbs their connections
/// on command.
class RelayProcess {
public:
  /// Starts a relay to \p Target. \p LogFile must not exist yet, because the
  /// ports of the relay are read from it.
  RelayProcess(const Endpoint &Target, const std::string &LogFile);

  /// Sends a command such as "swallow both" and waits until the relay confirms
  /// that it is in force.
  void command(const std::string &Line) const;

  /// Returns the endpoint on which the relay accepts connections.
  Endpoint listenEndpoint() const { return {"127.0.0.1", ListenPort}; }

private:
  Process Child;
  uint16_t ListenPort = 0;
  uint16_t ControlPort = 0;
};

} // namespace sapphiremoor::endtoend

#endif // SAPPHIREMOOR_TESTS_ENDTOEND_RELAYPROCESS_H
