// More than 500 ends on one worker between two lists.

#include "../kit-3/deployment.h"

using namespace review;

namespace {

constexpr int Rounds = 5;
/// Below the 500 ends of one list.
constexpr int TasksPerJob = 490;
constexpr int WorkMs = 600;

/// A job with its data on a rack; it takes three times as long elsewhere.
Json job(const std::string &Rack, int WorkMs) {
  return {{"spec", Json{{"work_ms", WorkMs}, {"rack", Rack}}.dump()},
          {"steps",
           {{{"count", TasksPerJob},
             {"cpu", 43},
             {"mem_mb", 16},
             {"estimate_ms", WorkMs},
             {"data_rack", Rack}}}}};
}

bool holds(Record &Log) {
  Deployment System({}, Log);
  System.startProcesses();
  System.putConfig();
  for (int Number = 1; Number <= 24; ++Number) {
    char Id[16];
    snprintf(Id, sizeof(Id), "i-a%02d", Number);
    System.addWorker(0, Id, "r1-" + std::to_string(Number));
  }
  for (std::size_t Zone : {1, 2})
    for (int Number = 1; Number <= 2; ++Number)
      System.addWorker(Zone,
                       "i-" + std::to_string(Zone) + std::to_string(Number),
                       "r" + std::to_string(Zone + 1) + "-1");
  System.waitForWorkers();
  pause(2);
  if (isTroubled()) {
    Log.say("scale_in: i-a02 and i-a03 leave, 2 of 28 workers");
    std::thread Other([&] { System.worker("i-a02").leave(); });
    System.worker("i-a03").leave();
    Other.join();
  }
  // Twice contact_ms: nothing is near any more.
  pause(6);
  Client Callers(System, Log);
  uint64_t Number = 0;
  for (int Round = 0; Round < Rounds; ++Round) {
    const std::vector<std::pair<std::string, Json>> Jobs = {
        {jobId(++Number), job("r1-1", WorkMs)},
        {jobId(++Number), job("r1-2", WorkMs / 3)},
        {jobId(++Number), job("r1-3", WorkMs / 3)}};
    std::vector<std::thread> Threads;
    for (const auto &[Id, Body] : Jobs)
      Threads.emplace_back([&] { Callers.submit(0, Id, Body); });
    for (std::thread &Thread : Threads)
      Thread.join();
    pause(5);
    for (const auto &[Id, Body] : Jobs)
      Log.say("job " + Id + " is " + Callers.state(0, Id));
  }
  const int Broken = countTwice(Log);
  Log.say("TWICE: " + std::to_string(Broken) + " starts");
  return Broken == 0;
}

} // namespace

int main() { return runCase(holds); }
