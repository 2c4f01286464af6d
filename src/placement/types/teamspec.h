#ifndef SAPPHIREMOOR_PLACEMENT_TYPES_TEAMSPEC_H
#define SAPPHIREMOOR_PLACEMENT_TYPES_TEAMSPEC_H

#include <compare>
#include <string>

namespace sapphiremoor {

/// A team and its quota: a weight relative to the shares of the other teams.
struct TeamSpec {
  std::string Name;
  double Share = 1.0;

  auto operator<=>(const TeamSpec &) const = default;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_PLACEMENT_TYPES_TEAMSPEC_H
