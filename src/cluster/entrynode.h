#ifndef SAPPHIREMOOR_CLUSTER_ENTRYNODE_H
#define SAPPHIREMOOR_CLUSTER_ENTRYNODE_H

#include "cluster/clusterbus.h"
#include "framework/core/random.h"
#include "framework/metrics/registry.h"
#include "framework/net/stallwatch.h"
#include "routing/routingtable.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace sapphiremoor {

/// Reads a configuration document.
using TableReader =
    std::function<Result<RoutingTable>(const VersionedDocument &)>;

/// An entry VM: finds the queue of a request, hands jobs to dispatchers and
/// passes their answers on.
class EntryNode {
public:
  using JobHandler = std::function<void(const JobAnswer &)>;
  /// Absent: some dispatcher that might know could not be asked.
  using StatusHandler = std::function<void(std::optional<JobStatus>)>;
  enum class CancelResult {
    /// The job has ended for good.
    Ended,
    UnknownJob,
    /// The VM that runs the job could not be asked, or has not answered.
    Unreachable,
  };
  using CancelHandler = std::function<void(CancelResult)>;
  using CountHandler = std::function<void(std::optional<uint64_t>)>;

  EntryNode(EventLoop &Loop, const ClusterSettings &Of, TableReader ReadTable);

  Result<Done> start();

  /// True if callers should be sent here.
  bool ready() const;
  /// The configuration in force, if any is known.
  const std::optional<RoutingTable> &table() const { return Table; }

  void submit(const JobSubmission &Request, JobHandler Handler);
  void query(const std::string &Job, StatusHandler Handler);
  void cancel(const std::string &Job, CancelHandler Handler);
  /// Counts the jobs of \p Queue that have not started.
  void pending(const std::string &Queue, CountHandler Handler);

  /// Tells the balancer that callers should go elsewhere.
  void drain() { Draining = true; }
  /// Refuses further jobs: they might not end before this VM does.
  void refuseNew() { Refusing = true; }
  std::size_t openRequests() const { return Open.size(); }
  void addSeeds(const std::vector<Endpoint> &Seeds) { Bus.addSeeds(Seeds); }
  Registry &metrics() { return Metrics; }

private:
  struct OpenJob {
    JobSubmission Request;
    JobHandler Handler;
    VmId Target;
    Instant Arrived;
    Instant Deadline;
    /// The link to the target broke at this time.
    std::optional<Instant> LostAt;
    uint8_t Redirects = 0;
  };
  /// A question to several dispatchers.
  struct OpenQuery {
    std::set<std::string> Asked;
    bool Incomplete = false;
    JobStatus Best = JobStatus::Unknown;
    bool Ended = false;
    uint64_t Sum = 0;
    StatusHandler OnStatus;
    CancelHandler OnCancel;
    CountHandler OnCount;
    Instant Deadline;
  };

  void received(const VmId &From, const ClusterMessage &Message);
  void answered(const VmId &From, const JobAnswer &Answer);
  void queryAnswered(const VmId &From, const JobQueryAnswer &Answer);
  void queryAnswered(const VmId &From, const PendingAnswer &Answer);
  /// Notes that a VM has answered and returns its question, if it is open.
  OpenQuery *answeredQuery(const VmId &From, uint64_t Number);
  void peerUp(const VmId &Peer);
  void peerDown(const VmId &Peer);
  void configurationTold(const VmId &From, const ClusterHeartbeat &Message);
  void adopt(const ChosenValue &Value);
  std::optional<std::string> chooseDispatcher(const std::string &Job) const;
  bool handOver(uint64_t Number, OpenJob &Of, const std::string &To,
                bool Resumed = false);
  void finish(uint64_t Number, const JobAnswer &Answer);
  void logAnswer(const OpenJob &Of, const JobAnswer &Answer) const;
  uint64_t ask(OpenQuery Query,
               const std::function<ClusterMessage(uint64_t)> &Message);
  void finishQuery(uint64_t Number);
  void tick();
  void stalled();

  EventLoop &Loop;
  const ClusterSettings &Of;
  TableReader ReadTable;
  Registry Metrics;
  ClusterBus Bus;
  StallWatch Watch;
  /// Requests that arrived while this VM stood still are refused until then.
  Instant RefuseUntil;
  std::optional<RoutingTable> Table;
  Ballot Configuration;
  Instant ConfigurationAsked;
  std::map<std::string, DispatchLoad> Loads;
  std::map<std::string, uint64_t> Linked;
  std::map<uint64_t, OpenJob> Open;
  std::map<uint64_t, OpenQuery> Queries;
  uint64_t NextNumber = 1;
  bool Draining = false;
  bool Refusing = false;
  bool WasReady = false;
  Timer TickTimer;
  Counter &Submitted;
  LatencyHistogram &Latency;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CLUSTER_ENTRYNODE_H
