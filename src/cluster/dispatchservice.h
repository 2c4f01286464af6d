#ifndef SAPPHIREMOOR_CLUSTER_DISPATCHSERVICE_H
#define SAPPHIREMOOR_CLUSTER_DISPATCHSERVICE_H

#include "cluster/backendorders.h"
#include "cluster/clusterbus.h"
#include "dispatch/dispatcher.h"
#include "framework/metrics/registry.h"

#include <functional>
#include <map>
#include <string>

namespace sapphiremoor {

/// Runs the dispatcher of a control VM: carries its orders to backend servers
/// and its answers to entry VMs.
class DispatchService {
public:
  /// What becomes of stored jobs.
  struct StoredJobHandlers {
    /// Answers a request for a job that was stored before; false if it was not.
    std::function<bool(const JobSubmission &, const JobSource &)> AnswerKnown;
    std::function<void(const StoreJob &)> Store;
    std::function<void(const JobProgressed &)> StoreProgress;
    std::function<void(const RunEnded &)> HandleRunEnd;
    /// Answers a query about a job that this VM does not run in memory.
    std::function<void(const VmId &, const JobQuery &)> Query;
  };
  struct Callbacks {
    /// A backend server was taken or given up.
    std::function<void(const OwnershipChanged &)> OnOwnershipChange;
    /// Looks whether this VM stood still, before an answer is acted on.
    std::function<void()> CheckStall;
    StoredJobHandlers StoredJobs;
  };

  DispatchService(EventLoop &Loop, const ClusterSettings &Settings,
                  ClusterBus &Bus, BackendOrders Orders, Registry &Metrics,
                  Callbacks Handlers);

  void start();
  /// Takes no more jobs.
  void drain() { Draining = true; }

  void submit(const VmId &Sender, const SubmitJob &Message);
  void query(const VmId &Sender, const JobQuery &Message);
  void queryPending(const VmId &Sender, const PendingJobsQuery &Message);
  void handlePeerUp(const VmId &Peer);
  void handlePeerDown(const VmId &Peer);
  /// Gives up all jobs of all entry VMs.
  void abandonAllJobs();
  void updatePeerLoad(const ClusterHeartbeat &Message);

  /// Answers a request for a job.
  void answer(const JobAnswer &Answer) { perform(Answer); }
  Dispatcher &dispatcher() { return JobDispatcher; }
  /// Carries out what the dispatcher has decided since.
  void run();

private:
  struct LostSource {
    uint64_t Incarnation = 0;
    Instant Since;
  };

  void perform(const StartOrder &Order);
  void perform(const StopOrder &Order);
  void perform(const PollOrder &Order);
  void perform(const JobAnswer &Answer);
  void perform(const OwnershipChanged &Change);
  void perform(const RunDecision &Decision);
  void perform(const AdmissionRefused &Decision);
  void perform(const StoreJob &Effect) { Handlers.StoredJobs.Store(Effect); }
  void perform(const JobProgressed &Effect) {
    Handlers.StoredJobs.StoreProgress(Effect);
  }
  void perform(const RunEnded &Effect) {
    Handlers.StoredJobs.HandleRunEnd(Effect);
  }
  void tick();

  EventLoop &Loop;
  ClusterBus &Bus;
  BackendOrders Orders;
  Callbacks Handlers;
  Dispatcher JobDispatcher;
  bool Draining = false;
  bool Running = false;
  std::map<std::string, uint64_t> Incarnations;
  std::map<std::string, LostSource> LostSources;
  DispatchLimits Limits;
  Timer TickTimer;
  Counter &SubmittedJobs;
  Counter &SentStarts;
  Counter &RefusedJobs;
  Counter &RedirectedJobs;
  Counter &AcceptedJobs;
  Counter &CompletedJobs;
  Counter &FailedJobs;
  Counter &GivenUpJobs;
  LatencyHistogram &StartLatency;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CLUSTER_DISPATCHSERVICE_H
