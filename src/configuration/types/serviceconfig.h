#ifndef SAPPHIREMOOR_CONFIGURATION_TYPES_SERVICECONFIG_H
#define SAPPHIREMOOR_CONFIGURATION_TYPES_SERVICECONFIG_H

#include "framework/core/time.h"

#include <compare>
#include <map>
#include <string>

namespace sapphiremoor {

/// What to minimise for a service if response time and the number of messages
/// conflict.
enum class Weight { ResponseTime, Messages };

/// Service level objectives. Shares are fractions of 1.
struct Objectives {
  /// Share of the answered requests that must not fail.
  double Availability = 0.999;
  Duration Latency = std::chrono::seconds(1);
  /// Share of the successful requests that must be answered within Latency.
  double LatencyShare = 0.99;

  auto operator<=>(const Objectives &) const = default;
};

/// The settings in force for one service.
struct ServiceSettings {
  bool Idempotent = false;
  Weight Preference = Weight::ResponseTime;
  Duration DeclaredRunTime{};
  struct Objectives Objectives;

  auto operator<=>(const ServiceSettings &) const = default;
};

/// The settings in force for one team. Shares are relative to each other.
struct TeamSettings {
  double Share = 1;

  auto operator<=>(const TeamSettings &) const = default;
};

/// The services and teams in force, merged from all configuration files.
struct ServiceConfig {
  std::map<std::string, ServiceSettings> Services;
  std::map<std::string, TeamSettings> Teams;

  auto operator<=>(const ServiceConfig &) const = default;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CONFIGURATION_TYPES_SERVICECONFIG_H
