#include "load.h"
#include "scene.h"
#include "sections.h"

#include <cstdio>
#include <fstream>
#include <stdexcept>

namespace sapphiremoor::bench {

namespace {

using namespace sapphiremoor::endtoend;

constexpr int WarmupCount = 200;
constexpr int RequestCount = 2000;

/// One path to the stand-in backend server and its response times.
struct Path {
  const char *Name;
  Endpoint Target;
  RequestMaker MakeRequest;
  /// Targets as multiples of the direct call; 0 if there is no target.
  double TargetP50 = 0;
  double TargetP99 = 0;
  std::unique_ptr<HttpConnection> Connection = nullptr;
  std::vector<double> TimesUs = {};
};

Endpoint readListenEndpoint(const std::string &LogPath) {
  std::ifstream File(LogPath);
  std::string Word;
  uint16_t Port = 0;
  File >> Word >> Port;
  if (Word != "listening" || Port == 0)
    throw std::runtime_error(
        "the log of the stand-in backend server does not begin with "
        "'listening PORT'; check that standin_backend starts");
  return {"127.0.0.1", Port};
}

std::string verdict(double Ratio, double Target) {
  if (Target == 0)
    return "";
  return Ratio <= Target ? ", met" : ", missed";
}

void printPath(const Path &Row, double DirectP50, double DirectP99) {
  const double P50 = quantile(Row.TimesUs, 0.5);
  const double P99 = quantile(Row.TimesUs, 0.99);
  std::printf("| %s | %.0f | %.0f | %.2f | %.2f | ", Row.Name, P50, P99,
              P50 / DirectP50, P99 / DirectP99);
  if (Row.TargetP50 == 0)
    std::puts("| |");
  else
    std::printf("%.1f%s | %.1f%s |\n", Row.TargetP50,
                verdict(P50 / DirectP50, Row.TargetP50).c_str(), Row.TargetP99,
                verdict(P99 / DirectP99, Row.TargetP99).c_str());
}

void printTable(const std::vector<Path> &Rows) {
  std::puts("| path | p50 us | p99 us | p50 / direct | p99 / direct | target "
            "p50 | target p99 |");
  std::puts("|---|---|---|---|---|---|---|");
  const double P50 = quantile(Rows.front().TimesUs, 0.5);
  const double P99 = quantile(Rows.front().TimesUs, 0.99);
  for (const Path &Row : Rows)
    printPath(Row, P50, P99);
}

/// Sends one request on each path in turn, so that other load on the machine
/// affects all paths alike.
void measure(EventLoop &Loop, std::vector<Path> &Rows) {
  for (Path &Row : Rows)
    Row.Connection = std::make_unique<HttpConnection>(Loop, Row.Target,
                                                      std::chrono::seconds(2));
  for (int I = 0; I < WarmupCount + RequestCount; ++I)
    for (Path &Row : Rows) {
      const double TimeUs = timeCall(Loop, *Row.Connection, Row.MakeRequest());
      if (I >= WarmupCount)
        Row.TimesUs.push_back(TimeUs);
    }
}

/// Measures the paths through \p VmList, which are all in one data centre.
void measureDeployment(const std::vector<Vm> &VmList) {
  Deployment Cluster(VmList);
  Cluster.configure();
  Cluster.addBackend("b1", "a1", {"--run-ms", "0"});
  const Endpoint Backend = readListenEndpoint(Cluster.folder() + "/b1.log");
  const Endpoint RelayEndpoint = findFreeEndpoint();
  const auto RelayServer =
      startRelay(RelayEndpoint, Backend, Cluster.folder() + "/relay.log");
  const std::string Dispatcher = Cluster.dispatcher("a1");
  const std::string OtherVm = Dispatcher == "a1" ? "a2" : "a1";
  const bool SingleVm = VmList.size() == 1;
  RequestBuilder DispatcherCaller(Cluster, Dispatcher);
  RequestBuilder OtherCaller(Cluster, SingleVm ? Dispatcher : OtherVm);
  uint64_t TaskNumber = 0;
  const RequestMaker MakeDirect = [&] { return makeBackendTask(++TaskNumber); };
  const auto MakeIdempotent = [&] {
    return DispatcherCaller.makeIdempotentRequest();
  };
  EventLoop Loop;
  std::vector<Path> Rows;
  Rows.push_back({"direct call of the stand-in", Backend, MakeDirect});
  Rows.push_back({"bare forwarder", RelayEndpoint, MakeDirect});
  Rows.push_back({"idempotent, entry = dispatcher", Cluster.http(Dispatcher),
                  MakeIdempotent, 2.5, 3});
  Rows.push_back({"keyed, entry = dispatcher", Cluster.http(Dispatcher),
                  [&] { return DispatcherCaller.makeKeyedRequest(); }, 4, 4});
  if (!SingleVm) {
    Rows.push_back({"idempotent, entry != dispatcher", Cluster.http(OtherVm),
                    MakeIdempotent, 2.5, 3});
    Rows.push_back({"keyed, entry != dispatcher", Cluster.http(OtherVm),
                    [&] { return OtherCaller.makeKeyedRequest(); }, 4, 4});
  }
  measure(Loop, Rows);
  printTable(Rows);
}

} // namespace

void printResponse() {
  std::printf("\n## Response on an idle system\n\nOne stand-in with run time "
              "0; %d sequential requests on each path in turn, after %d "
              "more.\n\nOne VM:\n\n",
              RequestCount, WarmupCount);
  measureDeployment({{"a1", "nitra", true}});
  std::puts("\nThree VMs in one data centre:\n");
  measureDeployment(
      {{"a1", "nitra", true}, {"a2", "nitra", true}, {"a3", "nitra", true}});
}

} // namespace sapphiremoor::bench
