#ifndef SAPPHIREMOOR_LEASES_PARSEANNOUNCEMENT_H
#define SAPPHIREMOOR_LEASES_PARSEANNOUNCEMENT_H

#include "framework/core/result.h"
#include "leases/types/announcement.h"

#include <string_view>

namespace sapphiremoor {

/// Checks the identifier of a backend server, as it stands in the path of a
/// request: 1 to 64 letters, digits, '.', '_' or '-' (BadRequest otherwise).
Result<Done> checkBackendId(std::string_view Id);

/// Parses the JSON body of the announcement of the server \p Id. Errors:
/// TooLarge over 16 KB, BadJson, UnknownSetting, MissingKey, OutOfRange (port,
/// slots, running, number of services), Contradiction (a service named twice),
/// and BadRequest for a value of the wrong type or with other characters.
Result<Announcement> parseAnnouncement(std::string_view Id,
                                       std::string_view Text);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_LEASES_PARSEANNOUNCEMENT_H
