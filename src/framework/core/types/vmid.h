#ifndef SAPPHIREMOOR_FRAMEWORK_CORE_TYPES_VMID_H
#define SAPPHIREMOOR_FRAMEWORK_CORE_TYPES_VMID_H

#include <compare>
#include <cstdint>
#include <string>

namespace sapphiremoor {

/// Identifies one start of the daemon on one VM. The incarnation is a random
/// number generated at each start, so that a restarted daemon, which has lost
/// its memory, is distinguished from its predecessor.
struct VmId {
  std::string Name;
  uint64_t Incarnation = 0;

  auto operator<=>(const VmId &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Name, Incarnation);
  }
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_FRAMEWORK_CORE_TYPES_VMID_H
