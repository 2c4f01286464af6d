#ifndef REVIEW_KIT3_WORKER_H
#define REVIEW_KIT3_WORKER_H

// A sound worker as PROTOCOL.md describes it: it runs tasks under a lease,
// lists their ends, at most 500 at a time, and reports about itself.

#include "http.h"
#include "record.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <deque>
#include <memory>
#include <random>

namespace review {

using Json = nlohmann::json;

struct WorkerSettings {
  std::string Id;
  Endpoint Address;
  std::string Service;
  std::string Zone;
  std::string Kind = "a";
  std::string Rack;
  int64_t Cpu = 64000;
  int64_t MemMb = 131072;
  /// Control daemons that it may call, in the order of preference.
  std::vector<Endpoint> Controls;
};

class Worker {
public:
  static constexpr int64_t MaxHoldMs = 1000;
  static constexpr std::size_t EndsPerList = 500;
  static constexpr double RemoteFactor = 3;
  static constexpr auto HeartbeatInterval = std::chrono::milliseconds(1500);
  static constexpr auto DrainTime = std::chrono::milliseconds(2000);

  Worker(WorkerSettings Settings, Record &Log)
      : Settings(std::move(Settings)), Log(Log) {}
  ~Worker() { stop(); }

  bool start() {
    Born = std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
               .count();
    StartedAt = Clock::now();
    // A new life has seen nothing of before.
    Sequence = 0;
    HighestToken = 0;
    LeaseEndMs = 0;
    CpuInUse = 0;
    LastEnd = 0;
    HighestRun.clear();
    Finished.clear();
    Alive = true;
    if (!Server.start(
            Settings.Address,
            [this](const auto &Method, const auto &Path, const auto &Request) {
              return handle(Method, Path, Request);
            }))
      return false;
    Timer = std::thread([this] { timerLoop(); });
    Heart = std::thread([this] { heartLoop(); });
    Log.line("worker %s up at %s zone %s rack %s", Settings.Id.c_str(),
             Settings.Address.text().c_str(), Settings.Zone.c_str(),
             Settings.Rack.c_str());
    return true;
  }

  /// Ends at once, without a word.
  void stop() {
    if (!Alive.exchange(false))
      return;
    {
      const std::lock_guard Lock(Mutex);
      for (auto &[Task, Active] : Running)
        endRecord(Active.RecordIndex, "crashed", 0);
      Running.clear();
    }
    Changed.notify_all();
    Timer.join();
    Heart.join();
    Server.stop();
  }

  /// Planned end: reports draining, goes on for drain_ms after the
  /// confirmation and a little longer, then leaves.
  void leave() {
    Log.line("worker %s drains", Settings.Id.c_str());
    Draining = true;
    const auto GiveUpAt = Clock::now() + std::chrono::seconds(6);
    while (!DrainConfirmed && Clock::now() < GiveUpAt) {
      HeartNow = true;
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    Log.line("worker %s draining %s", Settings.Id.c_str(),
             DrainConfirmed ? "confirmed" : "not confirmed");
    std::this_thread::sleep_for(DrainTime + std::chrono::milliseconds(500));
    for (const Endpoint &Control : Settings.Controls)
      if (call(Control, "POST", "/api/instances/" + Settings.Id + "/deregister",
               Control.text(), Json{{"born", Born}}.dump(),
               std::chrono::milliseconds(1000))
                  .Status /
              100 ==
          2)
        break;
    Log.line("worker %s leaves", Settings.Id.c_str());
    stop();
  }

  /// Until \p Until, carries out this share of the orders 2 to 12 s late and
  /// doesn't answer them.
  void setLate(double Share, Clock::time_point Until) {
    const std::lock_guard Lock(Mutex);
    LateShare = Share;
    LateUntil = Until;
  }

  const WorkerSettings &settings() const { return Settings; }

  bool isAlive() const { return Alive; }

  std::size_t runningCount() {
    const std::lock_guard Lock(Mutex);
    return Running.size();
  }
  int64_t cpuInUse() {
    const std::lock_guard Lock(Mutex);
    return CpuInUse;
  }
  std::size_t unackedEnds() {
    const std::lock_guard Lock(Mutex);
    return Finished.size();
  }
  /// True if an order with a token came within the last seconds.
  bool heardWithin(double Seconds) {
    const std::lock_guard Lock(Mutex);
    return LastOrderAt && Log.now() - *LastOrderAt < Seconds;
  }

private:
  struct ActiveRun {
    uint64_t Number = 0;
    Clock::time_point From;
    Clock::time_point Until;
    bool Fails = false;
    int64_t Cpu = 0;
    std::size_t RecordIndex = 0;
  };
  struct Ended {
    uint64_t Number = 0;
    std::string Task;
    uint64_t Run = 0;
    std::string How;
    std::size_t RecordIndex = 0;
  };

  /// A task's name is ID.K.STEP.INDEX.
  static std::size_t stepOf(const std::string &Task) {
    const std::size_t Begin = Task.find('.', Task.find('.') + 1) + 1;
    return std::stoul(Task.substr(Begin));
  }

  int64_t clockMs() const {
    return 100000 + std::chrono::duration_cast<std::chrono::milliseconds>(
                        Clock::now() - StartedAt)
                        .count();
  }

  std::pair<int, std::string> answer(int Status, Json Body = Json::object()) {
    Body["wall_clock_ms"] = clockMs();
    return {Status, Body.dump()};
  }
  std::pair<int, std::string> refuse(const std::string &Reason) {
    return answer(409, {{"reason", Reason}});
  }

  std::pair<int, std::string> handle(const std::string &Method,
                                     const std::string &Path,
                                     const HttpMessage &Request) {
    if (Method == "GET")
      return answer(200);
    const std::string Intended = Request.header("x-expected-instance");
    if (!Intended.empty() && Intended != Settings.Id)
      return answer(421);
    const Json Body = Json::parse(Request.Body, nullptr, false);
    if (!Body.is_object())
      return answer(400);
    std::unique_lock Lock(Mutex);
    if (Clock::now() < LateUntil &&
        std::uniform_real_distribution<>(0, 1)(Random) < LateShare) {
      const double Delay = std::uniform_real_distribution<>(2, 12)(Random);
      Log.line("late by %.3f s on %s: %s %s", Delay, Settings.Id.c_str(),
               Path.c_str(), Request.Body.c_str());
      std::thread([this, Path, Body, Delay] {
        std::this_thread::sleep_for(std::chrono::duration<double>(Delay));
        std::unique_lock LateLock(Mutex);
        if (Alive)
          carryOut(Path, Body, LateLock);
      }).detach();
      Lock.unlock();
      std::this_thread::sleep_for(std::chrono::seconds(2));
      return {0, ""};
    }
    return carryOut(Path, Body, Lock);
  }

  std::pair<int, std::string> carryOut(const std::string &Path,
                                       const Json &Body,
                                       std::unique_lock<std::mutex> &Lock) {
    if (!Alive)
      return answer(503);
    expire();
    const uint64_t Token = Body.value("fencing_token", uint64_t{0});
    if (Token < HighestToken)
      return refuse("fence");
    if (Token > 0)
      LastOrderAt = Log.now();
    HighestToken = Token;
    if (Path == "/api/run-start")
      return startRun(Body);
    if (Path == "/api/run-stop")
      return stopRun(Body);
    if (Path == "/api/hold")
      return hold(Body, Lock);
    return answer(404);
  }

  void extendLease(const Json &Body) {
    const int64_t End = Body.value("expires_at_ms", int64_t{0});
    const int64_t Now = clockMs();
    if (End > Now)
      LeaseEndMs = std::max(LeaseEndMs, std::min(End, Now + MaxHoldMs));
  }

  std::pair<int, std::string> startRun(const Json &Body) {
    const std::string Task = Body.at("task");
    const uint64_t Run = Body.at("run");
    const auto RunIt = Running.find(Task);
    if (RunIt != Running.end() && RunIt->second.Number == Run) {
      extendLease(Body);
      return answer(200);
    }
    if (Body.value("expires_at_ms", int64_t{0}) <= clockMs())
      return refuse("late");
    extendLease(Body);
    const auto HighestIt = HighestRun.find(Task);
    if (HighestIt != HighestRun.end() && Run <= HighestIt->second)
      return refuse("old");
    const Json Spec = Json::parse(Body.value("spec", ""), nullptr, false);
    ActiveRun Active;
    Active.Number = Run;
    Active.From = Clock::now();
    double WorkMs = 50;
    if (Spec.is_object()) {
      WorkMs = Spec.value("work_ms", 50.0);
      if (Spec.contains("steps_ms"))
        WorkMs = Spec["steps_ms"].at(stepOf(Task));
      const std::string DataRack = Spec.value("rack", "");
      if (!DataRack.empty() && DataRack != Settings.Rack)
        WorkMs *= RemoteFactor;
      Active.Fails = Spec.value("fails", false);
      Active.Cpu = Spec.value("cpu", int64_t{0});
    }
    Active.Until = Active.From + std::chrono::microseconds(
                                     static_cast<int64_t>(WorkMs * 1000));
    {
      const std::lock_guard Lock(Log.Mutex);
      Active.RecordIndex = Log.Runs.size();
      RunRecord Entry;
      Entry.Task = Task;
      Entry.Run = Run;
      Entry.Worker = Settings.Id;
      Entry.Life = static_cast<uint64_t>(Born);
      Entry.StartedAt = Log.now();
      Log.Runs.push_back(Entry);
    }
    Log.line("start %s run %lu on %s", Task.c_str(), Run, Settings.Id.c_str());
    HighestRun[Task] = Run;
    CpuInUse += Active.Cpu;
    Running[Task] = Active;
    Changed.notify_all();
    return answer(200);
  }

  std::pair<int, std::string> stopRun(const Json &Body) {
    const std::string Task = Body.at("task");
    const uint64_t Run = Body.at("run");
    uint64_t &Highest = HighestRun[Task];
    const auto RunIt = Running.find(Task);
    if (RunIt != Running.end() && RunIt->second.Number == Run)
      endRun(RunIt, "stopped");
    Highest = std::max(Highest, Run);
    return answer(200);
  }

  std::pair<int, std::string> hold(const Json &Body,
                                   std::unique_lock<std::mutex> &Lock) {
    const uint64_t Cursor = Body.value("ack_cursor", uint64_t{0});
    while (!Finished.empty() && Finished.front().Number <= Cursor) {
      const std::lock_guard RecordLock(Log.Mutex);
      RunRecord &Entry = Log.Runs[Finished.front().RecordIndex];
      if (Entry.AckedAt < 0)
        Entry.AckedAt = Log.now();
      Finished.pop_front();
    }
    extendLease(Body);
    const int64_t WaitMs =
        std::min<int64_t>(Body.value("wait_ms", int64_t{0}), 2000);
    if (Finished.empty() && WaitMs > 0)
      Changed.wait_for(Lock, std::chrono::milliseconds(WaitMs),
                       [this] { return !Alive || !Finished.empty(); });
    Json Active = Json::array();
    const auto Now = Clock::now();
    for (const auto &[Task, Run] : Running) {
      const double Share = std::chrono::duration<double>(Now - Run.From) /
                           std::chrono::duration<double>(Run.Until - Run.From);
      Active.push_back({Task, Run.Number, "",
                        static_cast<int>(std::min(Share, 0.99) * 100)});
    }
    Json Ends = Json::array();
    {
      const std::lock_guard RecordLock(Log.Mutex);
      for (const Ended &End : Finished) {
        if (Ends.size() == EndsPerList)
          break;
        Ends.push_back({End.Number, End.Task, End.Run, End.How, ""});
        RunRecord &Entry = Log.Runs[End.RecordIndex];
        if (Entry.ListedAt < 0)
          Entry.ListedAt = Log.now();
      }
    }
    if (Finished.size() > EndsPerList)
      Log.line("list of %s: %zu running, 500 of %zu ends, ack_cursor %lu",
               Settings.Id.c_str(), Running.size(), Finished.size(), Cursor);
    return answer(200,
                  {{"born", Born}, {"running", Active}, {"finished", Ends}});
  }

  void endRecord(std::size_t Index, const std::string &How, uint64_t Number) {
    const std::lock_guard Lock(Log.Mutex);
    RunRecord &Entry = Log.Runs[Index];
    Entry.EndedAt = Log.now();
    Entry.How = How;
    Entry.EndNumber = Number;
  }

  std::map<std::string, ActiveRun>::iterator
  endRun(std::map<std::string, ActiveRun>::iterator RunIt,
         const std::string &How) {
    Finished.push_back({++LastEnd, RunIt->first, RunIt->second.Number, How,
                        RunIt->second.RecordIndex});
    endRecord(RunIt->second.RecordIndex, How, LastEnd);
    CpuInUse -= RunIt->second.Cpu;
    Log.line("end %s run %lu on %s: %s, end %lu", RunIt->first.c_str(),
             RunIt->second.Number, Settings.Id.c_str(), How.c_str(), LastEnd);
    Changed.notify_all();
    return Running.erase(RunIt);
  }

  /// Ends what is done, and everything if the lease has expired.
  void expire() {
    const auto Now = Clock::now();
    for (auto It = Running.begin(); It != Running.end();) {
      if (It->second.Until <= Now)
        It = endRun(It, It->second.Fails ? "failed" : "done");
      else
        ++It;
    }
    if (LeaseEndMs == 0 || clockMs() < LeaseEndMs)
      return;
    LeaseEndMs = 0;
    Log.line("lease of %s lapsed", Settings.Id.c_str());
    {
      const std::lock_guard Lock(Log.Mutex);
      for (const Ended &End : Finished)
        if (RunRecord &Entry = Log.Runs[End.RecordIndex]; Entry.LapsedAt < 0)
          Entry.LapsedAt = Log.now();
    }
    for (auto It = Running.begin(); It != Running.end();)
      It = endRun(It, "lapsed");
  }

  void timerLoop() {
    std::unique_lock Lock(Mutex);
    while (Alive) {
      expire();
      auto Next = Clock::now() + std::chrono::milliseconds(20);
      for (const auto &[Task, Run] : Running)
        Next = std::min(Next, Run.Until);
      Changed.wait_until(Lock, Next);
    }
  }

  void heartLoop() {
    std::size_t Preferred = 0;
    std::optional<Endpoint> Named;
    while (Alive) {
      const bool ReportsDraining = Draining;
      const Json Report = {
          {"service", Settings.Service},
          {"address", Settings.Address.text()},
          {"zone", Settings.Zone},
          {"version", "v1"},
          {"slots", 8},
          {"state", ReportsDraining ? "draining" : "ready"},
          {"cold_remaining_ms", 0},
          {"capacity",
           {{"cpu", Settings.Cpu}, {"mem_mb", Settings.MemMb}, {"gpus", 0}}},
          {"labels", {Settings.Kind, Settings.Rack}},
          {"wall_clock_ms", clockMs()},
          {"born", Born},
          {"sequence", ++Sequence}};
      const Endpoint Control =
          Named ? *Named
                : Settings.Controls[Preferred % Settings.Controls.size()];
      const HttpAnswer Answer =
          call(Control, "POST", "/api/instances/" + Settings.Id + "/heartbeat",
               Control.text(), Report.dump(), std::chrono::milliseconds(1000));
      if (Answer.Status / 100 != 2) {
        if (!Named)
          ++Preferred;
        Named.reset();
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        continue;
      }
      if (ReportsDraining)
        DrainConfirmed = true;
      const Json Body = Json::parse(Answer.Body, nullptr, false);
      if (Body.is_object() && Body.contains("heartbeat_addr") &&
          Body["heartbeat_addr"].is_string() &&
          !Body["heartbeat_addr"].get<std::string>().empty())
        Named = Endpoint::parse(Body["heartbeat_addr"]);
      const auto Next = Clock::now() + HeartbeatInterval;
      while (Alive && Clock::now() < Next && !HeartNow.exchange(false))
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  }

  const WorkerSettings Settings;
  Record &Log;
  HttpServer Server;
  std::thread Timer;
  std::thread Heart;
  std::atomic<bool> Alive = false;
  std::atomic<bool> Draining = false;
  std::atomic<bool> DrainConfirmed = false;
  std::atomic<bool> HeartNow = false;
  int64_t Born = 0;
  Clock::time_point StartedAt;
  uint64_t Sequence = 0;

  std::mutex Mutex;
  std::condition_variable Changed;
  /// The rest is guarded by Mutex.
  uint64_t HighestToken = 0;
  int64_t LeaseEndMs = 0;
  int64_t CpuInUse = 0;
  uint64_t LastEnd = 0;
  std::map<std::string, ActiveRun> Running;
  std::map<std::string, uint64_t> HighestRun;
  std::deque<Ended> Finished;
  std::optional<double> LastOrderAt;
  double LateShare = 0;
  Clock::time_point LateUntil;
  std::mt19937 Random{std::random_device{}()};
};

} // namespace review

#endif // REVIEW_KIT3_WORKER_H
