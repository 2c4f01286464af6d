// The process that holds the waiting jobs of a queue is killed and started
// again; the number of waiting jobs is asked for once the core is stable.
#include "../kit-2/deployment.h"

using namespace kit;

namespace {

constexpr int WaitingJobs = 10;
constexpr int WorkersPerZone = 2;
/// One task fills a worker.
constexpr int64_t TaskMilliCores = 16000;
constexpr int64_t WorkMs = 60000;
constexpr int64_t SloMs = 120000;
constexpr int64_t ContactMs = 3000;
/// visible_ms and two seconds.
constexpr int64_t CountedAfterMs = 5000;
constexpr int64_t RestartDelayMs = 300;

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
  auto &Begun = *new std::set<std::string>;
  auto &Mutex = *new std::mutex;
  for (int Zone = 1; Zone <= 3; ++Zone)
    for (int Index = 0; Index < WorkersPerZone; ++Index) {
      WorkerOptions Options;
      Options.Id = "w-" + std::to_string(Zone) + "-" + std::to_string(Index);
      Options.Service = Service;
      Options.Zone = "zone-" + std::to_string(Zone);
      Options.Local = {Site.ip(Zone, 10 + Index), 8080};
      Fleet.push_back(std::make_unique<Worker>(
          Options, Site.controls(),
          [&](const std::string &Task, uint64_t, const std::string &) {
            const std::lock_guard Lock(Mutex);
            Begun.insert(Task.substr(0, Task.find('.')));
            return RunPlan{WorkMs, "done"};
          },
          Log));
      if (!Fleet.back()->bound())
        return NotRun;
    }
  Site.startAll();
  const std::string Host = "host.example";
  const nlohmann::json Routes = nlohmann::json::array(
      {route("reserve", Host, "/reserve/", Service, 4, SloMs)});
  if (!Site.putConfig(config(1, Service, Routes), 20000) ||
      !Site.waitReady("edge-1", 20000) || !Site.waitReady("edge-2", 20000) ||
      !Site.waitReady("edge-3", 20000))
    return NotRun;
  sleepMs(4000);

  const nlohmann::json Step = {{"count", 1},
                               {"cpu", TaskMilliCores},
                               {"mem_mb", 64},
                               {"estimate_ms", WorkMs}};
  nlohmann::json Job;
  Job["spec"] = "reserve";
  Job["steps"] = nlohmann::json::array({Step});
  const auto Submit = [&](const std::string &Edge, uint64_t Number) {
    const std::string Id = jobId(10, Number);
    const Answer Reply = Client(Site.front(Edge))
                             .call("POST", "/reserve/" + Id, Host, Job.dump(),
                                   1500, true);
    Log.line("POST " + Id + " at " + Edge + " answered " +
             std::to_string(Reply.Status));
    return Reply.Status / 100 == 2;
  };
  uint64_t Number = 0;
  for (int Zone = 1; Zone <= 3; ++Zone)
    for (int Index = 0; Index < WorkersPerZone; ++Index)
      if (!Submit("edge-" + std::to_string(Zone), Number++))
        return NotRun;
  sleepMs(1500);
  std::set<std::string> Waiting;
  for (int Index = 0; Index < WaitingJobs; ++Index, ++Number)
    if (Submit("edge-1", Number))
      Waiting.insert(jobId(10, Number));
  sleepMs(CountedAfterMs + 200);

  if (trouble()) {
    Site.signal("core-1", SIGKILL);
    Site.waitEnd("core-1", 5000);
    sleepMs(RestartDelayMs);
    Site.start("core-1", false);
  }
  const int64_t StableAt = nowMs() + ContactMs;
  Client Edge2(Site.front("edge-2"));
  Client Edge3(Site.front("edge-3"));
  int Wrong = 0;
  int Asked = 0;
  while (nowMs() < StableAt + 3000) {
    for (Client *To : {&Edge2, &Edge3}) {
      const int64_t SentAt = nowMs();
      const Answer Reply = To->call("GET", "/reserve/", Host, "", 1500);
      int64_t StillWaiting = 0;
      {
        const std::lock_guard Lock(Mutex);
        for (const std::string &Id : Waiting)
          StillWaiting += Begun.contains(Id) ? 0 : 1;
      }
      const auto Body = nlohmann::json::parse(Reply.Body, nullptr, false);
      const bool Answered = Reply.Status == 200 && Body.is_object();
      const int64_t Pending = Answered ? Body.value("pending", int64_t{-1}) : -1;
      Log.line(std::string(SentAt > StableAt ? "in touch" : "before") +
               ": pending " + std::to_string(Pending) + " (status " +
               std::to_string(Reply.Status) + "), accepted and not begun " +
               std::to_string(StillWaiting));
      if (SentAt <= StableAt + 20 || !Answered)
        continue;
      ++Asked;
      Wrong += Pending * 2 < StillWaiting ? 1 : 0;
    }
    sleepMs(10);
  }
  Log.say(std::to_string(Asked) + " counts by machines in touch, " +
          std::to_string(Wrong) + " under half of the jobs that wait");
  return Wrong == 0 ? Held : Broken;
}

int main() { exitCase(runCase()); }
