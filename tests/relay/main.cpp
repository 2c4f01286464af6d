/// A TCP relay that disturbs connections on command, for process tests.

#include "control.h"
#include "relay.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <iostream>

using namespace sapphiremoor::relay;

namespace {

constexpr int UsageExit = 2;

/// Returns the port of "127.0.0.1:PORT", or 0: the relay stays on loopback.
uint16_t loopbackPort(const std::string &Text) {
  const std::string Prefix = "127.0.0.1:";
  uint16_t Port = 0;
  if (!Text.starts_with(Prefix) ||
      !CLI::detail::lexical_cast(Text.substr(Prefix.size()), Port))
    return 0;
  return Port;
}

int serve(uint16_t Listen, uint16_t ControlPort, uint16_t Target) {
  const BaseHandle Base(event_base_new());
  Relay Relayed(Base.get(), Listen, Target);
  Control Commands(Base.get(), ControlPort, Relayed);
  if (Relayed.port() == 0 || Commands.port() == 0) {
    std::cerr << "cannot listen\n";
    return 1;
  }
  std::cout << "listening " << Relayed.port() << " control " << Commands.port()
            << std::endl;
  event_base_dispatch(Base.get());
  return 0;
}

} // namespace

int main(int Count, char **Values) {
  std::signal(SIGPIPE, SIG_IGN);
  CLI::App App{"TCP relay on loopback that disturbs connections on command"};
  uint16_t Listen = 0;
  uint16_t ControlPort = 0;
  std::string To;
  App.add_option("--listen", Listen, "port to listen on, 0 for any");
  App.add_option("--control", ControlPort, "port for commands, 0 for any");
  App.add_option("--to", To, "127.0.0.1:PORT to relay to")->required();
  try {
    App.parse(Count, Values);
  } catch (const CLI::ParseError &Fault) {
    return App.exit(Fault) == 0 ? 0 : UsageExit;
  }
  const uint16_t Target = loopbackPort(To);
  if (Target == 0) {
    std::cerr << "--to is not 127.0.0.1:PORT\n";
    return UsageExit;
  }
  return serve(Listen, ControlPort, Target);
}
