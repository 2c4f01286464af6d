#ifndef SAPPHIREMOOR_PLACEMENT_TYPES_BACKENDSPEC_H
#define SAPPHIREMOOR_PLACEMENT_TYPES_BACKENDSPEC_H

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace sapphiremoor {

/// Announced properties of a backend server. All its services share its slots.
struct BackendSpec {
  std::string Id;
  std::string Worker;
  std::string Rack;
  std::vector<std::string> Services;
  uint32_t Slots = 0;

  auto operator<=>(const BackendSpec &) const = default;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_PLACEMENT_TYPES_BACKENDSPEC_H
