#ifndef SAPPHIREMOOR_BENCH_DECISIONS_SIMULATION_H
#define SAPPHIREMOOR_BENCH_DECISIONS_SIMULATION_H

/// \file
/// Drives the placement decisions with a trace in simulated time: an event
/// queue over one dispatcher and the slots of the workers.

#include "outcome.h"
#include "trace.h"

#include "placement/placement.h"

#include <memory>
#include <queue>
#include <vector>

namespace sapphiremoor::bench {

/// One run of the placement decisions over a trace.
struct SimulationSetup {
  ServiceWeight Weight = ServiceWeight::ResponseTime;
  uint32_t TeamCount = 8;
  PlacementLimits Limits{};
  /// Faults that begin at FaultsAt and persist.
  Duration FaultsAt = Duration::max();
  uint32_t Killed = 0;
  uint32_t FailAll = 0;
  uint32_t Stragglers = 0;
  /// The dispatcher takes over at the start, while all slots hold tasks of its
  /// predecessor, and says so to placement or not.
  bool Takeover = false;
  bool AssumeBusySlots = false;
};

class Simulation {
public:
  Simulation(const Trace &Jobs, const SimulationSetup &Setup);

  RunOutcome run();

private:
  enum class EventKind : uint8_t {
    Arrive,
    Reach,
    End,
    Answer,
    Wake,
    Faults,
    ForeignEnd
  };

  struct Event {
    Duration At{0};
    uint64_t Order = 0;
    EventKind Kind = EventKind::Wake;
    uint32_t Subject = 0;

    bool operator>(const Event &Other) const {
      return std::pair(At, Order) > std::pair(Other.At, Other.Order);
    }
  };

  struct Worker {
    bool Dead = false;
    bool FailsAll = false;
    int64_t Slowness = 1;
    std::vector<uint32_t> Running;
    /// Tasks of the predecessor.
    uint32_t Foreign = 0;
  };

  /// One start message and what came of it.
  struct Sent {
    TaskStart Start;
    uint32_t Worker = 0;
    Duration SentAt{0};
    TaskOutcome Outcome = TaskOutcome::Succeeded;
    bool Lost = false;
  };

  struct OpenJob {
    std::size_t Left = 0;
    std::vector<bool> Ran;
    std::vector<bool> Answered;
  };

  void post(Duration At, EventKind Kind, uint32_t Subject);
  void handle(const Event &Next);
  void arrive(uint32_t Job);
  void reach(uint32_t Id);
  void endTask(uint32_t Id);
  void answer(uint32_t Id);
  void beginFaults();
  void takeOver();
  void finish(uint32_t Job, JobEnd End);
  void startTasks();

  const Trace &Jobs;
  SimulationSetup Setup;
  PlacementState State;
  std::vector<Worker> Workers;
  std::vector<Sent> Messages;
  std::vector<uint32_t> FreeMessages;
  std::vector<OpenJob> Open;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> Events;
  RunOutcome Outcome;
  Duration Now{0};
  Duration NextWake = Duration::max();
  uint64_t Order = 0;
};

} // namespace sapphiremoor::bench

#endif // SAPPHIREMOOR_BENCH_DECISIONS_SIMULATION_H
