// A control daemon is frozen for 2.5 s under traffic.

#include "../kit-3/load.h"

using namespace review;

namespace {

constexpr int Cpu = 4000;

bool holds(Record &Log) {
  Deployment System({}, Log);
  System.startProcesses();
  System.putConfig();
  System.addWorker(0, "i-01", "r1-1");
  for (std::size_t Zone : {1, 2})
    for (int Number = 1; Number <= 2; ++Number)
      System.addWorker(Zone,
                       "i-" + std::to_string(Zone) + std::to_string(Number),
                       "r" + std::to_string(Zone + 1) + "-1");
  System.waitForWorkers();
  pause(1);
  LoadSettings Traffic;
  Traffic.JobsPerSecond = {30, 10, 10};
  Traffic.Width = 1;
  Traffic.WorkMs = 150;
  Traffic.Cpu = Cpu;
  Load Clients(System, Log, Traffic);
  Clients.start();
  pause(6);
  if (isTroubled()) {
    System.control(0).freeze();
    pause(2.5);
    System.control(0).thaw();
  }
  const auto Show = [&] {
    std::string Line = "ends without ack:";
    for (const auto &Each : System.Workers)
      Line +=
          " " + Each->settings().Id + " " + std::to_string(Each->unackedEnds());
    Log.say(Line);
  };
  for (int Step = 0; Step < 3; ++Step) {
    pause(5);
    Show();
  }
  Clients.stop();
  // From now on, clients of the first zone send 60 jobs at once.
  LoadSettings Wave = Traffic;
  Wave.JobsPerSecond = {30};
  Wave.Batch = 60;
  Wave.FirstNumber = 500000;
  Load Waves(System, Log, Wave);
  Waves.start();
  for (int Step = 0; Step < 4; ++Step) {
    pause(5);
    Show();
  }
  Waves.stop();
  Log.say("end of the traffic");
  std::vector<SentJob> Jobs = Clients.jobs();
  std::ranges::copy(Waves.jobs(), std::back_inserter(Jobs));
  // finish_s
  pause(14);
  const int Left = countLeftWaiting(System, Log, Jobs, Cpu);
  return Left == 0;
}

} // namespace

int main() { return runCase(holds); }
