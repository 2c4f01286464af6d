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

/// Runs the dispatcher of a control VM: sends its orders to backend servers and
/// its answers to entry VMs.
class DispatchService {
public:
  /// Callbacks that store jobs and answer requests for stored jobs.
  struct StoredJobHandlers {
    /// Answers a request for a job that is stored already. Returns false if the
    /// job is not stored.
    std::function<bool(const JobSubmission &, const JobSource &)> AnswerKnown;
    std::function<void(const StoreJob &)> Store;
    std::function<void(const JobProgressed &)> StoreProgress;
    std::function<void(const RunEnded &)> HandleRunEnd;
    /// Answers a query about any job that is not an in-memory job of this VM.
    std::function<void(const VmId &, const JobQuery &)> Query;
    /// Drops what waits for a process that has ended or become unreachable.
    std::function<void(const VmId &)> DropSource;
  };
  struct Callbacks {
    /// Called after this VM has acquired or lost a backend server.
    std::function<void(const OwnershipChanged &)> OnOwnershipChange;
    /// Checks whether this process was paused, before an answer is processed.
    std::function<void()> CheckStall;
    StoredJobHandlers StoredJobs;
  };

  DispatchService(EventLoop &Loop, const ClusterSettings &Settings,
                  ClusterBus &Bus, BackendOrders Orders, Registry &Metrics,
                  Callbacks Handlers);

  void start();
  /// Checks whether this process was paused, and gives up its jobs if it was.
  /// Every event that may start tasks or acquire backend servers has to call
  /// this first, because leases may have expired during the pause.
  void checkStall() { Handlers.CheckStall(); }
  /// Refuses new jobs from now on.
  void drain() { Draining = true; }

  void submit(const VmId &Sender, const SubmitJob &Message);
  void withdraw(const VmId &Sender, const WithdrawJob &Message);
  void query(const VmId &Sender, const JobQuery &Message);
  void queryPending(const VmId &Sender, const PendingJobsQuery &Message);
  void handlePeerUp(const VmId &Peer);
  void handlePeerDown(const VmId &Peer);
  /// Called after a pause of this process: abandons all jobs that entry VMs
  /// have submitted, and places tasks on a backend server after its next run
  /// list only.
  void handleStall();
  void updatePeerLoad(const ClusterHeartbeat &Message);

  /// Sends the answer to a request for a job.
  void answer(const JobAnswer &Answer) { perform(Answer); }
  Dispatcher &dispatcher() { return JobDispatcher; }
  /// Performs the effects that the dispatcher has produced since the last call.
  void run();

private:
  void perform(const StartOrder &Order);
  void perform(const StopOrder &Order);
  void perform(const PollOrder &Order);
  void perform(const JobAnswer &Answer);
  void perform(const OwnershipChanged &Change);
  void perform(const RunDecision &Decision);
  void perform(const AdmissionRefused &Decision);
  void perform(const EndsReportedAgain &Ends);
  void perform(const StoreJob &Effect) { Handlers.StoredJobs.Store(Effect); }
  void perform(const JobProgressed &Effect) {
    Handlers.StoredJobs.StoreProgress(Effect);
  }
  void perform(const RunEnded &Effect) {
    Handlers.StoredJobs.HandleRunEnd(Effect);
  }
  /// Abandons all requests of a process.
  void dropSource(const VmId &Process);
  void tick();

  EventLoop &Loop;
  ClusterBus &Bus;
  BackendOrders Orders;
  Callbacks Handlers;
  Dispatcher JobDispatcher;
  bool Draining = false;
  bool Running = false;
  /// Processes whose link is down, and since when.
  std::map<VmId, Instant> LostSources;
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
