#include "framework/net/internal/sockets.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace sapphiremoor::detail {

Result<sockaddr_in> socketAddress(const Endpoint &At) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(At.Port);
  if (inet_pton(AF_INET, At.Address.c_str(), &Address.sin_addr) != 1)
    return Error{ErrorKind::BadRequest,
                 "'" + At.Address + "' is not a numeric IPv4 address",
                 "write the address as four numbers, such as 127.0.0.1"};
  return Address;
}

void configureLinkSocket(int Fd, Duration SilentLimit) {
  const int One = 1;
  setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
  const auto Limit = static_cast<unsigned>(
      std::chrono::duration_cast<std::chrono::milliseconds>(SilentLimit)
          .count());
  setsockopt(Fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &Limit, sizeof(Limit));
}

} // namespace sapphiremoor::detail
