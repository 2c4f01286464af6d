#ifndef SAPPHIREMOOR_PLACEMENT_TYPES_SERVICESPEC_H
#define SAPPHIREMOOR_PLACEMENT_TYPES_SERVICESPEC_H

#include "framework/core/time.h"

#include <compare>
#include <cstdint>
#include <string>

namespace sapphiremoor {

/// What to optimise for a service: short response times or few messages. Tasks
/// are hedged only with ResponseTime.
enum class ServiceWeight : uint8_t { ResponseTime, Messages };

/// Configured properties of a service. The declared run time is the initial
/// value of the learned one.
struct ServiceSpec {
  std::string Name;
  bool Idempotent = false;
  ServiceWeight Weight = ServiceWeight::ResponseTime;
  Duration DeclaredRunTime{300'000};

  auto operator<=>(const ServiceSpec &) const = default;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_PLACEMENT_TYPES_SERVICESPEC_H
