#ifndef SAPPHIREMOOR_LEASES_PARSEANNOUNCEMENT_H
#define SAPPHIREMOOR_LEASES_PARSEANNOUNCEMENT_H

#include "framework/core/result.h"
#include "leases/types/announcement.h"

#include <string_view>

namespace sapphiremoor {

/// Checks the identifier of a backend server, which is part of the request
/// path: 1 to 64 letters, digits, '.', '_' or '-'. Returns BadRequest
/// otherwise.
Result<Done> checkBackendId(std::string_view Id);

/// Parses the JSON body of an announcement of the server \p Id. Errors:
/// TooLarge over 16 KB, BadJson, UnknownSetting, MissingKey, OutOfRange (port,
/// slots, running, number of services), Contradiction (a service listed twice),
/// and BadRequest for a value of the wrong type or with invalid characters.
Result<Announcement> parseAnnouncement(std::string_view Id,
                                       std::string_view Text);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_LEASES_PARSEANNOUNCEMENT_H
