#ifndef SAPPHIREMOOR_CONFIGURATION_TYPES_SERVICEFILE_H
#define SAPPHIREMOOR_CONFIGURATION_TYPES_SERVICEFILE_H

#include "configuration/types/serviceconfig.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace sapphiremoor {

/// The fields of a service that one file sets.
struct ServiceEntry {
  std::optional<bool> Idempotent;
  std::optional<Weight> Preference;
  std::optional<Duration> DeclaredRunTime;
  std::optional<double> Availability;
  std::optional<Duration> Latency;
  std::optional<double> LatencyShare;
  bool Override = false;
  /// Location of the service in the file, as "FILE:LINE:COLUMN".
  std::string Location;
};

/// The fields of a team that one file sets.
struct TeamEntry {
  std::optional<double> Share;
  bool Override = false;
  /// Location of the team in the file, as "FILE:LINE:COLUMN".
  std::string Location;
};

/// One parsed configuration file.
struct ServiceFile {
  std::map<std::string, ServiceEntry> Services;
  std::map<std::string, TeamEntry> Teams;
  /// Size of the text of the file.
  std::size_t TextBytes = 0;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CONFIGURATION_TYPES_SERVICEFILE_H
