#ifndef SAPPHIREMOOR_FRAMEWORK_CORE_TEXT_H
#define SAPPHIREMOOR_FRAMEWORK_CORE_TEXT_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphiremoor {

/// Returns the Levenshtein distance between \p A and \p B.
std::size_t editDistance(std::string_view A, std::string_view B);

/// Returns the entry of \p KnownNames nearest to \p Word, if it is near enough
/// to be a likely misspelling (at most a third of the word changed).
std::optional<std::string>
nearestName(std::string_view Word, const std::vector<std::string> &KnownNames);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_FRAMEWORK_CORE_TEXT_H
