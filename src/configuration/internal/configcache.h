#ifndef SAPPHIREMOOR_CONFIGURATION_INTERNAL_CONFIGCACHE_H
#define SAPPHIREMOOR_CONFIGURATION_INTERNAL_CONFIGCACHE_H

#include "configuration/types/configstate.h"
#include "framework/core/result.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace sapphiremoor {

/// New texts by file name. A file without a text is removed.
using FileUpdates = std::map<std::string, std::optional<std::string_view>>;

/// Applies \p Updates to a copy of \p PreviousCache and returns it. Only
/// updated files are parsed, so the cost does not grow with the total size of
/// all files. Fails like mergeConfiguration().
Result<ConfigCache> buildCache(const ConfigCache &PreviousCache,
                               const FileUpdates &Updates);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CONFIGURATION_INTERNAL_CONFIGCACHE_H
