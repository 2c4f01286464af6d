#ifndef SAPPHIREMOOR_MEMBERSHIP_TYPES_HEARTBEAT_H
#define SAPPHIREMOOR_MEMBERSHIP_TYPES_HEARTBEAT_H

#include "framework/codec/serial.h"
#include "framework/core/types/vmid.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sapphiremoor {

/// What a dispatcher says of one of its services.
struct ServiceLoad {
  std::string Service;
  /// Expected wait of a new task in microseconds.
  int64_t WaitMicros = 0;

  auto operator<=>(const ServiceLoad &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Service, WaitMicros);
  }
};

/// What each VM tells the others once a second.
struct Heartbeat {
  VmId Sender;
  std::string DataCentre;
  bool Draining = false;
  /// Committed configuration revision of the sender.
  uint64_t Revision = 0;
  /// Names of the VMs that the sender has heard within the silence limit.
  std::vector<std::string> HeardPeers;
  /// Loads of the services that the sender dispatches.
  std::vector<ServiceLoad> Loads;

  auto operator<=>(const Heartbeat &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Sender, DataCentre, Draining, Revision, HeardPeers, Loads);
  }
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_MEMBERSHIP_TYPES_HEARTBEAT_H
