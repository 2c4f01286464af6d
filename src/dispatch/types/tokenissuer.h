#ifndef SAPPHIREMOOR_DISPATCH_TYPES_TOKENISSUER_H
#define SAPPHIREMOOR_DISPATCH_TYPES_TOKENISSUER_H

#include <compare>
#include <cstdint>

namespace sapphiremoor {

/// Identifies a process that issues fencing tokens.
struct TokenIssuer {
  /// Unique among the control VMs of a deployment; 20 bits.
  uint32_t OwnerTag = 0;
  /// Number of the process among those of its VM. Only the lowest four bits
  /// enter a token, because orders of a former process are carried out within
  /// seconds or not at all.
  uint32_t Life = 0;

  auto operator<=>(const TokenIssuer &) const = default;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_DISPATCH_TYPES_TOKENISSUER_H
