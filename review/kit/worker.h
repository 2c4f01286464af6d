#ifndef SAPPHIREMOOR_REVIEW_KIT_WORKER_H
#define SAPPHIREMOOR_REVIEW_KIT_WORKER_H

#include "http.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

/// Collects what was sent, answered and run, and writes it to a file.
class Record {
public:
  explicit Record(std::string Path) : Path(std::move(Path)), Start(nowMs()) {}
  ~Record();
  Record(const Record &) = delete;
  Record &operator=(const Record &) = delete;

  /// Adds a line with the time since the start in milliseconds.
  void add(const std::string &Line);
  int64_t elapsedMs() const { return nowMs() - Start; }

private:
  std::string Path;
  int64_t Start;
  std::mutex Mutex;
  std::vector<std::string> Lines;
};

/// One run of a task, as the worker that carried it out saw it.
struct RunHistory {
  std::string Worker;
  std::string Task;
  uint64_t Run = 0;
  std::string Spec;
  int64_t StartMs = 0;
  /// 0 while the run is active.
  int64_t EndMs = 0;
  std::string How;
};

/// The runs on all workers.
class RunLog {
public:
  void start(const RunHistory &Run);
  void end(const std::string &Worker, const std::string &Task, uint64_t Run,
           const std::string &How);
  std::vector<RunHistory> runs() const;

private:
  mutable std::mutex Mutex;
  std::vector<RunHistory> Runs;
};

struct WorkerOptions {
  std::string Id;
  std::string Service;
  std::string Zone;
  Address Where;
  int64_t Cpu = 0;
  int64_t MemoryMb = 0;
  std::vector<std::string> Labels;
  /// Addresses that take liveness reports, the preferred one first.
  std::vector<Address> Controls;
};

/// A worker that follows the pages. A task takes the number of milliseconds
/// that its spec begins with.
class Worker {
public:
  Worker(WorkerOptions Options, Record &Events, RunLog &Runs);
  /// Ends like a crashed process: reports nothing, resets its connections.
  ~Worker();
  Worker(const Worker &) = delete;
  Worker &operator=(const Worker &) = delete;

  /// While set, only orders of the present owner get through. Stands for a
  /// network partition between this worker and the other control VMs.
  std::atomic<bool> OwnerOnly = false;

private:
  struct ActiveRun {
    uint64_t Run = 0;
    int64_t StartedAt = 0;
    int64_t LengthMs = 0;
  };
  struct EndedRun {
    uint64_t Number = 0;
    std::string Task;
    uint64_t Run = 0;
    std::string How;
  };

  HttpAnswer handle(const HttpRequest &Request);
  HttpAnswer startRun(const nlohmann::json &Body);
  HttpAnswer stopRun(const nlohmann::json &Body);
  HttpAnswer hold(const nlohmann::json &Body, std::unique_lock<std::mutex> &);
  bool acceptToken(const nlohmann::json &Body);
  void extendLease(const nlohmann::json &Body);
  HttpAnswer reply(int Status, nlohmann::json Body) const;
  void endRun(const std::string &Task, const std::string &How);
  void endDueRuns();
  void report();
  int64_t clockMs() const { return nowMs() - BornAt + ClockOffsetMs; }

  static constexpr int64_t ClockOffsetMs = 100'000;

  WorkerOptions Options;
  Record &Events;
  RunLog &Runs;
  int64_t BornAt;
  int64_t BornUnixMs;
  std::mutex Mutex;
  std::condition_variable Changed;
  bool Closing = false;
  uint64_t HighestToken = 0;
  int64_t LeaseEndMs = 0;
  uint64_t NextEnd = 1;
  std::map<std::string, ActiveRun> Active;
  std::map<std::string, uint64_t> HighestEnded;
  std::deque<EndedRun> Ended;
  std::thread Ticker;
  std::thread Reporter;
  std::unique_ptr<HttpServer> Server;
};

} // namespace review

#endif // SAPPHIREMOOR_REVIEW_KIT_WORKER_H
