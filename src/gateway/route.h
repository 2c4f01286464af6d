#ifndef SAPPHIREMOOR_GATEWAY_ROUTE_H
#define SAPPHIREMOOR_GATEWAY_ROUTE_H

#include "framework/core/result.h"
#include "framework/net/types/httpmessage.h"
#include "gateway/types/command.h"

namespace sapphiremoor {

/// Converts the path, method and query of a request to a command. Errors:
/// NotFound, MissingKey, BadRequest, OutOfRange.
Result<Command> routeRequest(const HttpRequest &Request);

/// Returns the role that \p RoutedCommand requires.
Role requiredRole(const Command &RoutedCommand);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_GATEWAY_ROUTE_H
