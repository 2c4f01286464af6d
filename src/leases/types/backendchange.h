#ifndef SAPPHIREMOOR_LEASES_TYPES_BACKENDCHANGE_H
#define SAPPHIREMOOR_LEASES_TYPES_BACKENDCHANGE_H

#include "leases/types/announcement.h"

#include <compare>
#include <cstdint>

namespace sapphiremoor {

/// What happened to a backend server.
enum class BackendChangeKind : uint8_t {
  Joined,      ///< it is new, or back
  Changed,     ///< address, services or slots differ
  Drained,     ///< an operator stopped new work for it
  Undrained,   ///< an operator allowed new work again
  Leaving,     ///< it gets no new work and finishes its tasks
  Left,        ///< its time to finish is over
  Expired,     ///< it stopped announcing itself
  Unreachable, ///< a connect to it failed
};

/// Returns the name of \p Kind for logs, for example "joined".
constexpr const char *backendChangeName(BackendChangeKind Kind) {
  switch (Kind) {
  case BackendChangeKind::Joined:
    return "joined";
  case BackendChangeKind::Changed:
    return "changed";
  case BackendChangeKind::Drained:
    return "drained";
  case BackendChangeKind::Undrained:
    return "undrained";
  case BackendChangeKind::Leaving:
    return "leaving";
  case BackendChangeKind::Left:
    return "left";
  case BackendChangeKind::Expired:
    return "expired";
  case BackendChangeKind::Unreachable:
    return "unreachable";
  }
  return "unknown";
}

/// A change that the dispatcher tells the other VMs of its data centre. A
/// drain of a server that is not in the table carries only its identifier.
struct BackendChange {
  BackendChangeKind Kind = BackendChangeKind::Joined;
  Announcement Backend;

  auto operator<=>(const BackendChange &) const = default;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Kind, Backend); }
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_LEASES_TYPES_BACKENDCHANGE_H
