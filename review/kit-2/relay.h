#ifndef REVIEW_KIT2_RELAY_H
#define REVIEW_KIT2_RELAY_H

#include "net.h"

namespace kit {

/// Forwards connections to one address. The first bytes of a connection tell
/// who has opened it. While a connection is cut, its bytes are dropped and both
/// ends stay silent; it is closed once the cut is over.
class Relay {
public:
  /// Returns true if the connection that began with these bytes is cut.
  using Filter = std::function<bool(const std::string &FirstBytes)>;

  Relay(const Address &Local, Address Target, Filter IsCut)
      : Target(std::move(Target)), IsCut(std::move(IsCut)) {
    Listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int Enable = 1;
    setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &Enable, sizeof(Enable));
    const sockaddr_in To = socketAddress(Local);
    Bound = bind(Listener, reinterpret_cast<const sockaddr *>(&To),
                 sizeof(To)) == 0 &&
            listen(Listener, 128) == 0;
    if (Bound)
      std::thread([this] { accept(); }).detach();
  }

  bool bound() const { return Bound; }

private:
  void accept() {
    for (;;) {
      const int Fd = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Fd < 0)
        return;
      std::thread([this, Fd] { forward(Fd); }).detach();
    }
  }

  void forward(int Caller) {
    const int Callee = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in To = socketAddress(Target);
    bool Open = connect(Callee, reinterpret_cast<const sockaddr *>(&To),
                        sizeof(To)) == 0;
    for (const int Fd : {Caller, Callee}) {
      const int Enable = 1;
      setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &Enable, sizeof(Enable));
    }
    std::string FirstBytes;
    bool WasCut = false;
    while (Open) {
      const bool Cut = !FirstBytes.empty() && IsCut(FirstBytes);
      if (WasCut && !Cut)
        break;
      WasCut = Cut;
      pollfd Poll[2] = {{Caller, POLLIN, 0}, {Callee, POLLIN, 0}};
      if (Cut) {
        sleepMs(5);
        continue;
      }
      if (poll(Poll, 2, 5) <= 0)
        continue;
      for (int Side = 0; Side < 2 && Open; ++Side) {
        if (Poll[Side].revents == 0)
          continue;
        char Bytes[65536];
        const ssize_t Size = recv(Poll[Side].fd, Bytes, sizeof(Bytes), 0);
        Open = Size > 0;
        if (!Open)
          break;
        const std::string Text(Bytes, static_cast<std::size_t>(Size));
        if (Side == 0 && FirstBytes.empty())
          FirstBytes = Text;
        if (FirstBytes.empty() || !IsCut(FirstBytes))
          Open = sendAll(Poll[1 - Side].fd, Text);
      }
    }
    close(Caller);
    close(Callee);
  }

  Address Target;
  Filter IsCut;
  int Listener = -1;
  bool Bound = false;
};

} // namespace kit

#endif
