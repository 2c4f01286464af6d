#ifndef REVIEW_KIT2_WORKER_H
#define REVIEW_KIT2_WORKER_H

#include "record.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <set>

namespace kit {

/// How a run goes: how long it works, and how it then ends.
struct RunPlan {
  int64_t WorkMs = 100;
  std::string How = "done";
};

/// Decides how a run goes, from its task, number and spec.
using Planner = std::function<RunPlan(const std::string &Task, uint64_t Run,
                                      const std::string &Spec)>;

/// A run that has ended, with its times.
struct WorkerRun {
  std::string Task;
  int64_t BeginMs = 0;
  int64_t EndMs = 0;
};

struct WorkerOptions {
  std::string Id;
  std::string Service;
  std::string Zone;
  Address Local;
  int64_t MilliCores = 16000;
  int64_t MemoryMb = 32768;
  std::string Rack = "r1-1";
  std::string Kind = "a";
  int64_t BeatMs = 1500;
  int64_t MaxHoldMs = 1000;
  int64_t KillGraceMs = 50;
};

/// A sound worker: obeys the highest fencing token, holds its lease, lists runs
/// and ends, and sends heartbeats to one control machine after another.
class Worker {
public:
  Worker(WorkerOptions Settings, std::vector<Address> Controls, Planner Plan,
         Record &Log)
      : Settings(std::move(Settings)), Controls(std::move(Controls)),
        Plan(std::move(Plan)), Log(Log), Born(unixMs()), Started(nowMs()),
        Http(this->Settings.Local,
             [this](const std::string &Method, const std::string &Path,
                    const Message &Request) {
               return handle(Method, Path, Request);
             }) {
    std::thread([this] { beat(); }).detach();
    std::thread([this] { work(); }).detach();
  }

  bool bound() const { return Http.bound(); }
  /// Starts a planned end: says that it drains, serves on for \p DrainMs after
  /// the confirmation, leaves and ends.
  void drain(int64_t DrainMs) {
    const std::lock_guard Lock(Mutex);
    DrainFor = DrainMs;
    Changed.notify_all();
  }
  bool gone() {
    const std::lock_guard Lock(Mutex);
    return Gone;
  }
  std::size_t activeRuns() {
    const std::lock_guard Lock(Mutex);
    return Runs.size();
  }
  int64_t usedMilliCores(int64_t PerTask) {
    return static_cast<int64_t>(activeRuns()) * PerTask;
  }
  const WorkerOptions &options() const { return Settings; }
  /// Jobs of which a run is at work here.
  std::set<std::string> activeJobs() {
    const std::lock_guard Lock(Mutex);
    std::set<std::string> Jobs;
    for (const auto &[Task, Run] : Runs)
      Jobs.insert(Task.substr(0, Task.find('.')));
    return Jobs;
  }
  /// The runs that have ended.
  std::vector<WorkerRun> runs() {
    const std::lock_guard Lock(Mutex);
    return EndedRuns;
  }
  /// Number of runs of each job that ended so.
  void countEnds(const std::string &How, std::map<std::string, int> &Counts) {
    const std::lock_guard Lock(Mutex);
    for (const auto &[Task, EndedHow] : History)
      if (EndedHow == How)
        ++Counts[Task.substr(0, Task.find('.'))];
  }

private:
  struct RunState {
    uint64_t Number = 0;
    int64_t StartedAt = 0;
    RunPlan Goes;
    int64_t StopAt = 0;
  };
  struct EndState {
    uint64_t Number = 0;
    std::string Task;
    uint64_t Run = 0;
    std::string How;
  };

  /// Its steady clock, which starts with its lifetime.
  int64_t clock() const { return nowMs() - Started + 1000; }

  Answer reply(int Status, nlohmann::json Body) {
    Body["wall_clock_ms"] = clock();
    Body["born"] = Born;
    return {Status, Body.dump()};
  }

  Answer refuse(const char *Reason) {
    nlohmann::json Body = nlohmann::json::object();
    Body["reason"] = Reason;
    return reply(409, Body);
  }

  Answer handle(const std::string &Method, const std::string &Path,
                const Message &Request) {
    if (Method == "GET")
      return {200, "{}"};
    const auto Body = nlohmann::json::parse(Request.Body, nullptr, false);
    if (Body.is_discarded() || !Body.is_object())
      return reply(400, nlohmann::json::object());
    if (const auto It = Request.Headers.find("x-expected-instance");
        It != Request.Headers.end() && It->second != Settings.Id)
      return reply(421, nlohmann::json::object());
    std::unique_lock Lock(Mutex);
    if (Gone)
      return {};
    const uint64_t Token = Body.value("fencing_token", uint64_t{0});
    if (Token < HighestToken)
      return refuse("fence");
    HighestToken = Token;
    if (Path == "/api/run-start")
      return start(Body);
    if (Path == "/api/run-stop")
      return stop(Body);
    if (Path == "/api/hold")
      return hold(Body, Lock);
    return reply(400, nlohmann::json::object());
  }

  void extendLease(const nlohmann::json &Body) {
    const auto It = Body.find("expires_at_ms");
    if (It == Body.end())
      return;
    const int64_t Until =
        std::min(It->get<int64_t>(), clock() + Settings.MaxHoldMs);
    LeaseUntil = std::max(LeaseUntil, Until);
  }

  Answer start(const nlohmann::json &Body) {
    const std::string Task = Body.at("task");
    const uint64_t Number = Body.at("run");
    if (Body.at("expires_at_ms").get<int64_t>() <= clock())
      return refuse("late");
    extendLease(Body);
    const auto It = Runs.find(Task);
    if (It != Runs.end() && It->second.Number == Number)
      return reply(200, nlohmann::json::object());
    if (It != Runs.end() || Number <= HighestEnded[Task])
      return refuse("old");
    RunState Run;
    Run.Number = Number;
    Run.StartedAt = nowMs();
    Run.Goes = Plan(Task, Number, Body.at("spec"));
    Runs[Task] = Run;
    Log.line(Settings.Id + " run " + Task + " " + std::to_string(Number) +
             " begins");
    Changed.notify_all();
    return reply(200, nlohmann::json::object());
  }

  Answer stop(const nlohmann::json &Body) {
    const std::string Task = Body.at("task");
    const uint64_t Number = Body.at("run");
    uint64_t &Ended = HighestEnded[Task];
    const auto It = Runs.find(Task);
    if (It != Runs.end() && It->second.Number == Number) {
      if (It->second.StopAt == 0)
        It->second.StopAt = nowMs() + Settings.KillGraceMs / 2;
    } else {
      Ended = std::max(Ended, Number);
    }
    Changed.notify_all();
    return reply(200, nlohmann::json::object());
  }

  Answer hold(const nlohmann::json &Body, std::unique_lock<std::mutex> &Lock) {
    extendLease(Body);
    AckCursor = std::max(AckCursor, Body.value("ack_cursor", uint64_t{0}));
    while (!Ends.empty() && Ends.front().Number <= AckCursor) {
      Log.line(Settings.Id + " end " + Ends.front().Task + " " +
               std::to_string(Ends.front().Run) + " is taken note of");
      Ends.erase(Ends.begin());
    }
    const int64_t WaitMs = Body.value("wait_ms", int64_t{0});
    if (WaitMs > 0 && Ends.empty())
      Changed.wait_for(Lock, std::chrono::milliseconds(WaitMs),
                       [this] { return !Ends.empty(); });
    nlohmann::json Running = nlohmann::json::array();
    for (const auto &[Task, Run] : Runs) {
      const int64_t Percent =
          std::min<int64_t>(99, (nowMs() - Run.StartedAt) * 100 /
                                    std::max<int64_t>(Run.Goes.WorkMs, 1));
      Running.push_back(
          nlohmann::json::array({Task, Run.Number, "", Percent, 0}));
    }
    nlohmann::json Finished = nlohmann::json::array();
    constexpr std::size_t PageSize = 500;
    for (const EndState &End : Ends) {
      if (Finished.size() == PageSize)
        break;
      Finished.push_back(
          nlohmann::json::array({End.Number, End.Task, End.Run, End.How, ""}));
    }
    nlohmann::json Lists = nlohmann::json::object();
    Lists["running"] = Running;
    Lists["finished"] = Finished;
    return reply(200, Lists);
  }

  void end(const std::string &Task, const std::string &How) {
    const RunState Run = Runs.at(Task);
    Runs.erase(Task);
    uint64_t &Ended = HighestEnded[Task];
    Ended = std::max(Ended, Run.Number);
    History.emplace_back(Task, How);
    EndedRuns.push_back({Task, Run.StartedAt, nowMs()});
    Ends.push_back({++LastEnd, Task, Run.Number, How});
    Log.line(Settings.Id + " run " + Task + " " + std::to_string(Run.Number) +
             " ends " + How);
    Changed.notify_all();
  }

  void work() {
    std::unique_lock Lock(Mutex);
    for (;;) {
      const int64_t Now = nowMs();
      int64_t Next = Now + 50;
      std::vector<std::pair<std::string, std::string>> Ended;
      for (const auto &[Task, Run] : Runs) {
        const int64_t DoneAt = Run.StartedAt + Run.Goes.WorkMs;
        if (clock() > LeaseUntil)
          Ended.emplace_back(Task, "lapsed");
        else if (Run.StopAt != 0 && Now >= Run.StopAt)
          Ended.emplace_back(Task, "stopped");
        else if (Now >= DoneAt)
          Ended.emplace_back(Task, Run.Goes.How);
        else
          Next = std::min({Next, DoneAt, Run.StopAt == 0 ? Next : Run.StopAt});
      }
      for (const auto &[Task, How] : Ended)
        end(Task, How);
      Changed.wait_for(
          Lock, std::chrono::milliseconds(std::max<int64_t>(Next - Now, 1)));
    }
  }

  void beat() {
    std::size_t Index = std::hash<std::string>{}(Settings.Id);
    for (uint64_t Sequence = 1;; ++Sequence) {
      if (gone())
        return;
      const bool Draining = isDraining();
      const nlohmann::json Body = {
          {"service", Settings.Service},
          {"address", Settings.Local.text()},
          {"zone", Settings.Zone},
          {"version", "v1"},
          {"slots", 8},
          {"state", Draining ? "draining" : "ready"},
          {"cold_remaining_ms", 0},
          {"capacity",
           {{"cpu", Settings.MilliCores},
            {"mem_mb", Settings.MemoryMb},
            {"gpus", 0}}},
          {"labels", nlohmann::json::array({Settings.Kind, Settings.Rack})},
          {"wall_clock_ms", clock()},
          {"born", Born},
          {"sequence", Sequence}};
      for (std::size_t Try = 0; Try < Controls.size(); ++Try) {
        Client To(Controls[Index % Controls.size()]);
        const Answer Reply =
            To.call("POST", "/api/instances/" + Settings.Id + "/heartbeat",
                    "control", Body.dump(), 1000);
        if (Reply.Status / 100 == 2) {
          if (Draining) {
            leave(Controls[Index % Controls.size()]);
            return;
          }
          break;
        }
        ++Index;
      }
      std::unique_lock Lock(Mutex);
      const auto Pause = std::chrono::milliseconds(Settings.BeatMs);
      Changed.wait_for(Lock, Pause, [&] { return DrainFor > 0 && !Draining; });
    }
  }

  /// Ends at once and for good, as after a crash.
public:
  void lose() {
    Http.stop();
    const std::lock_guard Lock(Mutex);
    Runs.clear();
    Gone = true;
    Log.line(Settings.Id + " is lost for good");
  }

private:
  bool isDraining() {
    const std::lock_guard Lock(Mutex);
    return DrainFor > 0;
  }

  void leave(const Address &Control) {
    Log.line(Settings.Id + " drains, confirmed by " + Control.text());
    sleepMs(DrainFor + 500);
    Client To(Control);
    To.call("POST", "/api/instances/" + Settings.Id + "/deregister", "control",
            "{}", 1000);
    Http.stop();
    const std::lock_guard Lock(Mutex);
    Runs.clear();
    Gone = true;
    Log.line(Settings.Id + " has left");
  }

  WorkerOptions Settings;
  std::vector<Address> Controls;
  Planner Plan;
  Record &Log;
  int64_t Born;
  int64_t Started;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, RunState> Runs;
  std::map<std::string, uint64_t> HighestEnded;
  std::vector<EndState> Ends;
  std::vector<std::pair<std::string, std::string>> History;
  std::vector<WorkerRun> EndedRuns;
  uint64_t LastEnd = 0;
  uint64_t AckCursor = 0;
  uint64_t HighestToken = 0;
  int64_t LeaseUntil = 0;
  int64_t DrainFor = 0;
  bool Gone = false;
  Server Http;
};

} // namespace kit

#endif
