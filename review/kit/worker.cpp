#include "worker.h"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iostream>

namespace review {

using nlohmann::json;

namespace {

constexpr int64_t HeartbeatMs = 1500;
constexpr int64_t MaxHoldMs = 1000;
constexpr int64_t MaxWaitMs = 2000;
constexpr std::size_t MaxListedEnds = 500;

} // namespace

Record::~Record() {
  std::ofstream File(Path);
  for (const std::string &Line : Lines)
    File << Line << "\n";
}

void Record::add(const std::string &Line) {
  const std::lock_guard Lock(Mutex);
  Lines.push_back(std::to_string(elapsedMs()) + " ms  " + Line);
}

void RunLog::start(const RunHistory &Run) {
  const std::lock_guard Lock(Mutex);
  Runs.push_back(Run);
}

void RunLog::end(const std::string &Worker, const std::string &Task,
                 uint64_t Run, const std::string &How) {
  const std::lock_guard Lock(Mutex);
  const auto It = std::ranges::find_if(Runs, [&](const RunHistory &Entry) {
    return Entry.Worker == Worker && Entry.Task == Task && Entry.Run == Run &&
           Entry.EndMs == 0;
  });
  if (It == Runs.end())
    return;
  It->EndMs = nowMs();
  It->How = How;
}

std::vector<RunHistory> RunLog::runs() const {
  const std::lock_guard Lock(Mutex);
  return Runs;
}

Worker::Worker(WorkerOptions Options, Record &Events, RunLog &Runs)
    : Options(std::move(Options)), Events(Events), Runs(Runs), BornAt(nowMs()),
      BornUnixMs(std::chrono::duration_cast<std::chrono::milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count()) {
  Server = std::make_unique<HttpServer>(
      this->Options.Where,
      [this](const HttpRequest &Request) { return handle(Request); });
  Ticker = std::thread([this] {
    std::unique_lock Lock(Mutex);
    while (!Closing) {
      endDueRuns();
      Changed.wait_for(Lock, std::chrono::milliseconds(2));
    }
  });
  Reporter = std::thread([this] { report(); });
}

Worker::~Worker() {
  {
    const std::lock_guard Lock(Mutex);
    Closing = true;
    for (const auto &[Task, Run] : Active)
      Runs.end(Options.Id, Task, Run.Run, "worker ended");
  }
  Changed.notify_all();
  Ticker.join();
  Server.reset();
  Reporter.join();
}

HttpAnswer Worker::reply(int Status, json Body) const {
  Body["wall_clock_ms"] = clockMs();
  return {Status, Body.dump()};
}

HttpAnswer Worker::handle(const HttpRequest &Request) {
  std::unique_lock Lock(Mutex);
  if (Closing)
    return {};
  const auto Expected = Request.Headers.find("x-expected-instance");
  if (Expected != Request.Headers.end() && Expected->second != Options.Id)
    return reply(421, json::object());
  const json Body = json::parse(Request.Body, nullptr, false);
  if (Request.Method != "POST" || !Body.is_object())
    return reply(400, json::object());
  if (OwnerOnly && Body.value("fencing_token", uint64_t{0}) != HighestToken)
    return {};
  if (!acceptToken(Body))
    return reply(409, {{"reason", "fence"}});
  if (Request.Path == "/api/run-start")
    return startRun(Body);
  if (Request.Path == "/api/run-stop")
    return stopRun(Body);
  if (Request.Path == "/api/hold")
    return hold(Body, Lock);
  return reply(404, json::object());
}

bool Worker::acceptToken(const json &Body) {
  const uint64_t Token = Body.value("fencing_token", uint64_t{0});
  if (Token < HighestToken)
    return false;
  HighestToken = Token;
  return true;
}

void Worker::extendLease(const json &Body) {
  const int64_t Now = clockMs();
  endDueRuns();
  const int64_t End =
      std::min(Body.value("expires_at_ms", int64_t{0}), Now + MaxHoldMs);
  LeaseEndMs = std::max(LeaseEndMs, End);
}

HttpAnswer Worker::startRun(const json &Body) {
  const std::string Task = Body.at("task");
  const uint64_t Run = Body.at("run");
  const std::string Spec = Body.at("spec");
  extendLease(Body);
  const auto ActiveIt = Active.find(Task);
  if (ActiveIt != Active.end() && ActiveIt->second.Run == Run)
    return reply(200, json::object());
  if (ActiveIt != Active.end() || HighestEnded[Task] >= Run)
    return reply(409, {{"reason", "old"}});
  if (Body.value("expires_at_ms", int64_t{0}) <= clockMs())
    return reply(409, {{"reason", "late"}});
  Active[Task] = {Run, nowMs(), std::stoll(Spec)};
  Runs.start({Options.Id, Task, Run, Spec.substr(0, 40), nowMs(), 0, ""});
  Events.add(Options.Id + " starts " + Task + " run " + std::to_string(Run));
  return reply(200, json::object());
}

HttpAnswer Worker::stopRun(const json &Body) {
  const std::string Task = Body.at("task");
  const uint64_t Run = Body.at("run");
  endDueRuns();
  HighestEnded[Task] = std::max(HighestEnded[Task], Run);
  const auto It = Active.find(Task);
  if (It != Active.end() && It->second.Run == Run)
    endRun(Task, "stopped");
  return reply(200, json::object());
}

HttpAnswer Worker::hold(const json &Body, std::unique_lock<std::mutex> &Lock) {
  extendLease(Body);
  const uint64_t Cursor = Body.value("ack_cursor", uint64_t{0});
  while (!Ended.empty() && Ended.front().Number <= Cursor) {
    Ended.pop_front();
  }
  const int64_t WaitMs = std::min(Body.value("wait_ms", int64_t{0}), MaxWaitMs);
  Changed.wait_for(Lock, std::chrono::milliseconds(WaitMs),
                   [this] { return Closing || !Ended.empty(); });
  json Running = json::array();
  for (const auto &[Task, Run] : Active)
    Running.push_back(
        {Task, Run.Run, "",
         std::min<int64_t>(99, (nowMs() - Run.StartedAt) * 100 /
                                   std::max<int64_t>(Run.LengthMs, 1)),
         0});
  json Finished = json::array();
  for (const EndedRun &End : Ended) {
    if (Finished.size() == MaxListedEnds)
      break;
    Finished.push_back({End.Number, End.Task, End.Run, End.How, ""});
  }
  return reply(
      200,
      {{"running", Running}, {"finished", Finished}, {"born", BornUnixMs}});
}

void Worker::endRun(const std::string &Task, const std::string &How) {
  const uint64_t Run = Active.at(Task).Run;
  Active.erase(Task);
  HighestEnded[Task] = std::max(HighestEnded[Task], Run);
  Ended.push_back({NextEnd++, Task, Run, How});
  Runs.end(Options.Id, Task, Run, How);
  Events.add(Options.Id + " ends " + Task + " run " + std::to_string(Run) +
             " " + How);
  Changed.notify_all();
}

void Worker::endDueRuns() {
  std::vector<std::pair<std::string, std::string>> Due;
  for (const auto &[Task, Run] : Active) {
    if (nowMs() - Run.StartedAt >= Run.LengthMs)
      Due.emplace_back(Task, "done");
    else if (clockMs() > LeaseEndMs)
      Due.emplace_back(Task, "lapsed");
  }
  for (const auto &[Task, How] : Due)
    endRun(Task, How);
}

void Worker::report() {
  uint64_t Sequence = 0;
  std::size_t Target = 0;
  std::unique_lock Lock(Mutex);
  while (!Closing) {
    const json Body = {
        {"service", Options.Service},
        {"address", text(Options.Where)},
        {"zone", Options.Zone},
        {"version", "v1"},
        {"slots", 8},
        {"state", "ready"},
        {"cold_remaining_ms", 0},
        {"capacity",
         {{"cpu", Options.Cpu}, {"mem_mb", Options.MemoryMb}, {"gpus", 0}}},
        {"labels", Options.Labels},
        {"wall_clock_ms", clockMs()},
        {"born", BornUnixMs},
        {"sequence", ++Sequence}};
    const HttpRequest Request{"POST",
                              "/api/instances/" + Options.Id + "/heartbeat",
                              {{"Host", Options.Controls[Target].Ip}},
                              Body.dump()};
    Lock.unlock();
    const HttpAnswer Answer = callHttp(Options.Controls[Target], Request, 1000);
    Lock.lock();
    if (Answer.Status < 200 || Answer.Status > 299) {
      Target = (Target + 1) % Options.Controls.size();
      Changed.wait_for(Lock, std::chrono::milliseconds(50));
      continue;
    }
    const int64_t Next = nowMs() + HeartbeatMs;
    while (!Closing && nowMs() < Next)
      Changed.wait_for(Lock, std::chrono::milliseconds(50));
  }
}

} // namespace review
