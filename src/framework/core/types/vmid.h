#ifndef SAPPHIREMOOR_FRAMEWORK_CORE_TYPES_VMID_H
#define SAPPHIREMOOR_FRAMEWORK_CORE_TYPES_VMID_H

#include <compare>
#include <cstdint>
#include <string>

namespace sapphiremoor {

/// One run of the daemon on one VM. The incarnation is drawn at random at each
/// start, so that a VM that lost its memory is told apart from its earlier run.
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
