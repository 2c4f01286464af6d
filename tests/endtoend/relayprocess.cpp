#include "relayprocess.h"

#include "deployment.h"

#include <doctest/doctest.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <fstream>

namespace sapphiremoor::endtoend {

RelayProcess::RelayProcess(const Endpoint &Target, const std::string &LogFile)
    : Child({RELAY_PROGRAM, "--to", describe(Target)}, LogFile) {
  Deployment::waitUntil("the relay to listen", [&] {
    std::ifstream File(LogFile);
    std::string Label;
    return static_cast<bool>(File >> Label >> ListenPort >> Label >>
                             ControlPort);
  });
}

void RelayProcess::command(const std::string &Line) const {
  const int Fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(ControlPort);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  REQUIRE(connect(Fd, reinterpret_cast<sockaddr *>(&Address),
                  sizeof(Address)) == 0);
  const std::string Message = Line + "\n";
  REQUIRE(send(Fd, Message.data(), Message.size(), 0) ==
          static_cast<ssize_t>(Message.size()));
  char Answer[16] = {};
  REQUIRE(recv(Fd, Answer, sizeof(Answer) - 1, 0) > 0);
  close(Fd);
  REQUIRE(std::string(Answer).starts_with("ok"));
}

} // namespace sapphiremoor::endtoend
