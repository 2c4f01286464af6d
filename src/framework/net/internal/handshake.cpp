#include "framework/net/internal/handshake.h"

#include "framework/codec/crypto.h"
#include "framework/codec/serial.h"

namespace sapphiremoor::detail {

namespace {

std::string deriveSecret(const std::string &ClusterKey,
                         const std::string &Context) {
  return std::string(digestBytes(hmacSha256(ClusterKey, Context)));
}

} // namespace

std::string helloSecret(const std::string &ClusterKey) {
  return deriveSecret(ClusterKey, "hello");
}

std::string welcomeSecret(const std::string &ClusterKey,
                          const Greeting &Hello) {
  return deriveSecret(ClusterKey, "welcome" + encode(Hello));
}

std::string diallerSecret(const std::string &ClusterKey, const Greeting &Hello,
                          const Greeting &Welcome) {
  return deriveSecret(ClusterKey, "session" + encode(Hello) + encode(Welcome));
}

std::string acceptorSecret(const std::string &ClusterKey, const Greeting &Hello,
                           const Greeting &Welcome) {
  return deriveSecret(ClusterKey, "return" + encode(Hello) + encode(Welcome));
}

} // namespace sapphiremoor::detail
