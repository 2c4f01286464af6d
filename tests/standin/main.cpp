/// A stand-in for a backend server, for tests and benchmarks.

#include "announcer.h"
#include "options.h"
#include "startcounter.h"
#include "taskserver.h"

#include <csignal>
#include <iostream>

using namespace sapphiremoor::standin;

namespace {

// Time for the last answers to reach the socket after the last task.
constexpr std::chrono::milliseconds FlushTime(100);

/// Ends the process once it has left and its tasks are finished.
class Shutdown {
public:
  Shutdown(event_base *Base, TaskServer &Server, Announcer &Sender)
      : Base(Base), Server(Server), Sender(Sender) {
    Server.OnFinished = [this] { endIfDone(); };
  }

  void begin() {
    Stopping = true;
    Server.refuseNew();
    Sender.leave([this] {
      Left = true;
      endIfDone();
    });
  }

private:
  void endIfDone() {
    if (!Stopping || !Left || !Server.idle())
      return;
    const timeval Time = timevalOf(FlushTime);
    event_base_loopexit(Base, &Time);
  }

  event_base *Base;
  TaskServer &Server;
  Announcer &Sender;
  bool Stopping = false;
  bool Left = false;
};

void onTerminate(evutil_socket_t, short, void *Stop) {
  static_cast<Shutdown *>(Stop)->begin();
}

int serve(const Options &Settings) {
  const BaseHandle Base(event_base_new());
  StartCounter Starts(Settings.CountsFile);
  if (!Starts.ok()) {
    std::cerr << "cannot open " << Settings.CountsFile << "\n";
    return 1;
  }
  TaskServer Server(Base.get(), Settings, Starts);
  const uint16_t Port = Server.listen();
  if (Port == 0) {
    std::cerr << "cannot listen on " << Settings.Address << ":" << Settings.Port
              << "\n";
    return 1;
  }
  Announcer Sender(Base.get(), Settings, [&] { return Server.running(); });
  Server.OnLeave = [&] { Sender.leave([] {}); };
  Shutdown Stop(Base.get(), Server, Sender);
  const EventHandle Signal(
      evsignal_new(Base.get(), SIGTERM, onTerminate, &Stop));
  event_add(Signal.get(), nullptr);
  std::cout << "listening " << Port << std::endl;
  Sender.start(Port);
  event_base_dispatch(Base.get());
  return Starts.ok() ? 0 : 1;
}

} // namespace

int main(int Count, char **Values) {
  std::signal(SIGPIPE, SIG_IGN);
  const auto Parsed = parseOptions(Count, Values);
  if (const int *Exit = std::get_if<int>(&Parsed))
    return *Exit;
  return serve(std::get<Options>(Parsed));
}
