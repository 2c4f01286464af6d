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
  struct StoredJobs {
    /// Answers a request for a job that was stored before; false if it was not.
    std::function<bool(const JobSubmission &, const JobSource &)> Known;
    std::function<void(const StoreJob &)> Store;
    std::function<void(const JobProgressed &)> Progress;
    std::function<void(const RunEnded &)> End;
    /// Answers a query about a job that this VM does not run in memory.
    std::function<void(const VmId &, const JobQuery &)> Query;
  };
  struct Callbacks {
    /// A backend server was taken or given up.
    std::function<void(const OwnershipChanged &)> Ownership;
    /// Looks whether this VM stood still, before an answer is acted on.
    std::function<void()> CheckStall;
    StoredJobs Stored;
  };

  DispatchService(EventLoop &Loop, const ClusterSettings &Of, ClusterBus &Bus,
                  BackendOrders Orders, Registry &Metrics, Callbacks Calls);

  void start();
  /// Takes no more jobs.
  void drain() { Draining = true; }

  void submit(const VmId &From, const SubmitJob &Message);
  void query(const VmId &From, const JobQuery &Message);
  void pending(const VmId &From, const PendingQuery &Message);
  void peerUp(const VmId &Peer);
  void peerDown(const VmId &Peer);
  /// Gives up all jobs of all entry VMs.
  void abandonAll();
  void peerLoad(const ClusterHeartbeat &Message);

  /// Answers a request for a job.
  void answer(const JobAnswer &Answer) { perform(Answer); }
  Dispatcher &dispatcher() { return Decisions; }
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
  void perform(const StoreJob &Effect) { Calls.Stored.Store(Effect); }
  void perform(const JobProgressed &Effect) { Calls.Stored.Progress(Effect); }
  void perform(const RunEnded &Effect) { Calls.Stored.End(Effect); }
  void tick();

  EventLoop &Loop;
  ClusterBus &Bus;
  BackendOrders Orders;
  Callbacks Calls;
  Dispatcher Decisions;
  bool Draining = false;
  bool Running = false;
  std::map<std::string, uint64_t> Incarnations;
  std::map<std::string, LostSource> Lost;
  DispatchLimits Limits;
  Timer TickTimer;
  Counter &Submitted;
  Counter &Started;
  Counter &Refused;
  Counter &Redirected;
  Counter &AcceptedJobs;
  Counter &CompletedJobs;
  Counter &FailedJobs;
  Counter &GivenUpJobs;
  LatencyHistogram &StartLatency;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CLUSTER_DISPATCHSERVICE_H
