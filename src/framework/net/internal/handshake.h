#ifndef SAPPHIREMOOR_FRAMEWORK_NET_INTERNAL_HANDSHAKE_H
#define SAPPHIREMOOR_FRAMEWORK_NET_INTERNAL_HANDSHAKE_H

#include "framework/core/types/vmid.h"

#include <cstdint>
#include <string>

namespace sapphiremoor::detail {

/// First payload that each side sends on a link: its identity and a fresh
/// nonce.
struct Greeting {
  VmId Sender;
  uint64_t Nonce = 0;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Sender, Nonce); }
};

/// Returns the secret of the Hello frame. It proves only that the sender knows
/// the cluster key.
std::string helloSecret(const std::string &ClusterKey);

/// Returns the secret of the Welcome frame. It depends on the Hello, so that an
/// old Welcome cannot be replayed.
std::string welcomeSecret(const std::string &ClusterKey, const Greeting &Hello);

/// Returns the secret of all later frames of the side that dialled. It depends
/// on both nonces, so that a replayed Hello cannot open a session.
std::string diallerSecret(const std::string &ClusterKey, const Greeting &Hello,
                          const Greeting &Welcome);

/// Returns the secret of all later frames of the side that accepted. It differs
/// from the secret of the other direction, so that a frame cannot be sent back
/// to its sender (reflection attack).
std::string acceptorSecret(const std::string &ClusterKey, const Greeting &Hello,
                           const Greeting &Welcome);

} // namespace sapphiremoor::detail

#endif // SAPPHIREMOOR_FRAMEWORK_NET_INTERNAL_HANDSHAKE_H
