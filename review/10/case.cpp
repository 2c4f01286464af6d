// A control machine is stopped in turn while tasks fail once by their own
// fault.
#include "../kit-2/deployment.h"

using namespace kit;

namespace {

constexpr int JobCount = 16;
/// Every second task fails in its first run.
constexpr int FailingShare = 2;
constexpr int Attempts = 2;
constexpr int64_t FirstRunMs = 1500;
constexpr int64_t GraceMs = 6000;
constexpr int64_t LimitMs = 40000;
constexpr int WorkersPerZone = 4;

bool failsOnce(const std::string &Task) {
  const std::string Id = Task.substr(0, Task.find('.'));
  return std::stoull(Id.substr(6), nullptr, 16) % FailingShare == 0;
}

} // namespace

int runCase() {
  auto &Log = *new Record("review/10/record.txt");
  Deployment Site(Log);
  for (int Zone = 1; Zone <= 3; ++Zone) {
    const std::string Name = "zone-" + std::to_string(Zone);
    Site.add({"core-" + std::to_string(Zone), Name, true, Site.ip(Zone, 1)});
    Site.add({"edge-" + std::to_string(Zone), Name, false, Site.ip(Zone, 2)});
  }
  const std::string Service = "svc1";
  auto &Fleet = *new std::vector<std::unique_ptr<Worker>>;
  for (int Zone = 1; Zone <= 3; ++Zone)
    for (int Index = 0; Index < WorkersPerZone; ++Index) {
      WorkerOptions Options;
      Options.Id = "w-" + std::to_string(Zone) + "-" + std::to_string(Index);
      Options.Service = Service;
      Options.Zone = "zone-" + std::to_string(Zone);
      Options.Local = {Site.ip(Zone, 10 + Index), 8080};
      Fleet.push_back(std::make_unique<Worker>(
          Options, Site.controls(),
          [](const std::string &Task, uint64_t Run, const std::string &) {
            return Run == 1 && failsOnce(Task) ? RunPlan{FirstRunMs, "failed"}
                                               : RunPlan{FirstRunMs, "done"};
          },
          Log));
      if (!Fleet.back()->bound())
        return NotRun;
    }
  Site.startAll();
  const std::string Host = "host.example";
  const nlohmann::json Routes = nlohmann::json::array(
      {route("quote", Host, "/quote/", Service, Attempts, 2000)});
  if (!Site.putConfig(config(1, Service, Routes), 20000) ||
      !Site.waitReady("edge-1", 20000))
    return NotRun;
  sleepMs(4000);

  const nlohmann::json Step = {
      {"count", 1}, {"cpu", 9000}, {"mem_mb", 64}, {"estimate_ms", FirstRunMs}};
  nlohmann::json Job;
  Job["spec"] = "quote";
  Job["steps"] = nlohmann::json::array({Step});
  std::vector<std::string> Accepted;
  Client To(Site.front("edge-1"));
  for (int Number = 0; Number < JobCount; ++Number) {
    const std::string Id = jobId(10, static_cast<uint64_t>(Number));
    const Answer Reply =
        To.call("POST", "/quote/" + Id, Host, Job.dump(), 1500, true);
    Log.line("POST " + Id + " answered " + std::to_string(Reply.Status));
    if (Reply.Status / 100 == 2)
      Accepted.push_back(Id);
  }
  if (Accepted.size() < JobCount / 2)
    return NotRun;
  std::atomic<bool> Finished{false};
  std::thread Platform;
  if (trouble())
    // The process ends with the thread that has started it.
    Platform = std::thread([&] {
      Site.restartGracefully("core-1", GraceMs);
      while (!Finished)
        sleepMs(20);
    });

  std::map<std::string, std::string> States;
  const int64_t Deadline = nowMs() + LimitMs;
  while (nowMs() < Deadline) {
    bool AllEnded = true;
    for (const std::string &Id : Accepted) {
      std::string &State = States[Id];
      if (State == "done" || State == "failed")
        continue;
      Client Asker(Site.front("edge-2"));
      const Answer Reply = Asker.call("GET", "/quote/" + Id, Host, "", 1500);
      if (const std::string Shown = stateOf(Reply);
          !Shown.empty() && Shown != State) {
        State = Shown;
        Log.line("GET " + Id + " shows " + Shown);
      }
      AllEnded = AllEnded && (State == "done" || State == "failed");
    }
    if (AllEnded)
      break;
    sleepMs(200);
  }
  std::map<std::string, int> FailedEnds;
  for (const auto &Server : Fleet)
    Server->countEnds("failed", FailedEnds);
  int Wrong = 0;
  int Done = 0;
  for (const std::string &Id : Accepted) {
    Done += States[Id] == "done" ? 1 : 0;
    if (States[Id] != "failed" || FailedEnds[Id] >= Attempts)
      continue;
    ++Wrong;
    Log.line("job " + Id + " is shown as failed after " +
             std::to_string(FailedEnds[Id]) + " of " +
             std::to_string(Attempts) + " attempts");
  }
  Log.say(std::to_string(Accepted.size()) + " jobs accepted, " +
          std::to_string(Done) + " done, " + std::to_string(Wrong) +
          " shown as failed before their attempts were used up");
  Finished = true;
  if (Platform.joinable())
    Platform.join();
  return Wrong == 0 ? Held : Broken;
}

int main() { exitCase(runCase()); }
