/// A stand-in for a backend server, used in tests and benchmarks.

#include "announcer.h"
#include "options.h"
#include "startcounter.h"
#include "taskserver.h"

#include <csignal>
#include <iostream>

using namespace sapphiremoor::standin;

namespace {

// Time to write the last answers to their sockets after the last task.
constexpr std::chrono::milliseconds FlushDelay(100);

/// Ends the event loop on shutdown, once the stand-in has left and its tasks
/// are finished.
class Shutdown {
public:
  Shutdown(event_base *Base, TaskServer &Server, Announcer &Sender)
      : Base(Base), Server(Server), Sender(Sender) {
    Server.OnTaskFinished = [this] { exitIfDone(); };
  }

  void begin() {
    IsStopping = true;
    Server.refuseNewTasks();
    Sender.leave([this] {
      HasLeft = true;
      exitIfDone();
    });
  }

private:
  void exitIfDone() {
    if (!IsStopping || !HasLeft || !Server.isIdle())
      return;
    const timeval Delay = toTimeval(FlushDelay);
    event_base_loopexit(Base, &Delay);
  }

  event_base *Base;
  TaskServer &Server;
  Announcer &Sender;
  bool IsStopping = false;
  bool HasLeft = false;
};

void onTerminate(evutil_socket_t, short, void *Context) {
  static_cast<Shutdown *>(Context)->begin();
}

int serve(const Options &Settings) {
  const EventBaseHandle Base(event_base_new());
  StartCounter Starts(Settings.CountsFile);
  if (!Starts.ok()) {
    std::cerr << "cannot open " << Settings.CountsFile
              << " for writing; check its folder and permissions\n";
    return 1;
  }
  TaskServer Server(Base.get(), Settings, Starts);
  const uint16_t Port = Server.listen();
  if (Port == 0) {
    std::cerr << "cannot listen on " << Settings.Address << ":" << Settings.Port
              << "; the address must be local and the port free\n";
    return 1;
  }
  Announcer Sender(Base.get(), Settings, [&] { return Server.runningCount(); });
  Server.OnLeave = [&] { Sender.leave([] {}); };
  Shutdown ShutdownHandler(Base.get(), Server, Sender);
  const EventHandle TerminateSignal(
      evsignal_new(Base.get(), SIGTERM, onTerminate, &ShutdownHandler));
  event_add(TerminateSignal.get(), nullptr);
  std::cout << "listening " << Port << std::endl;
  Sender.start(Port);
  event_base_dispatch(Base.get());
  return Starts.ok() ? 0 : 1;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  const auto ParseResult = parseOptions(ArgumentCount, Arguments);
  if (const int *ExitCode = std::get_if<int>(&ParseResult))
    return *ExitCode;
  return serve(std::get<Options>(ParseResult));
}
