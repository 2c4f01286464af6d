/// A TCP relay that injects connection faults on command, for process tests.

#include "control.h"
#include "relay.h"

#include <CLI/CLI.hpp>

#include <arpa/inet.h>

#include <csignal>
#include <iostream>
#include <optional>

using namespace sapphiremoor::relay;

namespace {

constexpr int UsageErrorExitCode = 2;

/// Parses "127.X.Y.Z:PORT". Returns nullopt for any other address, because the
/// relay must stay on the loopback interface.
std::optional<sockaddr_in> parseLoopbackEndpoint(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  sockaddr_in Parsed{};
  Parsed.sin_family = AF_INET;
  uint16_t Port = 0;
  if (Colon == std::string::npos || !Text.starts_with("127.") ||
      inet_pton(AF_INET, Text.substr(0, Colon).c_str(), &Parsed.sin_addr) !=
          1 ||
      !CLI::detail::lexical_cast(Text.substr(Colon + 1), Port) || Port == 0)
    return std::nullopt;
  Parsed.sin_port = htons(Port);
  return Parsed;
}

int serve(uint16_t ListenPort, uint16_t ControlPort,
          const sockaddr_in &Target) {
  const EventBaseHandle Base(event_base_new());
  Relay TcpRelay(Base.get(), ListenPort, Target);
  ControlServer RelayControl(Base.get(), ControlPort, TcpRelay);
  if (TcpRelay.port() == 0 || RelayControl.port() == 0) {
    std::cerr
        << "cannot listen on the relay or control port: choose free ports "
           "with --listen and --control\n";
    return 1;
  }
  std::cout << "listening " << TcpRelay.port() << " control "
            << RelayControl.port() << std::endl;
  event_base_dispatch(Base.get());
  return 0;
}

} // namespace

int main(int ArgCount, char **ArgValues) {
  std::signal(SIGPIPE, SIG_IGN);
  CLI::App App{
      "TCP relay on loopback that injects connection faults on command"};
  uint16_t ListenPort = 0;
  uint16_t ControlPort = 0;
  std::string TargetText;
  App.add_option("--listen", ListenPort,
                 "port to listen on, 0 for a free port");
  App.add_option("--control", ControlPort,
                 "port for commands, 0 for a free port");
  App.add_option("--to", TargetText, "target of the relay as 127.X.Y.Z:PORT")
      ->required();
  try {
    App.parse(ArgCount, ArgValues);
  } catch (const CLI::ParseError &Error) {
    return App.exit(Error) == 0 ? 0 : UsageErrorExitCode;
  }
  const std::optional<sockaddr_in> Target = parseLoopbackEndpoint(TargetText);
  if (!Target) {
    std::cerr << "--to must be 127.X.Y.Z:PORT with a port from 1 to 65535\n";
    return UsageErrorExitCode;
  }
  return serve(ListenPort, ControlPort, *Target);
}
