#ifndef SAPPHIREMOOR_MEMBERSHIP_MEMBERSHIP_H
#define SAPPHIREMOOR_MEMBERSHIP_MEMBERSHIP_H

#include "membership/types/heartbeat.h"
#include "membership/types/membershipstate.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sapphiremoor {

/// One-way latency from the data centre of this VM to other data centres.
using Hops = std::map<std::string, Duration>;

/// Records that the link layer can exchange messages with \p Peer.
void linkUp(MembershipState &State, const VmId &Peer);

/// Records that the link to \p Peer is down. Does nothing if \p Peer is not the
/// linked incarnation.
void linkDown(MembershipState &State, const VmId &Peer);

/// Records a heartbeat. Ignores it unless the link is up and the heartbeat
/// comes from the linked incarnation.
void receiveHeartbeat(MembershipState &State, const Heartbeat &Message,
                      Instant Now);

/// Builds the heartbeat of this VM.
Heartbeat makeHeartbeat(const MembershipState &State, uint64_t Revision,
                        std::vector<ServiceLoad> Loads, Instant Now);

/// Returns true if messages pass in both directions: \p Name is linked, was
/// heard within the silence limit and hears this VM.
bool isLive(const MembershipState &State, const std::string &Name, Instant Now);

/// Returns the VM that dispatches group \p Group of \p DataCentre: the first
/// live VM in rendezvous-hash order that is not draining. If all are draining,
/// returns the first of them, so that the data centre keeps a dispatcher.
std::optional<VmId> selectDispatcher(const MembershipState &State,
                                     const std::string &DataCentre,
                                     uint32_t Group, Instant Now);

/// Returns the other live VMs that may hold grants and are not draining: those
/// of this data centre first, then by latency.
std::vector<VmId> grantMembers(const MembershipState &State,
                               const Hops &HopTimes, Instant Now);

/// Returns the data centre to run a job of \p Service in. Another one than the
/// local one is chosen only if its wait plus twice the one-way latency is
/// shorter than \p LocalWait by more than 20 ms, or if there is no
/// \p LocalWait.
std::string chooseDataCentre(const MembershipState &State, const Hops &HopTimes,
                             const std::string &Service,
                             std::optional<Duration> LocalWait, Instant Now);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_MEMBERSHIP_MEMBERSHIP_H
