#include "load.h"
#include "scene.h"
#include "sections.h"

#include <cstdio>
#include <fstream>
#include <stdexcept>

namespace sapphiremoor::bench {

namespace {

using namespace sapphiremoor::endtoend;

constexpr int Warmup = 200;
constexpr int Requests = 2000;

/// One way to reach the stand-in, with the response times in microseconds.
struct Path {
  const char *Name;
  Endpoint To;
  RequestMaker Make;
  /// Targets as multiples of the direct call; 0 if there is none.
  double TargetP50 = 0;
  double TargetP99 = 0;
  std::unique_ptr<HttpConnection> Link = nullptr;
  std::vector<double> Times = {};
};

Endpoint listeningAt(const std::string &Log) {
  std::ifstream File(Log);
  std::string Word;
  uint16_t Port = 0;
  File >> Word >> Port;
  if (Word != "listening" || Port == 0)
    throw std::runtime_error("the stand-in does not listen");
  return {"127.0.0.1", Port};
}

std::string verdict(double Ratio, double Target) {
  if (Target == 0)
    return "";
  return Ratio <= Target ? ", met" : ", missed";
}

void printPath(const Path &Row, double DirectP50, double DirectP99) {
  const double P50 = quantile(Row.Times, 0.5);
  const double P99 = quantile(Row.Times, 0.99);
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
  const double P50 = quantile(Rows.front().Times, 0.5);
  const double P99 = quantile(Rows.front().Times, 0.99);
  for (const Path &Row : Rows)
    printPath(Row, P50, P99);
}

/// Sends one request on each path in turn, so that a disturbance of the
/// machine meets all paths alike.
void measure(EventLoop &Loop, std::vector<Path> &Rows) {
  for (Path &Row : Rows)
    Row.Link =
        std::make_unique<HttpConnection>(Loop, Row.To, std::chrono::seconds(2));
  for (int I = 0; I < Warmup + Requests; ++I)
    for (Path &Row : Rows) {
      const double Time = timedCall(Loop, *Row.Link, Row.Make());
      if (I >= Warmup)
        Row.Times.push_back(Time);
    }
}

/// Measures the paths through \p Vms, all in one data centre.
void measureAt(const std::vector<Vm> &VmList) {
  Deployment Vms(VmList);
  Vms.configure();
  Vms.addBackend("b1", "a1", {"--run-ms", "0"});
  const Endpoint Backend = listeningAt(Vms.folder() + "/b1.log");
  const Endpoint RelayAt = freeEndpoint();
  const auto Relay = startRelay(RelayAt, Backend, Vms.folder() + "/relay.log");
  const std::string Dispatcher = Vms.dispatcher("a1");
  const std::string Other = Dispatcher == "a1" ? "a2" : "a1";
  const bool Alone = VmList.size() == 1;
  CallerRequests Near(Vms, Dispatcher);
  CallerRequests Far(Vms, Alone ? Dispatcher : Other);
  uint64_t Number = 0;
  const RequestMaker Direct = [&] { return backendTask(++Number); };
  const auto Idempotent = [&] { return Near.idempotentRequest(); };
  EventLoop Loop;
  std::vector<Path> Rows;
  Rows.push_back({"direct call of the stand-in", Backend, Direct});
  Rows.push_back({"bare forwarder", RelayAt, Direct});
  Rows.push_back({"idempotent, entry = dispatcher", Vms.http(Dispatcher),
                  Idempotent, 2.5, 3});
  Rows.push_back({"keyed, entry = dispatcher", Vms.http(Dispatcher),
                  [&] { return Near.keyedRequest(); }, 4, 4});
  if (!Alone) {
    Rows.push_back({"idempotent, entry != dispatcher", Vms.http(Other),
                    Idempotent, 2.5, 3});
    Rows.push_back({"keyed, entry != dispatcher", Vms.http(Other),
                    [&] { return Far.keyedRequest(); }, 4, 4});
  }
  measure(Loop, Rows);
  printTable(Rows);
}

} // namespace

void printResponse() {
  std::printf("\n## Response on an idle system\n\nOne stand-in with run time "
              "0; %d sequential requests on each path in turn, after %d "
              "more.\n\nOne VM:\n\n",
              Requests, Warmup);
  measureAt({{"a1", "nitra", true}});
  std::puts("\nThree VMs in one data centre:\n");
  measureAt(
      {{"a1", "nitra", true}, {"a2", "nitra", true}, {"a3", "nitra", true}});
}

} // namespace sapphiremoor::bench
