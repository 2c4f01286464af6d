#ifndef SAPPHIREMOOR_FRAMEWORK_NET_INTERNAL_HANDSHAKE_H
#define SAPPHIREMOOR_FRAMEWORK_NET_INTERNAL_HANDSHAKE_H

#include "framework/core/types/vmid.h"

#include <cstdint>
#include <string>

namespace sapphiremoor::detail {

/// First payload of each side of a link: who it is and a fresh nonce.
struct Greeting {
  VmId Sender;
  uint64_t Nonce = 0;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Sender, Nonce); }
};

/// Secret of the Hello frame. It proves knowledge of the cluster key only.
std::string helloSecret(const std::string &ClusterKey);

/// Secret of the Welcome frame. It covers the Hello, so that an old Welcome
/// cannot be replayed.
std::string welcomeSecret(const std::string &ClusterKey, const Greeting &Hello);

/// Secret of all later frames of the side that dialled. It covers both nonces,
/// so that a replayed Hello cannot open a session.
std::string diallerSecret(const std::string &ClusterKey, const Greeting &Hello,
                          const Greeting &Welcome);

/// Secret of all later frames of the side that accepted. It differs from the
/// secret of the other direction, so that a frame cannot be reflected.
std::string acceptorSecret(const std::string &ClusterKey, const Greeting &Hello,
                           const Greeting &Welcome);

} // namespace sapphiremoor::detail

#endif // SAPPHIREMOOR_FRAMEWORK_NET_INTERNAL_HANDSHAKE_H
