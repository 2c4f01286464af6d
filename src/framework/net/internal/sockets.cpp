#include "framework/net/internal/sockets.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace sapphiremoor::detail {

namespace {
constexpr int ListenBacklog = 128;
} // namespace

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

Result<BoundListener> listenOn(event_base *Base, const Endpoint &At,
                               evconnlistener_cb OnAccept, void *Argument) {
  const Result<sockaddr_in> Address = socketAddress(At);
  if (isError(Address))
    return errorOf(Address);
  BoundListener Opened;
  Opened.Listener = evconnlistener_new_bind(
      Base, OnAccept, Argument,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
      ListenBacklog, reinterpret_cast<const sockaddr *>(&valueOf(Address)),
      sizeof(sockaddr_in));
  if (Opened.Listener == nullptr)
    return Error{ErrorKind::Unreachable, "cannot listen on " + describe(At),
                 "choose a free port on an address of this VM"};
  sockaddr_in Bound{};
  socklen_t Size = sizeof(Bound);
  getsockname(evconnlistener_get_fd(Opened.Listener),
              reinterpret_cast<sockaddr *>(&Bound), &Size);
  Opened.Port = ntohs(Bound.sin_port);
  return Opened;
}

} // namespace sapphiremoor::detail
