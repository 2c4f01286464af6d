#ifndef SAPPHIREMOOR_MEMBERSHIP_TYPES_HEARTBEAT_H
#define SAPPHIREMOOR_MEMBERSHIP_TYPES_HEARTBEAT_H

#include "framework/codec/serial.h"
#include "framework/core/types/vmid.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sapphiremoor {

/// Load of a service, as its dispatcher reports it.
struct ServiceLoad {
  std::string Service;
  /// Expected waiting time of a new task in microseconds.
  int64_t WaitMicros = 0;

  auto operator<=>(const ServiceLoad &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Service, WaitMicros);
  }
};

/// Message that each VM sends to the others once a second.
struct Heartbeat {
  VmId Sender;
  std::string DataCentre;
  bool Draining = false;
  /// Committed configuration revision of the sender.
  uint64_t Revision = 0;
  /// Names of the VMs that the sender can reach or has heard within the silence
  /// limit.
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
