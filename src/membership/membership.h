#ifndef SAPPHIREMOOR_MEMBERSHIP_MEMBERSHIP_H
#define SAPPHIREMOOR_MEMBERSHIP_MEMBERSHIP_H

#include "membership/types/heartbeat.h"
#include "membership/types/membershipstate.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sapphiremoor {

/// Distances between data centres: time one way from this VM's data centre.
using Hops = std::map<std::string, Duration>;

/// Notes that the link layer can exchange messages with \p Peer.
void linkUp(MembershipState &State, const VmId &Peer);

/// Notes that \p Peer cannot be reached.
void linkDown(MembershipState &State, const VmId &Peer);

/// Takes in a heartbeat. One from another incarnation than the linked one is
/// ignored.
void receiveHeartbeat(MembershipState &State, const Heartbeat &Message,
                      Instant Now);

/// Builds the heartbeat of this VM.
Heartbeat makeHeartbeat(const MembershipState &State, uint64_t Revision,
                        std::vector<ServiceLoad> Loads, Instant Now);

/// Returns true if \p Name is linked, was heard within the silence limit, and
/// hears this VM: messages pass in both directions.
bool isLive(const MembershipState &State, const std::string &Name, Instant Now);

/// Returns the VM that dispatches group \p Group of \p DataCentre: the first in
/// rendezvous-hash order that is live and not draining. A draining VM is taken
/// if there is no other, so that its data centre keeps a dispatcher.
std::optional<VmId> selectDispatcher(const MembershipState &State,
                                     const std::string &DataCentre,
                                     uint32_t Group, Instant Now);

/// Returns the other live VMs that may hold grants: those of this data centre
/// first, then by distance.
std::vector<VmId> grantMembers(const MembershipState &State,
                               const Hops &HopTimes, Instant Now);

/// Returns the data centre to run a job of \p Service in. Another one is taken
/// only if its wait plus twice the hop is shorter than \p LocalWait by the
/// margin of 20 ms.
std::string chooseDataCentre(const MembershipState &State, const Hops &HopTimes,
                             const std::string &Service,
                             std::optional<Duration> LocalWait, Instant Now);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_MEMBERSHIP_MEMBERSHIP_H
