#include "framework/net/internal/handshake.h"

#include "framework/codec/crypto.h"
#include "framework/codec/serial.h"

namespace sapphiremoor::detail {

namespace {

std::string derive(const std::string &ClusterKey, const std::string &Context) {
  return std::string(bytesOf(hmacSha256(ClusterKey, Context)));
}

} // namespace

std::string helloSecret(const std::string &ClusterKey) {
  return derive(ClusterKey, "hello");
}

std::string welcomeSecret(const std::string &ClusterKey,
                          const Greeting &Hello) {
  return derive(ClusterKey, "welcome" + encode(Hello));
}

std::string sessionSecret(const std::string &ClusterKey, const Greeting &Hello,
                          const Greeting &Welcome) {
  return derive(ClusterKey, "session" + encode(Hello) + encode(Welcome));
}

std::string returnSecret(const std::string &ClusterKey, const Greeting &Hello,
                         const Greeting &Welcome) {
  return derive(ClusterKey, "return" + encode(Hello) + encode(Welcome));
}

} // namespace sapphiremoor::detail
