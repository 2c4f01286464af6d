#ifndef SAPPHIREMOOR_CLAIMS_CLAIMS_H
#define SAPPHIREMOOR_CLAIMS_CLAIMS_H

#include "claims/types/claimeffect.h"
#include "claims/types/claimstate.h"
#include "framework/core/error.h"

#include <optional>
#include <string>
#include <vector>

namespace sapphiremoor {

/// Claims decide which VM executes a job key, so that no key starts twice. Only
/// the issuer of a prefix grants its keys, each key once and to one executor. A
/// grant takes effect when a majority of the members that the prefix names have
/// recorded it. Instants are monotonic times of the local VM; safety does not
/// depend on clocks. docs/design.md, section 4, has the full rules.

/// A grant that a forwarding member has recorded before the issuer has granted
/// the key. It travels with the forwarded job and counts only for the executor
/// incarnation that it names.
struct ProvisionalGrant {
  VmId Holder;
  VmId Executor;

  auto operator<=>(const ProvisionalGrant &) const = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Holder, Executor);
  }
};

/// The result of forwardJob(). If Effect is set, it is a PassToExecutor to
/// another VM than intended (possibly this one), a JoinJob or a ReportOutcome,
/// and the job must not be forwarded to the intended executor.
struct ForwardResult {
  std::optional<ProvisionalGrant> Grant;
  std::optional<ClaimEffect> Effect;
};

/// Returns the empty state of a new incarnation of the daemon.
ClaimState makeClaimState(VmId Self, std::string DataCentre,
                          const ClaimLimits &Limits = {});

/// Issues a prefix. \p Reachable lists other VMs, those of the local data
/// centre first; the first two become members.
Prefix issuePrefix(ClaimState &State, const std::string &Team,
                   const std::vector<VmId> &Reachable, Instant Now);

/// Must be called before this VM forwards a job to \p Executor. Records a
/// provisional grant if this VM is a member that has not sealed the prefix. If
/// this VM is the issuer, records the grant itself.
ForwardResult forwardJob(ClaimState &State, const JobKey &Key,
                         const BodyDigest &Digest, const VmId &Executor,
                         Instant Now);

/// Claims a job that this VM shall execute. Leads, immediately or after replies
/// or ticks, to exactly one StartJob, PassToExecutor, JoinJob or ReportOutcome
/// for this key and digest. Calls made while one is pending share its result.
ClaimEffects claimJob(ClaimState &State, const JobKey &Key,
                      const BodyDigest &Digest,
                      const std::optional<ProvisionalGrant> &Grant,
                      Instant Now);

/// Refuses to execute a key on this VM. Call it only if no task of the key has
/// started here, and start none afterwards. It also ends the pending claims of
/// the key. Leads to ReportOutcome with NotRun, to PassToExecutor if another
/// executor holds the grant, or to ReportOutcome with Unknown if neither the
/// issuer nor a majority to seal the prefix is reachable.
ClaimEffects refuseJob(ClaimState &State, const JobKey &Key,
                       const Error &Reason, Instant Now);

/// Looks for the executor or the answer of a key without granting the key.
/// Leads to JoinJob, PassToExecutor or ReportOutcome. Before a second search
/// for a job whose executor does not answer, call peerDown() for the executor.
/// A key that the issuer has never granted leads to ReportOutcome with Unknown
/// and the reason "not_submitted", since it may still run.
ClaimEffects findJob(ClaimState &State, const JobKey &Key, Instant Now);

/// Handles a message from \p Sender, whose incarnation the connection has
/// verified.
ClaimEffects receive(ClaimState &State, const VmId &Sender,
                     const ClaimMessage &Message, Instant Now);

/// Ends waits that have timed out and drops expired records and answers.
ClaimEffects tick(ClaimState &State, Instant Now);

/// Returns when the next pending claim times out.
std::optional<Instant> nextDeadline(const ClaimState &State);

/// Stops waiting for replies of \p Peer, which seems unreachable. Safety does
/// not depend on whether it is.
ClaimEffects peerDown(ClaimState &State, const VmId &Peer, Instant Now);

/// Records that \p Peer is reachable. Claims that wait for another incarnation
/// of it stop waiting for that one.
ClaimEffects peerUp(ClaimState &State, const VmId &Peer, Instant Now);

/// Stores the answer of a job that this VM has executed, and sends a copy to
/// another member. \p Digest is that of the job's StartJob.
ClaimEffects storeAnswer(ClaimState &State, const JobKey &Key,
                         const BodyDigest &Digest, std::string Bytes,
                         Instant Now);

/// Returns the answer stored on this VM for \p Key, or null.
const std::string *findStoredAnswer(const ClaimState &State, const JobKey &Key);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CLAIMS_CLAIMS_H
