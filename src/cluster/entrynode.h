#ifndef SAPPHIREMOOR_CLUSTER_ENTRYNODE_H
#define SAPPHIREMOOR_CLUSTER_ENTRYNODE_H

#include "cluster/clusterbus.h"
#include "framework/core/random.h"
#include "framework/metrics/registry.h"
#include "framework/net/stallwatch.h"
#include "routing/routingtable.h"
#include "versionregister/types/registervalue.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sapphiremoor {

/// Builds a routing table from a configuration document.
using RoutingTableReader =
    std::function<Result<RoutingTable>(const VersionedDocument &)>;

/// An entry VM: keeps the routing table in force, hands jobs to dispatchers and
/// passes their answers to the callers.
class EntryNode {
public:
  using JobHandler = std::function<void(const JobAnswer &)>;
  /// The status is absent if a dispatcher that might know the job was not
  /// reached.
  using StatusHandler = std::function<void(std::optional<JobStatus>)>;
  enum class CancelResult {
    /// The job has ended for good.
    Ended,
    UnknownJob,
    /// The VM that runs the job could not be asked or has not answered.
    Unreachable,
  };
  using CancelHandler = std::function<void(CancelResult)>;
  /// The count is absent if a dispatcher was not reached.
  using CountHandler = std::function<void(std::optional<uint64_t>)>;

  EntryNode(EventLoop &Loop, const ClusterSettings &Settings,
            RoutingTableReader ReadTable);

  Result<Done> start();

  /// Returns true if the load balancer should send callers to this VM.
  bool isReady() const;
  /// Returns the routing table of the configuration in force, if one is known.
  const std::optional<RoutingTable> &table() const { return Table; }

  /// Hands a job to a dispatcher. \p Handler is called once, perhaps before
  /// this function returns. Returns the number of the request, for abandon().
  uint64_t submit(const JobSubmission &Submission, JobHandler Handler);
  /// Called when the caller of \p Request has disconnected. A job that is not
  /// stored ends; its caller may send it again to any entry VM.
  void abandon(uint64_t Request);
  void query(const std::string &Job, StatusHandler Handler);
  void cancel(const std::string &Job, CancelHandler Handler);
  /// Counts the jobs of \p Queue that have not started.
  void countPending(const std::string &Queue, CountHandler Handler);

  /// Reports this VM as not ready, so that the load balancer sends callers to
  /// other VMs.
  void drain() { Draining = true; }
  /// Refuses new jobs, because they might not end before this VM stops.
  void refuseNew() { RefusingNew = true; }
  std::size_t openRequests() const { return OpenJobs.size(); }
  void addSeeds(const std::vector<Endpoint> &NewSeeds) {
    Bus.addSeeds(NewSeeds);
  }
  Registry &metrics() { return Metrics; }

private:
  struct OpenJob {
    JobSubmission Submission;
    JobHandler Handler;
    VmId Target;
    Instant ArrivedAt;
    Instant Deadline;
    /// Time at which the link to the target broke.
    std::optional<Instant> LinkLostAt;
    uint8_t Redirects = 0;
  };
  /// A request that was given up and that its dispatcher has not been told to
  /// withdraw yet.
  struct PendingWithdrawal {
    VmId Target;
    WithdrawJob Message;
    /// Time by which the dispatcher has ended the job by itself.
    Instant Expiry;
  };
  /// A query that was sent to several dispatchers.
  struct OpenQuery {
    std::set<VmId> AwaitedProcesses;
    /// Addresses of the VMs that have answered.
    std::set<std::string> AnsweredVms;
    bool Incomplete = false;
    JobStatus BestStatus = JobStatus::Unknown;
    bool JobEnded = false;
    uint64_t PendingJobs = 0;
    StatusHandler OnStatus;
    CancelHandler OnCancel;
    CountHandler OnCount;
    Instant Deadline;
  };

  void handleMessage(const VmId &Sender, const ClusterMessage &Message);
  void handleAnswer(const VmId &Sender, const JobAnswer &Answer);
  void handleQueryAnswer(const VmId &Sender, const JobQueryAnswer &Answer);
  void handleQueryAnswer(const VmId &Sender, const PendingJobsAnswer &Answer);
  /// Records that a VM has answered and returns the query. Returns null if the
  /// query is closed or does not await this VM.
  OpenQuery *recordQueryAnswer(const VmId &Sender, uint64_t Number);
  void handlePeerUp(const VmId &Peer);
  void handlePeerDown(const VmId &Peer);
  void handleHeartbeat(const VmId &Sender, const ClusterHeartbeat &Message);
  void adoptConfiguration(const ChosenValue &Value);
  std::optional<VmId> chooseDispatcher(const std::string &Job) const;
  bool handOver(uint64_t Number, OpenJob &Job, const VmId &Dispatcher,
                bool Resumed = false);
  /// Hands a job to the process that the VM \p DispatcherName has now.
  bool redirect(uint64_t Number, OpenJob &Job,
                const std::string &DispatcherName);
  std::size_t linkedDispatchers() const;
  void finishJob(uint64_t Number, const JobAnswer &Answer);
  /// Answers that the job was given up, and adds a pending withdrawal unless
  /// the job is stored: a stored job runs to its end, and its caller asks for
  /// its status.
  void giveUp(uint64_t Number, JobReason Reason);
  /// Sends the pending withdrawals whose dispatchers can be reached.
  void sendWithdrawals();
  void logAnswer(const OpenJob &Job, const JobAnswer &Answer) const;
  uint64_t
  sendQuery(OpenQuery Query,
            const std::function<ClusterMessage(uint64_t)> &MakeMessage);
  void finishQuery(uint64_t Number);
  /// Returns true if no other VM can know more about the job. Each stored job
  /// is on a majority of the voters, of which this VM may have heard only some.
  bool isComplete(const OpenQuery &Query) const;
  void tick();
  void handleStall();

  EventLoop &Loop;
  const ClusterSettings &Settings;
  RoutingTableReader ReadTable;
  Registry Metrics;
  ClusterBus Bus;
  StallWatch Watch;
  /// Requests are refused until this time, because they may have arrived while
  /// this process was paused.
  Instant RefuseUntil;
  std::optional<RoutingTable> Table;
  Ballot ConfigurationBallot;
  /// Voters of the configuration in force. Stored jobs are on them.
  VoterSet Voters;
  Instant ConfigurationRequestedAt;
  std::map<VmId, DispatchLoad> DispatcherLoads;
  std::map<uint64_t, OpenJob> OpenJobs;
  std::vector<PendingWithdrawal> Withdrawals;
  std::map<uint64_t, OpenQuery> OpenQueries;
  uint64_t NextNumber = 1;
  bool Draining = false;
  bool RefusingNew = false;
  bool WasReady = false;
  Timer TickTimer;
  Counter &SubmittedJobs;
  LatencyHistogram &JobLatency;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CLUSTER_ENTRYNODE_H
