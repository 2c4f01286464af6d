#ifndef SAPPHIREMOOR_CLUSTER_CLUSTERSETTINGSFILE_H
#define SAPPHIREMOOR_CLUSTER_CLUSTERSETTINGSFILE_H

#include "cluster/types/clustersettings.h"
#include "framework/core/result.h"

#include <string>
#include <string_view>

namespace sapphiremoor {

/// Parses the settings of a VM, which are JSON with comments. Unknown keys are
/// ignored, so that an older program accepts a newer file.
///
/// Errors: BadJson, MissingKey, BadRequest for a value of the wrong type,
/// OutOfRange, and Contradiction if neither a key file nor a trusted network is
/// set. Messages begin with \p FileName.
Result<ClusterSettings> parseClusterSettings(std::string_view Text,
                                             const std::string &FileName);

/// Reads and parses the file at \p Path.
Result<ClusterSettings> loadClusterSettings(const std::string &Path);

/// Parses an IPv4 address and a port, written "address:port".
Result<Endpoint> parseEndpoint(const std::string &Text);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CLUSTER_CLUSTERSETTINGSFILE_H
