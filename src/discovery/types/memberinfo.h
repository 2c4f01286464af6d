#ifndef SAPPHIREMOOR_DISCOVERY_TYPES_MEMBERINFO_H
#define SAPPHIREMOOR_DISCOVERY_TYPES_MEMBERINFO_H

#include "framework/core/types/endpoint.h"
#include "framework/core/types/peerprocess.h"
#include "framework/core/types/vmid.h"

#include <compare>
#include <cstdint>
#include <string>

namespace sapphiremoor {

/// Role of a VM in the deployment.
enum class MemberRole : uint8_t {
  /// Accepts requests of callers.
  Entry,
  /// Dispatches tasks and stores the configuration.
  Control,
};

/// What a VM announces about itself to the others.
struct MemberInfo {
  VmId Id;
  MemberRole Role = MemberRole::Entry;
  std::string DataCentre;
  /// Endpoint at which it accepts links from other VMs.
  Endpoint PeerEndpoint;
  /// True if it stops soon and takes no new work.
  bool Draining = false;

  auto operator<=>(const MemberInfo &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Id, Role, DataCentre, PeerEndpoint, Draining);
  }
};

/// Returns the process under the address of its VM.
inline PeerProcess peerProcess(const MemberInfo &Member) {
  return {describe(Member.PeerEndpoint), Member.Id.Incarnation};
}

/// A VM that the sender heard directly, and how long ago.
struct MemberSighting {
  MemberInfo Info;
  int64_t AgeMs = 0;

  auto operator<=>(const MemberSighting &) const = default;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Info, AgeMs); }
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_DISCOVERY_TYPES_MEMBERINFO_H
