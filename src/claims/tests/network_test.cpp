#include "fakenetwork.h"

#include <doctest/doctest.h>

using namespace sapphiremoor;
using namespace sapphiremoor::test;

namespace {

/// Runs one network per seed and returns how often each result occurred.
std::map<std::string, int> runSeeds(uint64_t FirstSeed, uint64_t Count,
                                    const FaultRates &Rates) {
  std::map<std::string, int> Results;
  for (uint64_t Seed = FirstSeed; Seed < FirstSeed + Count; ++Seed) {
    FakeNetwork Network(Seed, 3 + Seed % 3, Rates);
    Network.run(300);
    Network.runToCompletion();
    INFO("seed ", Seed);
    if (!Network.Violations.empty())
      FAIL_CHECK(Network.Violations.front());
    for (const auto &[Result, ResultCount] : Network.Results)
      Results[Result] += ResultCount;
    if (!Network.Violations.empty())
      break;
  }
  return Results;
}

} // namespace

// Guards against two starts of a key, a start of a key that was reported as not
// run, and a call without a result.
TEST_CASE("no key starts twice or after it was reported as not run") {
  const auto Results = runSeeds(1, 3000, {0.05, 0.05, 0.03, 0.04});
  MESSAGE("starts ", Results.at("start"));
  for (const char *Result :
       {"start", "pass", "join", "conflict", "refused", "overloaded",
        "no_majority", "prefix_sealed", "home_unreachable", "executor_lost",
        "not_submitted"})
    CHECK_MESSAGE(Results.contains(Result), Result);
}

// Guards against rules that are safe only because messages get lost: here no
// message is lost, but VMs and links fail often.
TEST_CASE("no key starts twice when VMs fail often but no message is lost") {
  runSeeds(100000, 1500, {0, 0, 0, 0.15});
}

// Guards against rules that are safe only because messages arrive in time: here
// many are lost, duplicated or delayed past the sender's timeout.
TEST_CASE("no key starts twice when messages are lost, repeated or very late") {
  runSeeds(200000, 1500, {0.2, 0.3, 0.3, 0.02});
}

// Guards against rules that achieve safety by refusing jobs.
TEST_CASE("without faults every key starts exactly once") {
  for (uint64_t Seed = 1; Seed <= 200; ++Seed) {
    FakeNetwork Network(Seed, 3 + Seed % 3, {});
    std::vector<JobKey> Keys;
    Keys.reserve(Network.Nodes.size());
    for (Node &Vm : Network.Nodes)
      Keys.push_back(Network.newKey(Vm));
    for (const JobKey &Key : Keys)
      for (Node &Vm : Network.Nodes)
        Network.submit(Vm, Key, {1});
    Network.runToCompletion();
    INFO("seed ", Seed);
    CHECK(Network.Violations.empty());
    CHECK(Network.NotRun.empty());
    CHECK(Network.StartedJobs.size() == Keys.size());
  }
}
