#ifndef SAPPHIREMOOR_CONFIGURATION_INTERNAL_PRINTABLE_H
#define SAPPHIREMOOR_CONFIGURATION_INTERNAL_PRINTABLE_H

#include <string>
#include <string_view>

namespace sapphiremoor {

/// Returns \p Text in a form that is safe in messages: cut after 160 bytes,
/// with '?' for bytes that are not printable ASCII. Input may be long, and
/// messages are sent as JSON, whose writer rejects invalid UTF-8.
std::string toPrintable(std::string_view Text);

/// Returns true if \p Text consists of printable ASCII without spaces.
bool isPrintable(std::string_view Text);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CONFIGURATION_INTERNAL_PRINTABLE_H
