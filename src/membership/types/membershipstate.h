#ifndef SAPPHIREMOOR_MEMBERSHIP_TYPES_MEMBERSHIPSTATE_H
#define SAPPHIREMOOR_MEMBERSHIP_TYPES_MEMBERSHIPSTATE_H

#include "framework/core/time.h"
#include "framework/core/types/vmid.h"
#include "membership/types/heartbeat.h"

#include <cstdint>
#include <map>
#include <string>

namespace sapphiremoor {

/// State of another VM, as this VM sees it.
struct PeerStatus {
  /// The last heartbeat. Its sender is empty until the first one arrives.
  Heartbeat LastHeartbeat;
  Instant HeardAt;
  /// The link layer can exchange messages with the peer.
  bool Reachable = false;
  VmId LinkedId;
};

/// The membership as one VM sees it. The VMs do not agree on it, and safety
/// does not depend on it.
struct MembershipState {
  VmId Self;
  std::string DataCentre;
  bool Draining = false;
  Duration SilenceLimit = std::chrono::seconds(3);
  std::map<std::string, PeerStatus> Peers;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_MEMBERSHIP_TYPES_MEMBERSHIPSTATE_H
