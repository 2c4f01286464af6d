#ifndef SAPPHIREMOOR_CONFIGURATION_TYPES_SETTINGS_H
#define SAPPHIREMOOR_CONFIGURATION_TYPES_SETTINGS_H

#include "framework/core/time.h"
#include "framework/core/types/endpoint.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sapphiremoor {

/// Another entry VM and the address where it accepts connections from peers.
struct PeerSettings {
  std::string Name;
  std::string DataCentre;
  Endpoint Address;
  /// Address of its HTTP server, which is announced to backend servers. Port 0
  /// if not set.
  Endpoint Http;

  auto operator<=>(const PeerSettings &) const = default;
};

/// Size and time limits on what one daemon accepts and keeps.
struct Limits {
  uint32_t MaxTasks = 1600;
  std::size_t BodyBytes = std::size_t{8} << 20;
  std::size_t HeaderBytes = std::size_t{16} << 10;
  Duration HeaderTimeout = std::chrono::seconds(5);
  /// About 6 s of work for a dispatcher with the largest share (42,000 starts
  /// per second over 5 data centres).
  uint32_t QueueTasks = 50'000;
  Duration AnswerLifetime = std::chrono::minutes(15);
  std::size_t AnswersBytes = std::size_t{32} << 20;
  Duration PrefixLifetime = std::chrono::hours(1);
  Duration HeartbeatInterval = std::chrono::seconds(1);
  Duration PeerSilenceLimit = std::chrono::seconds(3);
  Duration ClaimTimeout = std::chrono::milliseconds(500);
  Duration ConnectTimeout = std::chrono::milliseconds(300);
  Duration IdleConnectionTimeout = std::chrono::seconds(2);
  Duration TaskTimeout = std::chrono::seconds(30);

  auto operator<=>(const Limits &) const = default;
};

/// The settings of one VM. parseSettings() creates them once; they are constant
/// afterwards.
struct Settings {
  std::string Name;
  std::string DataCentre;
  Endpoint Http;
  Endpoint Peer;
  /// The other VMs, without an entry for this VM.
  std::vector<PeerSettings> Peers;
  /// Names of the voters, which may include this VM.
  std::vector<std::string> Voters;
  /// Absent on a VM without a disk.
  std::optional<std::string> DataFolder;
  std::string ClusterKeyFile;
  std::string TokensFolder;
  /// One-way network delay from this VM's data centre, by name of the other
  /// data centre.
  std::map<std::string, Duration> HopDelays;
  struct Limits Limits;

  auto operator<=>(const Settings &) const = default;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CONFIGURATION_TYPES_SETTINGS_H
