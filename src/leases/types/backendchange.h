#ifndef SAPPHIREMOOR_LEASES_TYPES_BACKENDCHANGE_H
#define SAPPHIREMOOR_LEASES_TYPES_BACKENDCHANGE_H

#include "leases/types/announcement.h"

#include <compare>
#include <cstdint>

namespace sapphiremoor {

/// Kind of change to a backend server.
enum class BackendChangeKind : uint8_t {
  Joined,      ///< new, or back after an absence
  Changed,     ///< address, services, slots or another property differs
  Drained,     ///< an operator stopped new tasks for it
  Undrained,   ///< an operator allowed new tasks again
  Leaving,     ///< gets no new tasks and finishes the running ones
  Left,        ///< its hold after leaving has ended
  Expired,     ///< its lease ended without an announcement
  Unreachable, ///< a connection attempt failed
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

/// A change that the dispatcher sends to the other VMs of its data centre. For
/// a drain of a server that is not in the table, Backend contains only the
/// identifier.
struct BackendChange {
  BackendChangeKind Kind = BackendChangeKind::Joined;
  Announcement Backend;

  auto operator<=>(const BackendChange &) const = default;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Kind, Backend); }
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_LEASES_TYPES_BACKENDCHANGE_H
