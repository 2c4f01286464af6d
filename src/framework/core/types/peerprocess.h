#ifndef SAPPHIREMOOR_FRAMEWORK_CORE_TYPES_PEERPROCESS_H
#define SAPPHIREMOOR_FRAMEWORK_CORE_TYPES_PEERPROCESS_H

#include <compare>
#include <cstdint>
#include <string>

namespace sapphiremoor {

/// Identifies a process by the address at which other VMs reach its VM, and by
/// its incarnation, as in VmId. Used where VMs are known by their addresses.
struct PeerProcess {
  /// Written "address:port".
  std::string Address;
  uint64_t Incarnation = 0;

  auto operator<=>(const PeerProcess &) const = default;
};

/// Returns a name that no other process has, "address:port#incarnation".
inline std::string processName(const PeerProcess &Process) {
  return Process.Address + '#' + std::to_string(Process.Incarnation);
}

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_FRAMEWORK_CORE_TYPES_PEERPROCESS_H
