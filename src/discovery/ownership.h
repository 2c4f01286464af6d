#ifndef SAPPHIREMOOR_DISCOVERY_OWNERSHIP_H
#define SAPPHIREMOOR_DISCOVERY_OWNERSHIP_H

#include "discovery/types/memberinfo.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sapphiremoor {

/// Returns the control VM that should dispatch to the backend server \p Backend
/// in \p DataCentre, chosen by rendezvous hashing, so that a change of one VM
/// moves only its own backend servers. A VM of the same data centre is
/// preferred.
std::optional<std::string>
preferredOwner(const std::string &Backend, const std::string &DataCentre,
               const std::vector<MemberInfo> &LiveControls);

/// Returns how many of \p Vms precede the VM \p Name for \p Key by rendezvous
/// weight, or nothing if it is none of them. 0 is the preferred VM.
std::optional<std::size_t> rendezvousRank(const std::string &Key,
                                          const std::vector<MemberInfo> &Vms,
                                          const std::string &Name);

/// Returns the rendezvous weight of the VM \p Name for \p Key.
uint64_t rendezvousWeight(const std::string &Key, const std::string &Name);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_DISCOVERY_OWNERSHIP_H
