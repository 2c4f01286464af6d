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

/// Settings of a VM in a deployment that finds its members itself.
struct ClusterSettings {
  std::string Name;
  std::string DataCentre;
  MemberRole Role = MemberRole::Entry;
  /// Where links from other VMs are accepted.
  Endpoint Peer;
  /// The address under which other VMs reach Peer, and the name of this VM as a
  /// voter.
  Endpoint AdvertisedPeer;
  /// Control VMs that are dialled first. The setting seed_port replaces their
  /// ports, for lists that name another listener of the same VMs.
  std::vector<Endpoint> Seeds;
  /// Entry VMs: where callers connect, and where the balancer asks for
  /// readiness.
  std::optional<Endpoint> Front;
  std::optional<Endpoint> Ready;
  /// Control VMs: where backend servers and operators connect.
  std::optional<Endpoint> Control;
  std::optional<Endpoint> Metrics;
  /// Control VMs: where the configuration is kept.
  std::string DataFolder;
  /// The whole deployment starts for the first time, with empty disks.
  bool FirstStart = false;
  /// Control VMs that may be lost at the same time.
  std::size_t ToleratedLosses = 1;
  /// Links are authenticated with this secret.
  std::string ClusterKey;
  /// The network itself is trusted; nobody is authenticated.
  bool TrustedNetwork = false;
  /// Time that a planned stop may take.
  Duration StopLimit = std::chrono::seconds(6);
  /// Longest lease that backend servers grant.
  Duration LongestLease = std::chrono::seconds(1);

  auto operator<=>(const ClusterSettings &) const = default;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CLUSTER_TYPES_CLUSTERSETTINGS_H
