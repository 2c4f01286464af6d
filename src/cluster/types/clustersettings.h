#ifndef SAPPHIREMOOR_CLUSTER_TYPES_CLUSTERSETTINGS_H
#define SAPPHIREMOOR_CLUSTER_TYPES_CLUSTERSETTINGS_H

#include "discovery/types/memberinfo.h"
#include "framework/core/time.h"
#include "framework/core/types/endpoint.h"

#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace sapphiremoor {

/// Settings of a VM in a deployment whose members discover each other.
struct ClusterSettings {
  std::string Name;
  std::string DataCentre;
  MemberRole Role = MemberRole::Entry;
  /// Address on which links from other VMs are accepted.
  Endpoint Peer;
  /// Address under which other VMs reach Peer. It also names this VM as a
  /// voter.
  Endpoint AdvertisedPeer;
  /// Control VMs that are dialled first. The setting seed_port replaces the
  /// ports in the list, for lists that name another listener of the same VMs.
  std::vector<Endpoint> Seeds;
  /// Entry VMs: address for callers.
  std::optional<Endpoint> Front;
  /// Entry VMs: address at which the load balancer checks readiness.
  std::optional<Endpoint> Ready;
  /// Control VMs: address for backend servers and operators.
  std::optional<Endpoint> Control;
  std::optional<Endpoint> Metrics;
  /// Control VMs: folder of the configuration and the stored jobs.
  std::string DataFolder;
  /// True if the whole deployment starts for the first time, with empty disks.
  bool FirstStart = false;
  /// Number of control VMs that may be lost at the same time.
  std::size_t ToleratedLosses = 1;
  /// Secret that authenticates the links.
  std::string ClusterKey;
  /// True if the network itself is trusted and links are not authenticated.
  bool TrustedNetwork = false;
  /// Longest time that a planned stop may take.
  Duration StopLimit = std::chrono::seconds(6);
  /// Longest lease that backend servers grant.
  Duration LongestLease = std::chrono::seconds(1);

  auto operator<=>(const ClusterSettings &) const = default;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CLUSTER_TYPES_CLUSTERSETTINGS_H
