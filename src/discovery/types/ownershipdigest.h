#ifndef SAPPHIREMOOR_DISCOVERY_TYPES_OWNERSHIPDIGEST_H
#define SAPPHIREMOOR_DISCOVERY_TYPES_OWNERSHIPDIGEST_H

#include <compare>
#include <cstdint>

namespace sapphiremoor {

/// Identifies a set of owned backend servers, whatever the order of its
/// members. Two VMs with the same digest for an owner agree on what it owns.
struct OwnershipDigest {
  uint64_t Count = 0;
  /// Sum of the hashes of the ids.
  uint64_t HashSum = 0;

  auto operator<=>(const OwnershipDigest &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Count, HashSum);
  }
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_DISCOVERY_TYPES_OWNERSHIPDIGEST_H
