#ifndef SAPPHIREMOOR_CONFIGURATION_INTERNAL_CONFIGCACHE_H
#define SAPPHIREMOOR_CONFIGURATION_INTERNAL_CONFIGCACHE_H

#include "configuration/types/configstate.h"
#include "framework/core/result.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace sapphiremoor {

/// New texts by file name; no text means removal.
using FileUpdates = std::map<std::string, std::optional<std::string_view>>;

/// Returns \p PreviousCache after \p Updates. Files that do not change are not
/// parsed again, so that the cost of a change does not grow with the size of
/// all texts. Fails as mergeConfiguration() does.
Result<ConfigCache> buildCache(const ConfigCache &PreviousCache,
                               const FileUpdates &Updates);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CONFIGURATION_INTERNAL_CONFIGCACHE_H
