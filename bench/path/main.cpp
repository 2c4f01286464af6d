/// \file
/// Benchmark of the request path with daemons and backend servers as processes
/// on loopback. Prints Markdown tables of the measured figures and their
/// targets, which are set in docs/design.md, section 1.5. Absolute times depend
/// on the load of the machine; ratios compare figures of the same run.

#include "nullbackend.h"
#include "relay.h"
#include "sections.h"

#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace {

using namespace sapphiremoor;
using namespace sapphiremoor::bench;

const std::map<std::string, std::function<void()>> &sections() {
  static const std::map<std::string, std::function<void()>> Sections{
      {"throughput", printThroughput},
      {"response", printResponse},
      {"control", printControl}};
  return Sections;
}

uint16_t parsePort(const std::string &Text) {
  return static_cast<uint16_t>(std::strtoul(Text.c_str(), nullptr, 10));
}

int printUsage() {
  std::fputs("usage: bench_path [throughput] [response] [control]\n", stderr);
  return 2;
}

int runSections(const std::vector<std::string> &Names) {
  for (const std::string &Name : Names)
    if (!sections().contains(Name))
      return printUsage();
  const auto Begin = std::chrono::steady_clock::now();
  for (const std::string &Name : Names)
    sections().at(Name)();
  const std::chrono::duration<double> Time =
      std::chrono::steady_clock::now() - Begin;
  std::printf("\nRun time %.0f s\n", Time.count());
  return 0;
}

} // namespace

/// Usage: bench_path [SECTION...]. The arguments "null-backend PORT" and
/// "relay PORT BACKEND_PORT" are for the child processes of the benchmark.
int main(int ArgCount, char **Args) {
  std::signal(SIGPIPE, SIG_IGN);
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  std::vector<std::string> Names(Args + 1, Args + ArgCount);
  if (Names.size() == 2 && Names[0] == "null-backend")
    return runNullBackend("127.0.0.1", parsePort(Names[1]));
  if (Names.size() == 3 && Names[0] == "relay")
    return runRelay({"127.0.0.1", parsePort(Names[1])},
                    {"127.0.0.1", parsePort(Names[2])});
  if (Names.empty())
    Names = {"throughput", "response", "control"};
  // Deployment reports a timeout through a doctest assertion, which needs a
  // context outside of test cases.
  doctest::Context Context;
  Context.setAsDefaultForAssertsOutOfTestCases();
  try {
    return runSections(Names);
  } catch (const std::exception &Error) {
    std::fprintf(stderr, "bench_path stopped: %s\n", Error.what());
  } catch (...) {
    std::fputs("bench_path stopped: a process did not reach the expected state "
               "in time; check whether the machine is overloaded\n",
               stderr);
  }
  return 1;
}
