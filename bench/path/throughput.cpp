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
constexpr int SecondsPerMeasurement = 3;
constexpr int RequestConnections = 64;
constexpr int JobConnections = 16;
constexpr int TasksPerJob = 100;
constexpr double TargetRatio = 0.60;

/// The figures of one kind of request, one element per round.
struct Series {
  const char *Name;
  std::vector<double> StartsPerSecond = {};
  std::vector<double> StartsPerProcessorSecond = {};
  /// Processor time per second of the measurement, of the process under test
  /// and of the backend server.
  std::vector<double> CoresUsed = {};
  std::vector<double> BackendCoresUsed = {};
  /// Tasks started at the backend server per answered task.
  std::vector<double> StartsPerTask = {};
  uint64_t FailedRequests = 0;
  std::string LastFailure = {};
};

/// The deployment and the other processes of the measurement.
struct Environment {
  Deployment Cluster{{{"a1", "nitra", true}}};
  EventLoop Loop;
  Endpoint Backend = findFreeEndpoint();
  std::unique_ptr<Process> BackendProcess =
      startNullBackend(Backend, Cluster.folder() + "/null.log");
  Endpoint RelayEndpoint = findFreeEndpoint();
  std::unique_ptr<Process> RelayServer =
      startRelay(RelayEndpoint, Backend, Cluster.folder() + "/relay.log");
  NullBackendAnnouncer Announcer{Loop, Cluster, "a1", Backend};
  pid_t DaemonPid = findChild(Cluster.folder() + "/a1.json");
  pid_t BackendPid = findChild("null-backend");
  pid_t RelayPid = findChild("relay");
};

uint64_t readStartCount(Environment &Env) {
  HttpConnection Connection(Env.Loop, Env.Backend, std::chrono::seconds(2));
  HttpCallRequest Request;
  Request.Method = HttpMethod::Get;
  Request.Path = "/starts";
  std::optional<HttpCallResult> Answer;
  Connection.send(Request,
                  [&](HttpCallResult Result) { Answer = std::move(Result); });
  while (!Answer)
    Env.Loop.runOnce(true);
  return std::stoull(Answer->Body);
}

void measure(Environment &Env, Series &Row, pid_t TestedPid,
             const Endpoint &Target, int ConnectionCount, int TasksPerRequest,
             const RequestMaker &MakeRequest) {
  const uint64_t StartsBefore = readStartCount(Env);
  const double ProcessorBefore = processorSeconds(TestedPid);
  const double BackendBefore = processorSeconds(Env.BackendPid);
  const LoadResult Result =
      runLoad(Env.Loop, Target, ConnectionCount,
              std::chrono::seconds(SecondsPerMeasurement), MakeRequest);
  const double ProcessorUsed = processorSeconds(TestedPid) - ProcessorBefore;
  const double BackendUsed = processorSeconds(Env.BackendPid) - BackendBefore;
  const double TaskCount =
      static_cast<double>(Result.Succeeded) * TasksPerRequest;
  const double TotalTaskCount =
      static_cast<double>(Result.SucceededInTotal) * TasksPerRequest;
  const auto StartCount =
      static_cast<double>(readStartCount(Env) - StartsBefore);
  Row.StartsPerSecond.push_back(TaskCount / Result.Seconds);
  Row.StartsPerProcessorSecond.push_back(TotalTaskCount / ProcessorUsed);
  Row.StartsPerTask.push_back(StartCount / TotalTaskCount);
  Row.CoresUsed.push_back(ProcessorUsed / Result.Seconds);
  Row.BackendCoresUsed.push_back(BackendUsed / Result.Seconds);
  Row.FailedRequests += Result.Failed;
  if (Result.Failed > 0)
    Row.LastFailure = Result.LastFailure;
}

std::vector<double> divideElements(const std::vector<double> &Values,
                                   const std::vector<double> &Base) {
  std::vector<double> Quotients;
  for (std::size_t I = 0; I < Values.size(); ++I)
    Quotients.push_back(Values[I] / Base[I]);
  return Quotients;
}

const char *verdict(double Ratio) {
  return Ratio >= TargetRatio ? "met" : "missed";
}

void printSeries(const Series &Row, const Series &Base) {
  const double TimeRatio =
      quantile(divideElements(Row.StartsPerSecond, Base.StartsPerSecond), 0.5);
  const double ProcessorRatio =
      quantile(divideElements(Row.StartsPerProcessorSecond,
                              Base.StartsPerProcessorSecond),
               0.5);
  std::printf("| %s | %.0f | %.0f | %.2f | %.2f | %.3f | %.2f, %s | %.2f, %s | "
              "%llu |\n",
              Row.Name, quantile(Row.StartsPerSecond, 0.5),
              quantile(Row.StartsPerProcessorSecond, 0.5),
              quantile(Row.CoresUsed, 0.5), quantile(Row.BackendCoresUsed, 0.5),
              quantile(Row.StartsPerTask, 0.5), TimeRatio, verdict(TimeRatio),
              ProcessorRatio, verdict(ProcessorRatio),
              static_cast<unsigned long long>(Row.FailedRequests));
}

void printTable(const std::vector<Series> &Rows) {
  std::printf("| path | starts/s | starts per processor second | cores used | "
              "cores used by the backend server | starts per task | ratio by "
              "time, target %.2f | ratio by processor time, target %.2f | "
              "failed requests |\n",
              TargetRatio, TargetRatio);
  std::puts("|---|---|---|---|---|---|---|---|---|");
  for (const Series &Row : Rows)
    printSeries(Row, Rows.front());
  for (const Series &Row : Rows)
    if (!Row.LastFailure.empty())
      std::printf("\nLast failure of %s: %s\n", Row.Name,
                  Row.LastFailure.c_str());
}

std::vector<Series> runRounds(Environment &Env) {
  std::vector<Series> Rows{{.Name = "bare forwarder"},
                           {.Name = "jobs of 100 tasks"},
                           {.Name = "single keyed requests"},
                           {.Name = "idempotent requests without key"}};
  const Endpoint Daemon = Env.Cluster.http("a1");
  uint64_t TaskNumber = 0;
  for (int Round = 0; Round < Rounds; ++Round) {
    RequestBuilder Caller(Env.Cluster, "a1");
    measure(Env, Rows[0], Env.RelayPid, Env.RelayEndpoint, RequestConnections,
            1, [&] { return makeBackendTask(++TaskNumber); });
    measure(Env, Rows[1], Env.DaemonPid, Daemon, JobConnections, TasksPerJob,
            [&] { return Caller.makeJob(TasksPerJob); });
    measure(Env, Rows[2], Env.DaemonPid, Daemon, RequestConnections, 1,
            [&] { return Caller.makeKeyedRequest(); });
    measure(Env, Rows[3], Env.DaemonPid, Daemon, RequestConnections, 1,
            [&] { return Caller.makeIdempotentRequest(); });
  }
  return Rows;
}

} // namespace

void printThroughput() {
  std::printf("\n## Task starts a second\n\nOne VM, one backend server that "
              "answers at once, %d identifiers with %d slots; %d connections, "
              "%d for jobs; %d rounds of %d s each; medians.\n\n",
              NullBackendAnnouncer::IdentifierCount,
              NullBackendAnnouncer::SlotsPerIdentifier, RequestConnections,
              JobConnections, Rounds, SecondsPerMeasurement);
  Environment Env;
  Env.Cluster.configure();
  Env.Announcer.announceAndWait();
  printTable(runRounds(Env));
}

} // namespace sapphiremoor::bench
