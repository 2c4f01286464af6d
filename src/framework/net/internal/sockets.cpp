#include "framework/net/internal/sockets.h"

#include "framework/eventlog/eventlog.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <system_error>

namespace sapphiremoor::detail {

namespace {
constexpr int ListenBacklog = 128;

void onAcceptError(evconnlistener *Listener, void *) {
  const std::error_code Cause(errno, std::system_category());
  evconnlistener_disable(Listener);
  logEvent(events::AcceptFailed, {{"error", Cause.message()}});
}
} // namespace

Result<sockaddr_in> socketAddress(const Endpoint &Ep) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Ep.Port);
  if (inet_pton(AF_INET, Ep.Address.c_str(), &Address.sin_addr) != 1)
    return Error{ErrorKind::BadRequest,
                 "'" + Ep.Address + "' is not a numeric IPv4 address",
                 "write the address as four numbers, such as 127.0.0.1"};
  return Address;
}

void configureLinkSocket(int Fd, Duration SilenceTimeout) {
  const int Enable = 1;
  setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &Enable, sizeof(Enable));
  const auto TimeoutMs = static_cast<unsigned>(
      std::chrono::duration_cast<std::chrono::milliseconds>(SilenceTimeout)
          .count());
  setsockopt(Fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &TimeoutMs, sizeof(TimeoutMs));
}

Result<BoundListener> createListener(event_base *Base,
                                     const Endpoint &LocalEndpoint,
                                     evconnlistener_cb OnAccept,
                                     void *Argument) {
  const Result<sockaddr_in> Address = socketAddress(LocalEndpoint);
  if (isError(Address))
    return errorOf(Address);
  BoundListener NewListener;
  NewListener.Listener = evconnlistener_new_bind(
      Base, OnAccept, Argument,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
      ListenBacklog, reinterpret_cast<const sockaddr *>(&valueOf(Address)),
      sizeof(sockaddr_in));
  if (NewListener.Listener == nullptr)
    return Error{ErrorKind::Unreachable,
                 "cannot listen on " + describe(LocalEndpoint),
                 "choose a free port on an address of this VM"};
  stopAcceptingOnError(NewListener.Listener);
  sockaddr_in BoundAddress{};
  socklen_t Size = sizeof(BoundAddress);
  getsockname(evconnlistener_get_fd(NewListener.Listener),
              reinterpret_cast<sockaddr *>(&BoundAddress), &Size);
  NewListener.Port = ntohs(BoundAddress.sin_port);
  return NewListener;
}

void stopAcceptingOnError(evconnlistener *Listener) {
  evconnlistener_set_error_cb(Listener, onAcceptError);
}

void resumeAccepting(evconnlistener *Listener) {
  if (Listener != nullptr)
    evconnlistener_enable(Listener);
}

} // namespace sapphiremoor::detail
