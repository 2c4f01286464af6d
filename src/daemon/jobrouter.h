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

  const PeerNetwork &links() const { return Bus.network(); }

  /// Requests and jobs that have not been answered.
  std::size_t open() const;

private:
  /// A request on its way to another VM.
  struct Forward {
    VmId To;
    /// Absent for a single request without a key.
    std::optional<JobKey> Key;
    /// Absent for an attach.
    std::optional<JobRequest> Job;
    bool Cancel = false;
    int Hops = 0;
    Instant GiveUp;
    JobReplyHandler Handler;
  };
  /// A search for the executor or the answer of a key.
  struct Search {
    bool Cancel = false;
    /// Set if the job shall be submitted again in case that the key was never
    /// granted.
    std::optional<JobRequest> Resubmit;
    int Hops = 0;
    Instant GiveUp;
    JobReplyHandler Handler;
  };
  /// A job that is claimed, refused or run on this VM.
  struct Ticket {
    JobRequest Job;
    std::optional<JobNumber> Running;
    /// Text of the key, which costs an HMAC to make; set when the job starts.
    std::string Label;
    bool Refusing = false;
    bool Cancelled = false;
    std::vector<JobReplyHandler> Waiting;
  };
  struct PrefixWait {
    std::string Team;
    VmId To;
    std::function<void(const Prefix &)> Handler;
  };

  Instant giveUpAfter(Duration Deadline) const;
  VmId executorFor(const JobRequest &Job) const;
  void submitAgain(const JobKey &Key, const JobRequest &Job, int Hops,
                   Instant GiveUp, const JobReplyHandler &Handler);
  void runAgain(const JobRequest &Job, int Hops, Instant GiveUp,
                const JobReplyHandler &Handler);
  void runHere(const JobRequest &Job, const JobReplyHandler &Handler);
  void forward(Forward What, const std::optional<ProvisionalHold> &Hold);
  void recover(Forward Lost);
  void execute(const JobKey &Key, const JobRequest &Job,
               const std::optional<ProvisionalHold> &Hold,
               JobReplyHandler Handler);
  void search(const JobKey &Key, Search What);
  void attachAt(const VmId &Where, const JobKey &Key, Search What);
  void attachHere(const JobKey &Key, bool Cancel,
                  const JobReplyHandler &Handler);
  JobReplyHandler following(const JobKey &Key, int Hops, Instant GiveUp,
                            const JobReplyHandler &Handler);
  JobReplyHandler replyTo(const VmId &To, RequestNumber Request);

  void onEffect(const StartJob &Effect);
  void onEffect(const JoinJob &Effect);
  void onEffect(const PassToExecutor &Effect);
  void onEffect(const Decide &Effect);
  void onEffect(const SendClaim &) {}
  void onReply(const JobReply &Reply);
  void onPeerDown(const VmId &Peer);
  void finishTicket(const ClaimId &Id, const Answer &Result);
  void answerTickets(const JobKey &Key, const std::optional<BodyDigest> &Digest,
                     const JobReplyBody &Body);
  std::vector<Search> takeSearches(const JobKey &Key);
  void expireWaits();

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
  std::map<ClaimId, Ticket> Tickets;
  std::map<RequestNumber, PrefixWait> PrefixWaits;
  Timer Expiry;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_DAEMON_JOBROUTER_H
