#ifndef SAPPHIREMOOR_CONFIGURATION_INTERNAL_SHOWN_H
#define SAPPHIREMOOR_CONFIGURATION_INTERNAL_SHOWN_H

#include <string>
#include <string_view>

namespace sapphiremoor {

/// Returns \p Text as messages show it: at most 160 bytes, and '?' for bytes
/// that are not printable ASCII. Messages are sent as JSON, whose writer
/// refuses broken UTF-8, and input may be long.
std::string toPrintable(std::string_view Text);

/// Returns true if \p Text consists of printable ASCII without spaces.
bool isPrintable(std::string_view Text);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CONFIGURATION_INTERNAL_SHOWN_H
