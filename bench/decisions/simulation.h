#ifndef SAPPHIREMOOR_BENCH_DECISIONS_SIMULATION_H
#define SAPPHIREMOOR_BENCH_DECISIONS_SIMULATION_H

/// \file
/// Simulates the placement decisions for a trace. An event queue in simulated
/// time drives one dispatcher and the slots of the workers.

#include "outcome.h"
#include "trace.h"

#include "placement/placement.h"

#include <memory>
#include <queue>
#include <vector>

namespace sapphiremoor::bench {

/// The parameters of one simulation.
struct SimulationSetup {
  ServiceWeight Weight = ServiceWeight::ResponseTime;
  uint32_t TeamCount = 8;
  PlacementLimits Limits{};
  /// Time at which the faulty workers below become faulty. They stay so.
  Duration FaultStart = Duration::max();
  uint32_t KilledWorkers = 0;
  uint32_t FailingWorkers = 0;
  uint32_t Stragglers = 0;
  /// The dispatcher takes over at the start, while all slots hold tasks of its
  /// predecessor.
  bool Takeover = false;
  /// Tells placement at the takeover that the slots may be busy.
  bool AssumeBusySlots = false;
};

class Simulation {
public:
  Simulation(const Trace &Jobs, const SimulationSetup &Setup);

  SimulationOutcome run();

private:
  enum class EventKind : uint8_t {
    JobArrival,
    StartArrival,
    TaskEnd,
    Answer,
    TimerDue,
    FaultsBegin,
    PredecessorTaskEnd
  };

  struct Event {
    Duration Time{0};
    uint64_t Sequence = 0;
    EventKind Kind = EventKind::TimerDue;
    /// Index of the job, message or worker that the event concerns.
    uint32_t Index = 0;

    bool operator>(const Event &Other) const {
      return std::pair(Time, Sequence) > std::pair(Other.Time, Other.Sequence);
    }
  };

  struct Worker {
    bool Killed = false;
    bool FailsTasks = false;
    int64_t Slowdown = 1;
    /// Ids of the start messages of the running tasks.
    std::vector<uint32_t> RunningIds;
    /// Slots that tasks of the previous dispatcher hold.
    uint32_t PredecessorTasks = 0;
  };

  /// One start message and the outcome of its task.
  struct StartMessage {
    TaskStart Start;
    uint32_t WorkerIndex = 0;
    Duration SendTime{0};
    TaskOutcome Outcome = TaskOutcome::Succeeded;
    bool Lost = false;
  };

  struct OpenJob {
    std::size_t UnfinishedTasks = 0;
    std::vector<bool> Started;
    std::vector<bool> Answered;
  };

  void schedule(Duration Time, EventKind Kind, uint32_t Index);
  void handle(const Event &Next);
  void handleJobArrival(uint32_t Job);
  void handleStartMessage(uint32_t MessageId);
  void handleTaskEnd(uint32_t MessageId);
  void handleAnswer(uint32_t MessageId);
  void beginFaults();
  void takeOver();
  void finishJob(uint32_t Job, JobStatus Status);
  void startTasks();

  const Trace &Jobs;
  SimulationSetup Setup;
  PlacementState State;
  std::vector<Worker> Workers;
  std::vector<StartMessage> Messages;
  std::vector<uint32_t> FreeMessageIds;
  std::vector<OpenJob> OpenJobs;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> Events;
  SimulationOutcome Outcome;
  Duration Now{0};
  Duration NextTimerEvent = Duration::max();
  uint64_t NextSequence = 0;
};

} // namespace sapphiremoor::bench

#endif // SAPPHIREMOOR_BENCH_DECISIONS_SIMULATION_H
