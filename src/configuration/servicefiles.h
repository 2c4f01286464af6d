#ifndef SAPPHIREMOOR_CONFIGURATION_SERVICEFILES_H
#define SAPPHIREMOOR_CONFIGURATION_SERVICEFILES_H

#include "configuration/types/serviceconfig.h"
#include "configuration/types/servicefile.h"
#include "framework/core/result.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace sapphiremoor {

/// Maximum size of one configuration file.
inline constexpr std::size_t MaxFileBytes = std::size_t{256} << 10;

/// Maximum number of configuration files.
inline constexpr std::size_t MaxFiles = 10'000;

/// Maximum total size of all files. The whole configuration and its history
/// must fit into one frame of 8 MB between VMs.
inline constexpr std::size_t MaxTotalBytes = std::size_t{4} << 20;

/// Checks a configuration file's name: lower-case letters, digits, '-' and '_',
/// ending in ".json", at most 100 characters.
Result<Done> checkFileName(const std::string &Name);

/// Parses one configuration file, which is JSON with comments: {"services":
/// {NAME: {"idempotent", "weight", "declared_ms", "objectives":
/// {"availability", "latency_ms", "latency_share"}, "override"}}, "teams":
/// {NAME: {"share", "override"}}}. Every field is optional in a single file.
/// Errors contain file, line and column in the format of parseSettings().
Result<ServiceFile> parseServiceFile(std::string_view Text,
                                     const std::string &FileName);

/// Parsed files by name.
using ServiceFiles = std::map<std::string, std::shared_ptr<const ServiceFile>>;

/// Merges parsed files in the order of their names.
///
/// A file *declares* a service if it sets all of "idempotent", "weight" and
/// "declared_ms"; it declares a team if it sets "share". A file that sets fewer
/// fields *adjusts* the service. Each field takes the value of the last file
/// that sets it. All declarations of one service or team must agree: if a later
/// declaration sets a field to another value than an earlier one, the merge
/// fails with a Contradiction that names both files, unless the later one sets
/// "override": true. Declarations after an override must agree with it, but no
/// longer with those before it. Adjustments never cause a Contradiction, and
/// "override" has no effect on them.
///
/// After the merge every service must have the three fields (otherwise
/// MissingKey) and there must be at least one service (otherwise NoService).
Result<ServiceConfig> mergeServiceFiles(const ServiceFiles &Files);

/// Checks names, sizes and number of \p Files (file name to text), parses them
/// and merges them with mergeServiceFiles().
Result<ServiceConfig>
mergeConfiguration(const std::map<std::string, std::string> &Files);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CONFIGURATION_SERVICEFILES_H
