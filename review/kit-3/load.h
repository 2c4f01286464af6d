#ifndef REVIEW_KIT3_LOAD_H
#define REVIEW_KIT3_LOAD_H

// Steady traffic of jobs that have to be kept, and the questions at its end.

#include "deployment.h"

#include <random>

namespace review {

struct LoadSettings {
  std::vector<double> JobsPerSecond = {10, 10, 10};
  /// So many jobs are sent at once.
  int Batch = 1;
  int Width = 3;
  int Steps = 1;
  int WorkMs = 200;
  int Cpu = 8000;
  double CancelShare = 0;
  unsigned Seed = 1;
  uint64_t FirstNumber = 0;
};

struct SentJob {
  std::string Id;
  std::size_t Zone = 0;
  bool Accepted = false;
  double AcceptedAt = 0;
  bool CancelSent = false;
  double CancelledAt = -1;
};

class Load {
public:
  Load(Deployment &System, Record &Log, LoadSettings Settings)
      : System(System), Log(Log), Settings(std::move(Settings)) {}

  void start() {
    Going = true;
    for (std::size_t Zone = 0; Zone < Settings.JobsPerSecond.size(); ++Zone)
      Threads.emplace_back([this, Zone] { feed(Zone); });
  }

  void stop() {
    Going = false;
    for (std::thread &Thread : Threads)
      Thread.join();
    while (Open > 0)
      pause(0.05);
  }

  Json body() const {
    Json Steps = Json::array();
    for (int Step = 0; Step < Settings.Steps; ++Step) {
      Json Each = {{"count", Settings.Width},
                   {"cpu", Settings.Cpu},
                   {"mem_mb", 64},
                   {"estimate_ms", Settings.WorkMs}};
      if (Step > 0)
        Each["depends_on"] = {Step - 1};
      Steps.push_back(Each);
    }
    return {{"spec",
             Json{{"work_ms", Settings.WorkMs}, {"cpu", Settings.Cpu}}.dump()},
            {"steps", Steps}};
  }

  std::vector<SentJob> jobs() {
    const std::lock_guard Lock(Mutex);
    return Jobs;
  }

private:
  void feed(std::size_t Zone) {
    std::mt19937 Random(Settings.Seed * 100 + static_cast<unsigned>(Zone));
    uint64_t Number = (Zone + 1) * 1000000 + Settings.FirstNumber;
    auto Next = Clock::now();
    while (Going) {
      Next += std::chrono::duration_cast<Clock::duration>(
          std::chrono::duration<double>(Settings.Batch /
                                        Settings.JobsPerSecond[Zone]));
      std::this_thread::sleep_until(Next);
      for (int Each = 0; Each < Settings.Batch; ++Each) {
        const bool Cancels = std::uniform_real_distribution<>(0, 1)(Random) <
                             Settings.CancelShare;
        ++Open;
        std::thread([this, Zone, Id = jobId(++Number), Cancels] {
          one(Zone, Id, Cancels);
          --Open;
        }).detach();
      }
    }
  }

  void one(std::size_t Zone, const std::string &Id, bool Cancels) {
    Client Caller(System, Log);
    const int Status = Caller.submit(Zone, Id, body());
    SentJob Job{Id, Zone, Status / 100 == 2, Log.now(), false, -1};
    if (Job.Accepted && Cancels) {
      pause(0.1);
      Job.CancelSent = true;
      for (int Try = 0; Try < 20 && Job.CancelledAt < 0; ++Try) {
        const auto Entries = System.entries(Zone);
        const int Answer =
            Caller.ask(*Entries[Try % Entries.size()], "DELETE", Id, "").Status;
        if (Answer / 100 == 2 || Answer == 410)
          Job.CancelledAt = Log.now();
        else
          pause(0.3);
      }
    }
    const std::lock_guard Lock(Mutex);
    Jobs.push_back(Job);
  }

  Deployment &System;
  Record &Log;
  const LoadSettings Settings;
  std::atomic<bool> Going = false;
  std::atomic<int> Open = 0;
  std::vector<std::thread> Threads;
  std::mutex Mutex;
  std::vector<SentJob> Jobs;
};

/// LOST: asks for all accepted jobs finish_s after the end of the traffic, and
/// returns how many of those that nobody cancelled aren't done.
inline int countNotDone(Deployment &System, Record &Log,
                        const std::vector<SentJob> &Jobs) {
  Client Caller(System, Log);
  int NotDone = 0;
  int Accepted = 0;
  for (const SentJob &Job : Jobs) {
    if (!Job.Accepted)
      continue;
    ++Accepted;
    if (Job.CancelSent)
      continue;
    std::string State;
    for (int Try = 0; Try < 10; ++Try) {
      State = Caller.state(Job.Zone, Job.Id);
      if (State != "none")
        break;
      pause(0.3);
    }
    if (State == "done")
      continue;
    if (++NotDone <= 200)
      Log.line("LOST %s is %s, accepted at %.3f", Job.Id.c_str(), State.c_str(),
               Job.AcceptedAt);
  }
  Log.say(std::to_string(Accepted) + " of " + std::to_string(Jobs.size()) +
          " jobs accepted, " + std::to_string(NotDone) + " not done");
  return NotDone;
}

/// LOST: finish_s after the end of the traffic, watches for 3 s, and returns
/// the number of accepted jobs that had nothing running all the while, though
/// they aren't done, there was capacity twice over for a task of Cpu on the
/// workers with Label, and under half of the service's capacity was in use. The
/// caller names jobs of which the turn of such a task has come.
inline int countLeftWaiting(Deployment &System, Record &Log,
                            const std::vector<SentJob> &Jobs, int Cpu,
                            const std::string &Label = "") {
  constexpr double WatchSeconds = 3;
  const double From = Log.now();
  bool HadRoom = true;
  while (Log.now() - From < WatchSeconds) {
    int64_t InUse = 0;
    int64_t Capacity = 0;
    int64_t Slots = 0;
    for (const auto &Each : System.Workers) {
      if (!Each->isAlive())
        continue;
      InUse += Each->cpuInUse();
      Capacity += Each->settings().Cpu;
      if (Label.empty() || Each->settings().Kind == Label)
        Slots += (Each->settings().Cpu - Each->cpuInUse()) / Cpu;
    }
    HadRoom = HadRoom && InUse * 2 < Capacity && Slots >= 2;
    pause(0.05);
  }
  std::set<std::string> HadRun;
  {
    const std::lock_guard Lock(Log.Mutex);
    for (const RunRecord &Run : Log.Runs)
      if (Run.EndedAt < 0 || Run.EndedAt >= From)
        HadRun.insert(Run.job());
  }
  // A question may take as long as a client waits.
  constexpr double AskSeconds = 20;
  const double AskFrom = Log.now();
  Client Caller(System, Log);
  int Left = 0;
  for (const SentJob &Job : Jobs) {
    if (!Job.Accepted || Job.CancelSent || HadRun.contains(Job.Id) ||
        Log.now() - AskFrom > AskSeconds)
      continue;
    const std::string State = Caller.state(Job.Zone, Job.Id);
    if (State == "done" || State == "none")
      continue;
    if (HadRoom && ++Left <= 1000)
      Log.line("LOST %s is %s, accepted at %.3f, nothing running from %.3f on",
               Job.Id.c_str(), State.c_str(), Job.AcceptedAt, From);
  }
  Log.say(std::to_string(Left) +
          " accepted jobs aren't done and have had nothing running for 3 s" +
          (HadRoom ? "" : " (no room)"));
  return Left;
}

} // namespace review

#endif // REVIEW_KIT3_LOAD_H
