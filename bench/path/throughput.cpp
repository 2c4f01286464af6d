#include "load.h"
#include "procstat.h"
#include "scene.h"
#include "sections.h"

#include <cstdio>
#include <optional>
#include <utility>

namespace sapphiremoor::bench {

namespace {

using namespace sapphiremoor::endtoend;

constexpr int Rounds = 3;
constexpr int SecondsEach = 3;
constexpr int Connections = 64;
constexpr int JobConnections = 16;
constexpr int TasksPerJob = 100;
constexpr double Target = 0.60;

/// The figures of one kind of request over all rounds.
struct Series {
  const char *Name;
  std::vector<double> PerSecond = {};
  std::vector<double> PerProcessorSecond = {};
  /// Processor time of the process under test and of the backend server for
  /// each second of the run.
  std::vector<double> Busy = {};
  std::vector<double> BackendBusy = {};
  /// Tasks started at the backend server for each answered task.
  std::vector<double> StartsPerTask = {};
  uint64_t Failed = 0;
  std::string LastFailure = {};
};

/// The processes of one run.
struct Setup {
  Deployment Vms{{{"a1", "nitra", true}}};
  EventLoop Loop;
  Endpoint Backend = freeEndpoint();
  std::unique_ptr<Process> Server =
      startNullBackend(Backend, Vms.folder() + "/null.log");
  Endpoint RelayAt = freeEndpoint();
  std::unique_ptr<Process> Relay =
      startRelay(RelayAt, Backend, Vms.folder() + "/relay.log");
  NullAnnouncer Announcer{Loop, Vms, "a1", Backend};
  pid_t DaemonId = childWith(Vms.folder() + "/a1.json");
  pid_t ServerId = childWith("null-backend");
  pid_t RelayId = childWith("relay");
};

uint64_t backendStarts(Setup &Run) {
  HttpConnection Link(Run.Loop, Run.Backend, std::chrono::seconds(2));
  HttpCallRequest Request;
  Request.Method = HttpMethod::Get;
  Request.Path = "/starts";
  std::optional<HttpCallResult> Answer;
  Link.send(Request,
            [&](HttpCallResult Result) { Answer = std::move(Result); });
  while (!Answer)
    Run.Loop.runOnce(true);
  return std::stoull(Answer->Body);
}

void measure(Setup &Run, Series &Into, pid_t Tested, const Endpoint &To,
             int Links, int TasksEach, const RequestMaker &Make) {
  const uint64_t StartsBefore = backendStarts(Run);
  const double Before = processorSeconds(Tested);
  const double ServerBefore = processorSeconds(Run.ServerId);
  const LoadResult Result =
      runLoad(Run.Loop, To, Links, std::chrono::seconds(SecondsEach), Make);
  const double Used = processorSeconds(Tested) - Before;
  const double ServerUsed = processorSeconds(Run.ServerId) - ServerBefore;
  const double Tasks = static_cast<double>(Result.Answered) * TasksEach;
  const double TasksInAll =
      static_cast<double>(Result.AnsweredInAll) * TasksEach;
  const auto Started = static_cast<double>(backendStarts(Run) - StartsBefore);
  Into.PerSecond.push_back(Tasks / Result.Seconds);
  Into.PerProcessorSecond.push_back(TasksInAll / Used);
  Into.StartsPerTask.push_back(Started / TasksInAll);
  Into.Busy.push_back(Used / Result.Seconds);
  Into.BackendBusy.push_back(ServerUsed / Result.Seconds);
  Into.Failed += Result.Failed;
  if (Result.Failed > 0)
    Into.LastFailure = Result.LastFailure;
}

std::vector<double> ratios(const std::vector<double> &Values,
                           const std::vector<double> &Base) {
  std::vector<double> Quotients;
  for (std::size_t I = 0; I < Values.size(); ++I)
    Quotients.push_back(Values[I] / Base[I]);
  return Quotients;
}

const char *verdict(double Ratio) { return Ratio >= Target ? "met" : "missed"; }

void printSeries(const Series &Row, const Series &Base) {
  const double ByTime = quantile(ratios(Row.PerSecond, Base.PerSecond), 0.5);
  const double ByProcessor =
      quantile(ratios(Row.PerProcessorSecond, Base.PerProcessorSecond), 0.5);
  std::printf("| %s | %.0f | %.0f | %.2f | %.2f | %.3f | %.2f, %s | %.2f, %s | "
              "%llu |\n",
              Row.Name, quantile(Row.PerSecond, 0.5),
              quantile(Row.PerProcessorSecond, 0.5), quantile(Row.Busy, 0.5),
              quantile(Row.BackendBusy, 0.5), quantile(Row.StartsPerTask, 0.5),
              ByTime, verdict(ByTime), ByProcessor, verdict(ByProcessor),
              static_cast<unsigned long long>(Row.Failed));
}

void printTable(const std::vector<Series> &Rows) {
  std::printf("| path | starts/s | starts per processor second | cores used | "
              "cores used by the backend server | starts per task | ratio by "
              "time, target %.2f | ratio by processor time, target %.2f | "
              "failed requests |\n",
              Target, Target);
  std::puts("|---|---|---|---|---|---|---|---|---|");
  for (const Series &Row : Rows)
    printSeries(Row, Rows.front());
  for (const Series &Row : Rows)
    if (!Row.LastFailure.empty())
      std::printf("\nLast failure of %s: %s\n", Row.Name,
                  Row.LastFailure.c_str());
}

std::vector<Series> runRounds(Setup &Run) {
  std::vector<Series> Rows{{.Name = "bare forwarder"},
                           {.Name = "jobs of 100 tasks"},
                           {.Name = "single keyed requests"},
                           {.Name = "idempotent requests without key"}};
  const Endpoint Daemon = Run.Vms.http("a1");
  uint64_t Number = 0;
  for (int Round = 0; Round < Rounds; ++Round) {
    CallerRequests Caller(Run.Vms, "a1");
    measure(Run, Rows[0], Run.RelayId, Run.RelayAt, Connections, 1,
            [&] { return backendTask(++Number); });
    measure(Run, Rows[1], Run.DaemonId, Daemon, JobConnections, TasksPerJob,
            [&] { return Caller.job(TasksPerJob); });
    measure(Run, Rows[2], Run.DaemonId, Daemon, Connections, 1,
            [&] { return Caller.keyedRequest(); });
    measure(Run, Rows[3], Run.DaemonId, Daemon, Connections, 1,
            [&] { return Caller.idempotentRequest(); });
  }
  return Rows;
}

} // namespace

void printThroughput() {
  std::printf("\n## Task starts a second\n\nOne VM, one backend server that "
              "answers at once, %d identifiers with %d slots; %d connections, "
              "%d for jobs; %d rounds of %d s each; medians.\n\n",
              NullAnnouncer::Count, NullAnnouncer::SlotsEach, Connections,
              JobConnections, Rounds, SecondsEach);
  Setup Run;
  Run.Vms.configure();
  Run.Announcer.announceAndWait();
  printTable(runRounds(Run));
}

} // namespace sapphiremoor::bench
