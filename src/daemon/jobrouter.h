#ifndef SAPPHIREMOOR_DAEMON_JOBROUTER_H
#define SAPPHIREMOOR_DAEMON_JOBROUTER_H

#include "daemon/claimservice.h"
#include "daemon/jobexecutor.h"
#include "daemon/keycodec.h"
#include "daemon/membershipservice.h"
#include "daemon/peerbus.h"
#include "framework/net/timer.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sapphiremoor {

/// Receives the reply to a request. Handlers given to the public functions of
/// JobRouter never receive a Redirect.
using JobReplyHandler = std::function<void(const JobReplyBody &)>;

/// Routes each request to the VM that executes its job and returns the answer.
///
/// On the VM that received the request it forwards the job to a dispatcher and
/// waits for the reply. On the executor it claims the job, runs it and answers
/// all waiting requests.
class JobRouter {
public:
  JobRouter(EventLoop &Loop, const VmId &Self, PeerBus &Bus,
            MembershipService &Membership, ClaimService &Claims,
            JobExecutor &Executor, KeyCodec &Keys);

  void start();

  /// Submits a job under a key. \p Handler is called once.
  void submit(const JobKey &Key, const JobRequest &Job,
              const JobReplyHandler &Handler);
  /// Runs a single request of an idempotent service.
  void run(const JobRequest &Job, const JobReplyHandler &Handler);
  /// Waits for the answer to a key that was submitted earlier, or cancels its
  /// job.
  void attach(const JobKey &Key, bool Cancel, JobReplyHandler Handler);
  /// Obtains a key prefix from the dispatcher, or issues one here if the
  /// dispatcher cannot be reached.
  void issuePrefix(const std::string &Team,
                   std::function<void(const Prefix &)> Handler);

  const PeerNetwork &network() const { return Bus.network(); }

  /// Returns the number of requests and jobs that are not answered yet.
  std::size_t openRequests() const;

private:
  /// A request that was sent to another VM and waits for the reply.
  struct Forward {
    VmId Target;
    /// Absent for a single request without a key.
    std::optional<JobKey> Key;
    /// Absent if the request only waits for a job or cancels it.
    std::optional<JobRequest> Job;
    bool Cancel = false;
    int Hops = 0;
    Instant WaitDeadline;
    JobReplyHandler Handler;
  };
  /// A pending search for the executor or the answer of a key.
  struct Search {
    bool Cancel = false;
    /// The job to submit again if the key was never granted.
    std::optional<JobRequest> ResubmitJob;
    int Hops = 0;
    Instant WaitDeadline;
    JobReplyHandler Handler;
  };
  /// A job that this VM claims, refuses or runs.
  struct LocalJob {
    JobRequest Job;
    std::optional<JobNumber> RunNumber;
    /// Text of the key, set when the job starts. Stored because making it costs
    /// an HMAC.
    std::string Label;
    bool Refusing = false;
    bool Cancelled = false;
    std::vector<JobReplyHandler> Waiters;
  };
  struct PrefixWait {
    std::string Team;
    VmId Target;
    std::function<void(const Prefix &)> Handler;
  };

  Instant makeWaitDeadline(Duration Deadline) const;
  VmId chooseExecutor(const JobRequest &Job) const;
  void routeSubmit(const JobKey &Key, const JobRequest &Job, int Hops,
                   Instant WaitDeadline, const JobReplyHandler &Handler);
  void routeRun(const JobRequest &Job, int Hops, Instant WaitDeadline,
                const JobReplyHandler &Handler);
  void runLocally(const JobRequest &Job, const JobReplyHandler &Handler);
  void forward(Forward PendingForward,
               const std::optional<ProvisionalGrant> &Hold);
  void recoverForward(Forward LostForward);
  void execute(const JobKey &Key, const JobRequest &Job,
               const std::optional<ProvisionalGrant> &Hold,
               JobReplyHandler Handler);
  void search(const JobKey &Key, Search PendingSearch);
  void attachAtExecutor(const VmId &Target, const JobKey &Key,
                        Search PendingSearch);
  void attachLocally(const JobKey &Key, bool Cancel,
                     const JobReplyHandler &Handler);
  JobReplyHandler followRedirects(const JobKey &Key, int Hops,
                                  Instant WaitDeadline,
                                  const JobReplyHandler &Handler);
  JobReplyHandler makeReplyHandler(const VmId &Target, RequestNumber Request);

  void onEffect(const StartJob &Effect);
  void onEffect(const JoinJob &Effect);
  void onEffect(const PassToExecutor &Effect);
  void onEffect(const ReportOutcome &Effect);
  void onEffect(const SendClaimMessage &) {}
  void handleReply(const JobReply &Reply);
  void handlePeerDown(const VmId &Peer);
  void finishLocalJob(const ClaimId &Id, const Answer &Result);
  void answerLocalJobs(const JobKey &Key,
                       const std::optional<BodyDigest> &Digest,
                       const JobReplyBody &Body);
  std::vector<Search> takeSearches(const JobKey &Key);
  void expireForwards();

  EventLoop &Loop;
  VmId Self;
  PeerBus &Bus;
  MembershipService &Membership;
  ClaimService &Claims;
  JobExecutor &Executor;
  KeyCodec &Keys;
  RequestNumber LastRequest = 0;
  std::map<RequestNumber, Forward> Forwards;
  std::map<JobKey, std::vector<Search>> Searches;
  std::map<ClaimId, LocalJob> LocalJobs;
  std::map<RequestNumber, PrefixWait> PrefixWaits;
  Timer ExpiryTimer;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_DAEMON_JOBROUTER_H
