#ifndef SAPPHIREMOOR_FRAMEWORK_CORE_TYPES_ENDPOINT_H
#define SAPPHIREMOOR_FRAMEWORK_CORE_TYPES_ENDPOINT_H

#include <compare>
#include <cstdint>
#include <string>

namespace sapphiremoor {

/// A numeric IP address and a TCP port.
struct Endpoint {
  std::string Address;
  uint16_t Port = 0;

  auto operator<=>(const Endpoint &) const = default;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Address, Port); }
};

/// Returns "address:port".
inline std::string describe(const Endpoint &Ep) {
  return Ep.Address + ":" + std::to_string(Ep.Port);
}

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_FRAMEWORK_CORE_TYPES_ENDPOINT_H
