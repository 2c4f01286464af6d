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

/// Receives what a request is told. Handlers given to the public functions of
/// JobRouter never see a Redirect.
using JobReplyHandler = std::function<void(const JobReplyBody &)>;

/// Takes each request to the VM that executes its job, and the answer back.
///
/// On the VM that a caller reached it forwards jobs to a dispatcher and waits.
/// On the executor it claims jobs, runs them and answers all who wait.
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
  /// Waits for the answer of a key that was submitted earlier, or cancels it.
  void attach(const JobKey &Key, bool Cancel, JobReplyHandler Handler);
  /// Obtains a key prefix from the dispatcher.
  void issuePrefix(const std::string &Team,
                   std::function<void(const Prefix &)> Handler);

  const PeerNetwork &network() const { return Bus.network(); }

  /// Requests and jobs that have not been answered.
  std::size_t openRequests() const;

private:
  /// A request on its way to another VM.
  struct Forward {
    VmId Target;
    /// Absent for a single request without a key.
    std::optional<JobKey> Key;
    /// Absent for an attach.
    std::optional<JobRequest> Job;
    bool Cancel = false;
    int Hops = 0;
    Instant WaitDeadline;
    JobReplyHandler Handler;
  };
  /// A search for the executor or the answer of a key.
  struct Search {
    bool Cancel = false;
    /// Set if the job shall be submitted again in case that the key was never
    /// granted.
    std::optional<JobRequest> ResubmitJob;
    int Hops = 0;
    Instant WaitDeadline;
    JobReplyHandler Handler;
  };
  /// A job that is claimed, refused or run on this VM.
  struct LocalJob {
    JobRequest Job;
    std::optional<JobNumber> RunNumber;
    /// Text of the key, which costs an HMAC to make; set when the job starts.
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
