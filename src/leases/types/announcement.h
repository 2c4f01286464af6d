#ifndef SAPPHIREMOOR_LEASES_TYPES_ANNOUNCEMENT_H
#define SAPPHIREMOOR_LEASES_TYPES_ANNOUNCEMENT_H

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace sapphiremoor {

/// Properties that a backend server announces.
struct Announcement {
  std::string Id;
  std::string Address; ///< an IPv4 or IPv6 address, never a host name
  uint16_t Port = 0;
  std::string Worker;
  std::string Rack;
  std::vector<std::string> Services;
  uint32_t Slots = 0;
  uint32_t Running = 0; ///< running tasks when it was sent

  auto operator<=>(const Announcement &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Id, Address, Port, Worker, Rack, Services, Slots, Running);
  }
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_LEASES_TYPES_ANNOUNCEMENT_H
