#ifndef SAPPHIREMOOR_DAEMON_INTERNAL_CONFIGJSON_H
#define SAPPHIREMOOR_DAEMON_INTERNAL_CONFIGJSON_H

#include "configuration/types/changeresult.h"
#include "configuration/types/configstate.h"
#include "framework/net/types/httpmessage.h"

#include <string>

namespace sapphiremoor {

/// Returns {"revision", "files": {NAME: TEXT}}.
std::string filesJson(const ConfigState &State);

/// Returns {"revision", "changes": [...]}, oldest first.
std::string historyJson(const ConfigState &State);

/// Formats the result of a change: 200 accepted, 409 conflict, 400 rejected.
HttpResponse changeResponse(const ChangeResult &Result);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_DAEMON_INTERNAL_CONFIGJSON_H
