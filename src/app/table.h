#ifndef SAPPHIREMOOR_APP_TABLE_H
#define SAPPHIREMOOR_APP_TABLE_H

#include <string>
#include <vector>

namespace sapphiremoor {

/// Returns \p Rows as text with aligned columns; the first row is the heading.
std::string formatTable(const std::vector<std::vector<std::string>> &Rows);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_APP_TABLE_H
