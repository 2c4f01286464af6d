#ifndef SAPPHIREMOOR_MEMBERSHIP_TYPES_MEMBERSHIPSTATE_H
#define SAPPHIREMOOR_MEMBERSHIP_TYPES_MEMBERSHIPSTATE_H

#include "framework/core/time.h"
#include "framework/core/types/vmid.h"
#include "membership/types/heartbeat.h"

#include <cstdint>
#include <map>
#include <string>

namespace sapphiremoor {

/// What a VM knows of another VM.
struct PeerStatus {
  /// The last heartbeat; the sender is empty before the first one.
  Heartbeat LastHeartbeat;
  Instant HeardAt;
  /// The link layer can exchange messages with it.
  bool Reachable = false;
  VmId LinkedId;
};

/// The membership as one VM sees it. There is no agreement on it; safety does
/// not rest on it.
struct MembershipState {
  VmId Self;
  std::string DataCentre;
  bool Draining = false;
  Duration SilenceLimit = std::chrono::seconds(3);
  std::map<std::string, PeerStatus> Peers;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_MEMBERSHIP_TYPES_MEMBERSHIPSTATE_H
